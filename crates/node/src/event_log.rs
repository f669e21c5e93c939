//! The log: one JSON object a line, bounded, never blocking.

use std::{
    cell::{Cell, RefCell},
    io::Write,
    rc::Rc,
    sync::Mutex,
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use slog::{Drain, Logger, o};

/// Lines that wait for the writing thread.
const RING_LINES: usize = 512;
/// Lines a second about single requests. Beyond it they are only counted: under overload
/// a node refuses many for one and the same reason.
const LINES_MAX: u32 = 200;
/// Most bytes of one write. A pipe that several processes share takes as many in one
/// piece; of longer writes the lines of others cut a part off.
const WRITE_MAX: usize = 4_096;
/// Longest wait for the log at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// Pause of the writing thread, in which lines gather to one write.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// What goes to the writing thread.
#[derive(Debug)]
enum LogItem {
    /// A line to write.
    Line(Vec<u8>),
    /// Write what is there and say so.
    Flush(Sender<()>),
}

/// Waits for the writing thread at the end of the process.
#[derive(Debug)]
pub struct LogFlush {
    ring: Sender<LogItem>,
}

impl LogFlush {
    /// Waits until the lines so far are written, half a second at most: a
    /// reader that stalls must not keep the process from ending.
    pub fn wait(&self) {
        let (done, written) = bounded(1);
        if self
            .ring
            .send_timeout(LogItem::Flush(done), FLUSH_TIME)
            .is_ok()
        {
            let _late = written.recv_timeout(FLUSH_TIME);
        }
    }
}

/// Writer that cuts what is written into lines and hands them to a ring.
#[derive(Debug)]
struct LineWriter {
    line: Vec<u8>,
    ring: Sender<LogItem>,
    dropped: u64,
}

impl LineWriter {
    fn send_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.dropped > 0 {
            let note = format!(
                "{{\"msg\":\"log lines dropped\",\"lines\":{}}}\n",
                self.dropped
            );
            if self.ring.try_send(LogItem::Line(note.into_bytes())).is_ok() {
                self.dropped = 0;
            }
        }
        if let Err(TrySendError::Full(_)) = self.ring.try_send(LogItem::Line(line)) {
            self.dropped += 1;
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

/// Makes a logger whose lines a thread of its own writes to `output`.
///
/// When the reader of the output stalls, a direct write would block the event loop with
/// every request in it. The event loop only hands lines to a ring; when that is full,
/// lines are dropped and counted, and the count is written as soon as there is room.
pub fn make_logger(instance: &str, output: impl Write + Send + 'static) -> (Logger, LogFlush) {
    let (ring, lines) = bounded(RING_LINES);
    let flush = LogFlush { ring: ring.clone() };
    let writer = LineWriter {
        line: Vec::new(),
        ring,
        dropped: 0,
    };
    let started = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, output));
    // Without the thread the ring is closed, and the node runs without a log.
    drop(started);
    let json = slog_json::Json::default(writer);
    let context = o!("node" => instance.to_owned());
    (Logger::root(Mutex::new(json).fuse(), context), flush)
}

fn write_lines(lines: &Receiver<LogItem>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = Vec::with_capacity(WRITE_MAX);
        let mut asked = Vec::new();
        if matches!(first, LogItem::Line(_)) {
            thread::sleep(WRITE_PAUSE);
        }
        for item in std::iter::once(first).chain(lines.try_iter()) {
            match item {
                LogItem::Line(line) => {
                    if batch.len() + line.len() > WRITE_MAX {
                        write_batch(&mut output, &mut batch);
                    }
                    batch.extend_from_slice(&line);
                }
                LogItem::Flush(done) => asked.push(done),
            }
        }
        write_batch(&mut output, &mut batch);
        for done in asked {
            let _gone = done.send(());
        }
    }
}

/// Writes whole lines in one piece.
fn write_batch(output: &mut impl Write, batch: &mut Vec<u8>) {
    if !batch.is_empty() {
        // There is no better place to report that the log can't be written.
        drop(output.write_all(batch).and_then(|()| output.flush()));
        batch.clear();
    }
}

/// Bounds the lines about single requests.
#[derive(Debug, Clone)]
pub struct EventLog {
    logger: Logger,
    meter: Rc<LineMeter>,
}

#[derive(Debug, Default)]
struct LineMeter {
    second: Cell<u64>,
    lines: Cell<u32>,
    withheld: RefCell<Vec<(&'static str, u32)>>,
}

impl EventLog {
    /// Makes the log of a node.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            meter: Rc::default(),
        }
    }

    /// Returns the logger for what isn't about a single request.
    pub const fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the logger for a line about a request, or none when this
    /// second has had its share; `kind` is then counted.
    pub fn for_request(&self, now: Duration, kind: &'static str) -> Option<&Logger> {
        let meter = &self.meter;
        if meter.second.replace(now.as_secs()) != now.as_secs() {
            meter.lines.set(0);
            self.write_withheld();
        }
        if meter.lines.get() < LINES_MAX {
            meter.lines.set(meter.lines.get() + 1);
            return Some(&self.logger);
        }
        let mut withheld = meter.withheld.borrow_mut();
        match withheld.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => *count += 1,
            None => withheld.push((kind, 1)),
        }
        None
    }

    fn write_withheld(&self) {
        for (kind, count) in self.meter.withheld.borrow_mut().drain(..) {
            slog::info!(self.logger, "lines withheld"; "kind" => kind, "count" => count);
        }
    }
}
