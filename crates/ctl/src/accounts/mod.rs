//! Client accounts: changes of their keys, and the wait until a change is in force.

mod key_change;
mod key_text;
mod put_key_change;

pub use key_change::{KeyChange, KeyChangeError};
pub use key_text::{KeyText, KeyTextError};
pub use put_key_change::{KeySelector, put_key_change};
