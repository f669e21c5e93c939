//! The thread that sends ticks to subscribers.

use std::{
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam::channel::Sender;

type TickSend = Box<dyn FnMut() -> bool + Send>;

struct TickEntry {
    period: Duration,
    due: Instant,
    send: TickSend,
}

/// Parts subscribe to it before it starts; each gets its message every period.
///
/// A subscriber whose ring is full misses that tick: ticks carry no content,
/// so a later one does the same work.
#[derive(Default)]
pub struct TimerHub {
    entries: Vec<TickEntry>,
}

impl std::fmt::Debug for TimerHub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TimerHub")
            .field("entries", &self.entries.len())
            .finish()
    }
}

impl TimerHub {
    /// Sends what `message` makes into `ring` every `period`.
    pub fn subscribe<T: Send + 'static>(
        &mut self,
        period: Duration,
        ring: Sender<T>,
        message: impl Fn() -> T + Send + 'static,
    ) {
        let send = move || {
            let result = ring.try_send(message());
            !result.is_err_and(|error| error.is_disconnected())
        };
        self.entries.push(TickEntry {
            period,
            due: Instant::now() + period,
            send: Box::new(send),
        });
    }

    /// Starts the thread, which ends when no subscriber is left.
    ///
    /// # Errors
    ///
    /// When the thread can't be started.
    pub fn start(self) -> std::io::Result<JoinHandle<()>> {
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(self.entries))
    }
}

fn run(mut entries: Vec<TickEntry>) {
    while let Some(next) = entries.iter().map(|entry| entry.due).min() {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let now = Instant::now();
        entries.retain_mut(|entry| {
            if entry.due > now {
                return true;
            }
            // A process that was frozen must not catch up on lost ticks.
            entry.due = (entry.due + entry.period).max(now);
            (entry.send)()
        });
    }
}
