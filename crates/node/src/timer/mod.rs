//! The timer service: one thread that wakes every part with a period.

mod timer_hub;

pub use timer_hub::TimerHub;
