//! Output formats of reports and errors.

use std::fmt::Display;

use clap::ValueEnum;
use serde::Serialize;
use serde_json::json;

use crate::CtlError;

/// Format of reports and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

impl OutputFormat {
    /// Formats a command's report.
    pub(crate) fn report<R: Serialize + Display>(self, report: &R) -> String {
        match self {
            Self::Text => report.to_string(),
            Self::Json => {
                serde_json::to_string_pretty(report).expect("plain structs always serialize")
            }
        }
    }

    /// Formats an error with the number and name of its result code.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::{CtlError, OutputFormat};
    ///
    /// let text = OutputFormat::Text.error(&CtlError::NoOperator);
    /// assert!(text.starts_with("error 401 (bad-setting): "));
    /// ```
    pub fn error(self, error: &CtlError) -> String {
        let code = error.code();
        match self {
            Self::Text => format!("error {} ({code}): {error}", code.number()),
            Self::Json => {
                let number = code.number();
                let message = error.to_string();
                json!({ "code": number, "name": code.to_string(), "message": message }).to_string()
            }
        }
    }
}
