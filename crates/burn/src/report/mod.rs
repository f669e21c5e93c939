//! Burn report for operators, as text, JSON and a picture.

mod breakdown_row;
mod burn_picture;
mod burn_report;
mod indicator_burn;
mod report_text;
mod rule_burn;
mod service_burn;
mod window_length;

pub use breakdown_row::BreakdownRow;
pub use burn_picture::burn_picture;
pub use burn_report::BurnReport;
pub use indicator_burn::IndicatorBurn;
pub use rule_burn::RuleBurn;
pub use service_burn::ServiceBurn;
pub use window_length::{WindowLength, WindowLengthError};
