//! What operators read: text, JSON and a picture.

mod budget_line;
mod burn_picture;
mod burn_report;
mod part_burn;
mod report_text;
mod rule_burn;
mod service_burn;
mod window_length;

pub use budget_line::BudgetLine;
pub use burn_picture::burn_picture;
pub use burn_report::BurnReport;
pub use part_burn::PartBurn;
pub use rule_burn::RuleBurn;
pub use service_burn::ServiceBurn;
pub use window_length::{WindowLength, WindowLengthError};
