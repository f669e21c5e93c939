//! What is known about whether a request ran.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Whether a request ran on a backend server.
///
/// # Examples
///
/// ```
/// use geranium_model::Outcome;
///
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// assert_eq!("maybe-run".parse::<Outcome>().unwrap(), Outcome::MaybeRun);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Proved: no byte of it reached a backend server, or that server said it
    /// did not run it.
    NotRun,
    /// It was handed to a backend server, and no whole answer came back.
    MaybeRun,
    /// A backend server answered it.
    Ran,
}
