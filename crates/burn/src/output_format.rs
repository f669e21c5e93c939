//! Output formats of reports and errors.

use clap::ValueEnum;

use crate::{BurnError, BurnReport, json_text::json_text};

/// Format of printed reports and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs: one object per report.
    Json,
}

impl OutputFormat {
    /// Formats a report.
    pub fn report(self, report: &BurnReport) -> String {
        match self {
            Self::Text => report.to_string(),
            Self::Json => json_text(report),
        }
    }

    /// Formats an error with the number and name of its result code.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::{BurnError, OutputFormat};
    ///
    /// let text = OutputFormat::Text.error(&BurnError::NoNode);
    /// assert!(text.starts_with("error 401 (bad-setting): "));
    /// ```
    pub fn error(self, error: &BurnError) -> String {
        let (number, name) = (error.code().number(), error.code().to_string());
        match self {
            Self::Text => format!("error {number} ({name}): {error}"),
            Self::Json => {
                let message = error.to_string();
                serde_json::json!({ "code": number, "name": name, "message": message }).to_string()
            }
        }
    }
}
