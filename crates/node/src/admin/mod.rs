//! The admin port: operators, metrics and the backend server's announcements.

mod admin_port;
mod announcement;
mod status_report;

pub use admin_port::{AdminParts, AdminPort};
pub use announcement::{Announcement, AnnouncementError, RawAnnouncement};
pub use status_report::{StatusCell, StatusReport};
