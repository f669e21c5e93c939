//! Forms in which answers are printed.

use std::fmt::Display;

use clap::ValueEnum;
use serde::Serialize;
use serde_json::json;

use crate::CtlError;

/// Form of what is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl OutputFormat {
    /// Renders a command's report.
    pub(crate) fn report<R: Serialize + Display>(self, report: &R) -> String {
        match self {
            Self::Text => report.to_string(),
            Self::Json => {
                serde_json::to_string_pretty(report).expect("plain structs always serialize")
            }
        }
    }

    /// Renders an error with its number and name.
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
