//! What the instance's link carries, and in which order.
//!
//! [`LinkSchedule`] decides, without I/O, which long answers are begun and
//! whose bytes go next. [`LinkLine`] shares it among the answers under way;
//! each long one holds a [`LinkPromise`] and waits for its turns there.

mod link_line;
mod link_promise;
mod link_schedule;

pub use link_line::LinkLine;
pub use link_promise::LinkPromise;
pub use link_schedule::{LinkOffer, LinkSchedule, LinkTurn, LinkVerdict, LoadKey};
