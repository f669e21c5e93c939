//! A store in memory, whose calls can be made to fail.

mod call_action;
mod call_fault;
mod memory_state;
mod memory_store;

pub use call_fault::CallFault;
pub use memory_store::MemoryStore;
