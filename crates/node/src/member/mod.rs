//! Who is there, and who gets the next request.
//!
//! Each node announces its own backend server as a [`MemberRecord`]. A
//! [`FleetView`] holds those of all nodes together with what this node has
//! seen of them, and picks. It does no I/O and takes the time as an argument.

mod answer_sizes;
mod fleet_view;
mod load_report;
mod member_key;
mod member_news;
mod member_record;
mod member_view;
mod moving_mean;
mod pick_query;

pub use answer_sizes::AnswerSizes;
pub use fleet_view::{FleetView, TryEnd};
pub use load_report::LoadReport;
pub use member_key::MemberKey;
pub use member_news::MemberNews;
pub use member_record::{MemberRecord, MemberState};
pub use member_view::MemberView;
pub use moving_mean::MovingMean;
pub use pick_query::PickQuery;
