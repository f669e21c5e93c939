//! Streams of events to watches.

use std::{
    io::{self, Write},
    time::Duration,
};

use serde_json::{Value, json};

use super::{
    key_history::KeyEvent,
    shared_state::SharedState,
    wire::{WatchCreate, header, watch_event},
};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n";
/// How long a watch whose caller left is kept: an idle connection shows a
/// leaver only when something is written to it.
const IDLE_MAX: Duration = Duration::from_secs(120);

/// Streams a watch's events until it is cut or its caller is gone.
pub fn serve(shared: &SharedState, create: &WatchCreate, writer: Box<dyn Write + Send>) {
    shared.lock().counts.watch_started();
    // A caller that left ends its own watch only.
    let _left = stream(shared, create, writer);
    shared.lock().counts.watch_ended();
}

fn stream(
    shared: &SharedState,
    create: &WatchCreate,
    mut writer: Box<dyn Write + Send>,
) -> io::Result<()> {
    let (mut next, cuts, revision) = {
        let guarded = shared.lock();
        let newest = guarded.store.revision;
        let start = if create.start_revision > 0 {
            create.start_revision
        } else {
            newest + 1
        };
        (start, guarded.cuts, newest)
    };
    writer.write_all(HEAD)?;
    send_line(
        &mut writer,
        &json!({ "header": header(revision), "created": true }),
    )?;
    while let Some((events, revision)) = next_events(shared, &create.key, next, cuts) {
        let Some(last) = events.last() else {
            return Ok(());
        };
        next = last.revision + 1;
        let lines: Vec<_> = events
            .iter()
            .map(|event| watch_event(&create.key, event))
            .collect();
        send_line(
            &mut writer,
            &json!({ "header": header(revision), "events": lines }),
        )?;
    }
    Ok(())
}

/// Waits for events; `None` when the watch was cut.
fn next_events(
    shared: &SharedState,
    key: &[u8],
    from: i64,
    cuts: u64,
) -> Option<(Vec<KeyEvent>, i64)> {
    let waits = |guarded: &mut super::shared_state::Guarded| {
        guarded.cuts == cuts && !guarded.stopped && guarded.store.events_since(key, from).is_empty()
    };
    let (guarded, _) = shared
        .changed
        .wait_timeout_while(shared.lock(), IDLE_MAX, waits)
        .expect("no thread panics while it holds the lock");
    if guarded.cuts != cuts || guarded.stopped {
        return None;
    }
    Some((
        guarded.store.events_since(key, from),
        guarded.store.revision,
    ))
}

fn send_line(writer: &mut Box<dyn Write + Send>, result: &Value) -> io::Result<()> {
    let line = format!("{}\n", json!({ "result": result }));
    write!(writer, "{:x}\r\n{line}\r\n", line.len())?;
    writer.flush()
}
