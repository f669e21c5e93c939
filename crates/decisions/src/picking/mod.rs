//! Choice of the backend server that gets a request.
//!
//! **Load pattern.** Each of 1,600 nodes sends a few dozen requests a second
//! to a handful of services with three to a few hundred backend servers each.
//! It sees only its own requests: load isn't gossiped. Backend servers start
//! cold in herds, slow down, break, fill up, and report load that lags or
//! lies.
//!
//! **Without it.** Random choice gives a backend server that is ten times
//! slower its full share, sends a cold one as much as a warm one, and meets a
//! full one again and again while its neighbours are idle.
//!
//! **How.** [`BackendPicker`] draws two members of one distance (own data
//! centre, own region, anywhere) and takes the one with less outstanding work
//! times latency. `TierPressure` moves a growing share to the next distance
//! while the nearer one refuses or slows down. Members that are cold take part
//! in a reduced share of draws; members that refuse, are slow or break stay
//! out for a time and come back through a single probe.
//!
//! **Grounds for figures** stand beside each constant.

mod backend_arena;
mod backend_evidence;
mod backend_key;
mod backend_picker;
mod backend_slot;
mod ejection_judge;
mod ejection_state;
mod latency_view;
mod load_hint;
mod member_draw;
mod member_grade;
mod pick_report;
mod picker_home;
mod service_pool;
mod slow_start;
mod tier_pressure;

pub use backend_key::BackendKey;
pub use backend_picker::BackendPicker;
pub use pick_report::{PickReport, PickResult};
pub use picker_home::PickerHome;
