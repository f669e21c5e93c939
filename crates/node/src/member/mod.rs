//! Membership of the mesh and load balancing.
//!
//! Each node announces its own backend server as a [`MemberRecord`]. A [`FleetView`] holds
//! the records of all nodes together with what this node has observed of them, and picks a
//! member for each request (in the module `member_choice`). Nothing here does I/O, and the
//! time is an argument.

mod endpoint_start;
mod endpoint_version;
mod fleet_view;
mod left_starts;
mod load_report;
mod member_choice;
mod member_distance;
mod member_estimate;
mod member_key;
mod member_record;
mod member_update;
mod member_view;
mod moving_mean;
mod pick_cost;
mod pick_query;
mod probe_schedule;
mod response_sizes;
mod service_pool;
mod version_filter;
mod version_view;

pub use endpoint_start::{EndpointStart, StartError, StartInput, StartOrder};
pub use endpoint_version::{EndpointVersion, VersionError};
pub use fleet_view::{FleetView, TryOutcome};
pub use load_report::LoadReport;
pub use member_key::MemberKey;
pub use member_record::{MemberRecord, MemberState};
pub use member_update::MemberUpdate;
pub use member_view::MemberView;
pub use moving_mean::MovingMean;
pub use pick_query::PickQuery;
pub use response_sizes::ResponseSizes;
pub use version_filter::VersionFilter;
pub use version_view::VersionSlots;
