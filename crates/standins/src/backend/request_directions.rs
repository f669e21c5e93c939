//! Directions that a test puts into a request's path and query.

use std::time::Duration;

use super::SeededBytes;

/// A pseudo-random file, asked for by `.../file/BYTES/SEED`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileDirections {
    /// Length in bytes.
    pub bytes: u64,
    /// Seed of the content.
    pub seed: u64,
}

impl FileDirections {
    /// Returns a reader of the content.
    pub fn content(self) -> SeededBytes {
        SeededBytes::new(self.seed, self.bytes)
    }

    fn from_path(path: &str) -> Option<Self> {
        let mut parts = path.rsplit('/');
        let seed = parts.next()?.parse().ok()?;
        let bytes = parts.next()?.parse().ok()?;
        (parts.next()? == "file").then_some(Self { bytes, seed })
    }
}

/// How one request is to be answered.
///
/// # Examples
///
/// ```
/// use geranium_standins::backend::RequestDirections;
///
/// let directions = RequestDirections::from("/prices/cod?work_ms=5&crash=1");
/// assert_eq!(directions.path, "/prices/cod");
/// assert!(directions.crash && !directions.late);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestDirections {
    /// Path without the query.
    pub path: String,
    /// Time to work, in place of the server's own.
    pub work: Option<Duration>,
    /// The process exits as soon as it runs the request.
    pub crash: bool,
    /// The connection closes after half of the answer's body.
    pub die_mid_body: bool,
    /// It works on past the deadline and past a cancellation.
    pub late: bool,
    /// A file in place of the small answer.
    pub file: Option<FileDirections>,
}

impl From<&str> for RequestDirections {
    fn from(url: &str) -> Self {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let mut directions = Self {
            path: path.to_owned(),
            file: FileDirections::from_path(path),
            ..Self::default()
        };
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        for (name, value) in pairs {
            match name {
                "work_ms" => directions.work = value.parse().ok().map(Duration::from_millis),
                "crash" => directions.crash = value == "1",
                "die_mid_body" => directions.die_mid_body = value == "1",
                "late" => directions.late = value == "1",
                _ => {}
            }
        }
        directions
    }
}
