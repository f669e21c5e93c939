//! What the instance's link carries, and in which order.
//!
//! [`LinkSchedule`] decides, without I/O, which long answers are begun and
//! whose bytes go next. [`LinkLine`] shares it among the answers under way;
//! each long one holds a [`LinkPromise`] and waits for its turns there. What became
//! of each stands in its [`AnswerCourse`], what the link carried in a [`LinkLoad`];
//! [`LinkNotes`] logs and counts both.

mod answer_course;
mod link_line;
mod link_load;
mod link_notes;
mod link_promise;
mod link_schedule;
mod link_use;

pub use answer_course::{AnswerCourse, AnswerEnd};
pub use link_line::LinkLine;
pub use link_load::LinkLoad;
pub use link_notes::{LinkCounters, LinkNotes};
pub use link_promise::LinkPromise;
pub use link_schedule::{LinkOffer, LinkSchedule, LinkTurn, LinkVerdict, LoadKey};
pub use link_use::LinkUse;
