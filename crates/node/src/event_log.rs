//! The node's log: one JSON object per line, rate-limited and never blocking.

use std::{
    cell::{Cell, RefCell},
    io::Write,
    rc::Rc,
    sync::Mutex,
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use slog::{Drain, Logger, o};
use tokio::{sync::oneshot, time::timeout};

/// Largest number of lines that wait for the writer thread; further ones are dropped.
const QUEUE_LINES_MAX: usize = 512;
/// Largest number of lines a second about single requests. Further ones are only counted:
/// an overloaded node refuses many requests for the same reason.
const REQUEST_LINES_PER_SECOND_MAX: u32 = 200;
/// Largest size of one write in bytes. Writes of up to this size to a pipe that several
/// processes share are atomic; longer ones may be interleaved with lines of other
/// processes.
const WRITE_MAX_BYTES: usize = 4_096;
/// Longest wait for each step of the flush at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of the writer thread before a write, in which further lines are batched. A flush ends it.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Message to the writer thread.
#[derive(Debug)]
enum LogItem {
    /// Line to write.
    Line(Vec<u8>),
    /// Writes the lines queued so far, then notifies the waiter.
    Flush(FlushWaiter),
}

/// Waiter that is told when the lines queued before are written.
#[derive(Debug)]
enum FlushWaiter {
    /// Thread that may block.
    Thread(Sender<()>),
    /// Task of the event loop.
    Task(oneshot::Sender<()>),
}

impl FlushWaiter {
    fn notify(self) {
        // A waiter whose time is over is gone.
        match self {
            Self::Thread(written_sender) => drop(written_sender.send(())),
            Self::Task(written_sender) => drop(written_sender.send(())),
        }
    }
}

/// Handle that makes the writer thread write at once, and waits for it.
#[derive(Debug, Clone)]
pub struct LogFlush {
    queue: Sender<LogItem>,
    wake: Sender<()>,
}

impl LogFlush {
    /// Blocks until the lines queued so far are written.
    ///
    /// Queueing the request and waiting for the write take half a second each at
    /// most: a stalled reader of the log must not keep the process from ending.
    pub fn wait(&self) {
        let (written_sender, written) = bounded(1);
        if self
            .queue
            .send_timeout(
                LogItem::Flush(FlushWaiter::Thread(written_sender)),
                FLUSH_TIMEOUT,
            )
            .is_ok()
        {
            self.wake_writer();
            let _late = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    /// Waits without blocking until the lines queued so far are written.
    ///
    /// Returns whether they are. The wait ends after `limit`, and at once if the queue is full.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::event_log::make_logger;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// let (logger, flush) = make_logger("till-1", std::io::sink());
    /// slog::info!(logger, "lease released");
    /// let _is_written = flush.written(Duration::from_millis(500)).await;
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn written(&self, limit: Duration) -> bool {
        let (written_sender, written) = oneshot::channel();
        let flush = LogItem::Flush(FlushWaiter::Task(written_sender));
        if self.queue.try_send(flush).is_err() {
            return false;
        }
        self.wake_writer();
        matches!(timeout(limit, written).await, Ok(Ok(())))
    }

    fn wake_writer(&self) {
        // A full channel holds a wake-up that the writer hasn't taken yet.
        let _full = self.wake.try_send(());
    }
}

/// Writer that splits its input into lines and queues them for the writer thread.
#[derive(Debug)]
struct LineWriter {
    line: Vec<u8>,
    queue: Sender<LogItem>,
    dropped_lines: u64,
}

impl LineWriter {
    fn send_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.dropped_lines > 0 {
            let notice = format!(
                "{{\"msg\":\"log lines dropped\",\"lines\":{}}}\n",
                self.dropped_lines
            );
            if self
                .queue
                .try_send(LogItem::Line(notice.into_bytes()))
                .is_ok()
            {
                self.dropped_lines = 0;
            }
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(LogItem::Line(line)) {
            self.dropped_lines += 1;
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.send_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Creates a logger whose lines a separate thread writes to `output`.
///
/// When the reader of the output stalls, a direct write would block the event loop and
/// every request on it. The event loop only puts lines into a bounded queue. When the
/// queue is full, lines are dropped and counted, and the count is logged as soon as there
/// is room.
pub fn make_logger(instance: &str, output: impl Write + Send + 'static) -> (Logger, LogFlush) {
    let (queue, lines) = bounded(QUEUE_LINES_MAX);
    let (wake, woken) = bounded(1);
    let flush = LogFlush {
        queue: queue.clone(),
        wake,
    };
    let writer = LineWriter {
        line: Vec::new(),
        queue,
        dropped_lines: 0,
    };
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, &woken, output));
    // If the thread can't be started, the queue is closed and the node runs without a log.
    drop(spawned);
    let json = slog_json::Json::default(writer);
    let context = o!("node" => instance.to_owned());
    (Logger::root(Mutex::new(json).fuse(), context), flush)
}

fn write_lines(lines: &Receiver<LogItem>, woken: &Receiver<()>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = Vec::with_capacity(WRITE_MAX_BYTES);
        let mut waiters = Vec::new();
        if matches!(first, LogItem::Line(_)) {
            pause(woken);
        }
        for item in std::iter::once(first).chain(lines.try_iter()) {
            match item {
                LogItem::Line(line) => {
                    if batch.len() + line.len() > WRITE_MAX_BYTES {
                        write_batch(&mut output, &mut batch);
                    }
                    batch.extend_from_slice(&line);
                }
                LogItem::Flush(waiter) => waiters.push(waiter),
            }
        }
        write_batch(&mut output, &mut batch);
        waiters.into_iter().for_each(FlushWaiter::notify);
    }
}

/// Waits for further lines, until a flush is due.
fn pause(woken: &Receiver<()>) {
    if woken.recv_timeout(WRITE_PAUSE) == Err(RecvTimeoutError::Disconnected) {
        thread::sleep(WRITE_PAUSE);
    }
}

/// Writes the batched lines with a single write.
fn write_batch(output: &mut impl Write, batch: &mut Vec<u8>) {
    if !batch.is_empty() {
        // A failed write can't be logged, so the error is ignored.
        drop(output.write_all(batch).and_then(|()| output.flush()));
        batch.clear();
    }
}

/// Log of a node, with a rate limit on lines about single requests.
#[derive(Debug, Clone)]
pub struct EventLog {
    logger: Logger,
    flush: Option<LogFlush>,
    limiter: Rc<LineLimiter>,
}

/// Counts the lines of the current second, and by kind those withheld in it.
#[derive(Debug, Default)]
struct LineLimiter {
    second: Cell<u64>,
    lines: Cell<u32>,
    withheld: RefCell<Vec<(&'static str, u32)>>,
}

impl EventLog {
    /// Creates the log of a node.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            flush: None,
            limiter: Rc::default(),
        }
    }

    /// Returns the log with a handle to its writer thread.
    #[must_use]
    pub fn with_flush(self, flush: LogFlush) -> Self {
        Self {
            flush: Some(flush),
            ..self
        }
    }

    /// Waits until the lines so far are written, for `limit` at most.
    ///
    /// To be called before other nodes learn of a decision: the lines about it are lost if the
    /// process is killed before they are written. Returns at once without a writer thread.
    pub async fn written(&self, limit: Duration) {
        if let Some(flush) = &self.flush {
            flush.written(limit).await;
        }
    }

    /// Returns the logger for events that aren't about a single request.
    pub const fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the logger for a line about a single request.
    ///
    /// Returns none once this second's lines are used up, and counts the line under `kind`.
    /// The first line of a later second logs these counts.
    pub fn for_request(&self, now: Duration, kind: &'static str) -> Option<&Logger> {
        let limiter = &self.limiter;
        if limiter.second.replace(now.as_secs()) != now.as_secs() {
            limiter.lines.set(0);
            self.write_withheld();
        }
        if limiter.lines.get() < REQUEST_LINES_PER_SECOND_MAX {
            limiter.lines.set(limiter.lines.get() + 1);
            return Some(&self.logger);
        }
        let mut withheld = limiter.withheld.borrow_mut();
        match withheld.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => *count += 1,
            None => withheld.push((kind, 1)),
        }
        None
    }

    fn write_withheld(&self) {
        for (kind, count) in self.limiter.withheld.borrow_mut().drain(..) {
            slog::info!(self.logger, "lines withheld"; "kind" => kind, "count" => count);
        }
    }
}
