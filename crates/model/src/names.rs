//! Checked names for services, instances, data centres, regions, presets and
//! routes.
//!
//! All follow one rule, so that any of them can stand in a URL path, a
//! platform key or a metric label without escaping.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest accepted name, in bytes: a DNS label's limit.
const NAME_BYTES_MAX: usize = 63;

/// A name that breaks the naming rule.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The name has no characters.
    #[snafu(display("a name must not be empty"))]
    Empty,
    /// The name has more than 63 bytes.
    #[snafu(display("name `{name}` is longer than {NAME_BYTES_MAX} bytes"))]
    TooLong {
        /// The rejected text.
        name: String,
    },
    /// A character is neither a lower-case letter, a digit, `-` nor `.`.
    #[snafu(display(
        "name `{name}` may hold only lower-case letters, digits, `-` and `.`, and starts with a letter or digit"
    ))]
    BadCharacter {
        /// The rejected text.
        name: String,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(NameError::TooLong {
            name: text.to_owned(),
        });
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let starts_well = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if !starts_well || !text.chars().all(allowed) {
        return Err(NameError::BadCharacter {
            name: text.to_owned(),
        });
    }
    Ok(())
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Cloning is cheap: the text is shared.
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use geranium_model::", stringify!($name), ";")]
        ///
        #[doc = concat!("let name: ", stringify!($name), " = \"north-1\".parse()?;")]
        /// assert_eq!(name.as_str(), "north-1");
        #[doc = concat!("assert!(\"No Spaces\".parse::<", stringify!($name), ">().is_err());")]
        /// # Ok::<(), geranium_model::NameError>(())
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text)?;
                Ok(Self(text.into()))
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

checked_name! {
    /// Name of a service, such as `verdskra`.
    ServiceName
}
checked_name! {
    /// Name of one backend server instance and of the node beside it.
    InstanceName
}
checked_name! {
    /// Name of a data centre, such as `sundahofn`.
    DataCentre
}
checked_name! {
    /// Name of a region, which holds one or more data centres.
    RegionName
}
checked_name! {
    /// Name an operator gave to a preset.
    PresetName
}
checked_name! {
    /// Name of a route within a preset.
    RouteName
}
