//! Completions of a suspect that the sender of a request knows of.

use std::{num::ParseIntError, str::FromStr};

use snafu::Snafu;

/// Completions of a request since its latest crash, as the node that sends it knows them.
///
/// The sender sees the completions at all backend servers that it uses, and the node beside a
/// backend server only those of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletionEvidence {
    /// Number of crashes of the request that the sender knows of.
    pub crashes: u32,
    /// Completions since the latest of these crashes.
    pub completions: u32,
}

/// Failure to parse a [`CompletionEvidence`].
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum CompletionEvidenceError {
    /// There is only one number.
    #[snafu(display("a number is missing"))]
    Missing,
    /// A number is malformed or out of range.
    #[snafu(display("{source}"), context(false))]
    Number {
        /// Error of the parser.
        source: ParseIntError,
    },
}

impl std::fmt::Display for CompletionEvidence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{}", self.crashes, self.completions)
    }
}

impl FromStr for CompletionEvidence {
    type Err = CompletionEvidenceError;

    /// Parses the format that [`Display`](std::fmt::Display) writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::crash::CompletionEvidence;
    ///
    /// let evidence: CompletionEvidence = "1,10".parse()?;
    /// assert_eq!(evidence, CompletionEvidence { crashes: 1, completions: 10 });
    /// assert!("1".parse::<CompletionEvidence>().is_err());
    /// # Ok::<(), geranium_node::crash::CompletionEvidenceError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, CompletionEvidenceError> {
        let (crashes, completions) = text
            .split_once(',')
            .ok_or(CompletionEvidenceError::Missing)?;
        Ok(Self {
            crashes: crashes.parse()?,
            completions: completions.parse()?,
        })
    }
}
