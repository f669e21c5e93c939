//! Writes that are pursued until their effect is known.

use geranium_platform::{CasAnswer, Entry, PlatformError, PlatformStore, Revision, WriteEffect};

use crate::Patience;

/// A compare-and-swap with a value that no other write has.
#[derive(Debug, Clone)]
pub struct GuardedWrite {
    /// Key.
    pub key: String,
    /// Revision at which the key must be.
    pub expected: Revision,
    /// Value; it holds the operation's identifier, or the content that any
    /// writer of the key would write.
    pub value: Vec<u8>,
}

/// What became of a [`GuardedWrite`].
#[derive(Debug)]
pub enum Settled {
    /// The key has, or had, this value.
    Written {
        /// False when the answer was lost and the value was recognised.
        answered: bool,
    },
    /// Another write came first; this one certainly had no effect.
    Lost {
        /// The key's newest entry.
        current: Option<Entry>,
    },
    /// An answer was lost, and the key has another value by now. Whether this
    /// write was there in between, the caller must find out.
    Overtaken {
        /// The key's newest entry.
        current: Option<Entry>,
    },
    /// An answer was lost, and none came since.
    Unknown {
        /// The last failure.
        source: PlatformError,
    },
}

/// Sends `write` until its effect is known or `patience` is used up.
///
/// Failure: an answer is lost after the write took effect, or the write itself
/// is late and lands after the operator was told. Reading back alone can't tell
/// a lost write from a late one. The same compare-and-swap is sent again
/// instead: of two with one expected revision at most one takes effect, so a
/// success means the first never will, and a conflict shows the own value.
///
/// # Errors
///
/// A [`PlatformError`] when the write certainly had no effect.
///
/// # Examples
///
/// ```
/// use geranium_ctl::{GuardedWrite, Patience, Settled, settle};
/// use geranium_platform::{CallFault, MemoryStore, Revision};
///
/// let store = MemoryStore::default();
/// store.fail_call(0, CallFault::LoseAnswer);
/// let write = GuardedWrite {
///     key: "a".to_owned(),
///     expected: Revision::NONE,
///     value: b"operation 1".to_vec(),
/// };
/// let settled = settle(&store, &write, Patience::without_pause(3))?;
/// assert!(matches!(settled, Settled::Written { answered: false }));
/// # Ok::<(), geranium_platform::PlatformError>(())
/// ```
#[expect(
    clippy::missing_panics_doc,
    reason = "patience allows at least one try"
)]
pub fn settle(
    store: &dyn PlatformStore,
    write: &GuardedWrite,
    patience: Patience,
) -> Result<Settled, PlatformError> {
    let mut unknown = None;
    for _ in patience.tries() {
        let answer = store.compare_and_swap(&write.key, write.expected, &write.value, None);
        match answer {
            Ok(CasAnswer::Swapped { .. }) => {
                let answered = unknown.is_none();
                return Ok(Settled::Written { answered });
            }
            Ok(CasAnswer::Conflict { current }) => {
                return Ok(judge(write, current, unknown.is_some()));
            }
            Err(error) if unknown.is_none() && error.effect() == WriteEffect::NotWritten => {
                return Err(error);
            }
            Err(error) => unknown = Some(error),
        }
    }
    let source = unknown.expect("there is at least one try, and it failed");
    Ok(Settled::Unknown { source })
}

fn judge(write: &GuardedWrite, current: Option<Entry>, had_unknown: bool) -> Settled {
    let is_own = current
        .as_ref()
        .is_some_and(|entry| entry.value == write.value);
    if is_own {
        return Settled::Written { answered: false };
    }
    if had_unknown {
        return Settled::Overtaken { current };
    }
    Settled::Lost { current }
}
