//! Content of an answer while it is sent.

use std::io::{self, Read};

use super::active_run::ActiveRun;

/// Content that fails once its run is cancelled, and ends the run with its
/// last byte.
pub(super) struct RunContent<'a, R> {
    content: R,
    left: u64,
    active: Option<ActiveRun<'a>>,
}

impl<'a, R: Read> RunContent<'a, R> {
    pub(super) fn new(content: R, bytes: u64, active: ActiveRun<'a>) -> Self {
        let active = (bytes > 0).then_some(active);
        Self {
            content,
            left: bytes,
            active,
        }
    }
}

impl<R: Read> Read for RunContent<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self
            .active
            .as_ref()
            .is_some_and(|active| active.cancellation().is_cancelled())
        {
            return Err(io::Error::other("the run was cancelled"));
        }
        let count = self.content.read(buffer)?;
        self.left = self.left.saturating_sub(count as u64);
        if self.left == 0 {
            self.active = None;
        }
        Ok(count)
    }
}
