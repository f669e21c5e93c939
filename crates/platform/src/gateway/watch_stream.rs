//! The streamed answer to a watch.

use std::io::{BufRead, BufReader, ErrorKind};

use attohttpc::ResponseReader;

use super::{
    Endpoint,
    wire::{Event, EventKind, StreamLine, WatchResponse, unsigned},
};
use crate::{Entry, PlatformError, Revision, WatchAnswer, platform_error::Cause};

/// What a stream ended with.
#[derive(Debug)]
pub enum StreamEnd {
    Answer(WatchAnswer),
    /// The wanted revisions are no longer kept; the oldest kept one is given.
    Compacted(Revision),
}

/// Reads lines until one holds events, or until the read timeout.
pub fn read(endpoint: Endpoint, reader: ResponseReader) -> Result<StreamEnd, PlatformError> {
    let mut lines = BufReader::new(reader);
    let mut created = false;
    loop {
        let mut line = String::new();
        match lines.read_line(&mut line) {
            Ok(0) => return Err(cut(endpoint, "the watch was cut")),
            Ok(_) => {}
            Err(error) if created && is_timeout(&error) && line.is_empty() => {
                return Ok(StreamEnd::Answer(WatchAnswer::Unchanged));
            }
            Err(error) => return Err(cut(endpoint, error)),
        }
        let response = parse(endpoint, &line)?;
        created |= response.created;
        if response.canceled && response.compact_revision > 0 {
            return Ok(StreamEnd::Compacted(unsigned(response.compact_revision)));
        }
        if response.canceled {
            return Err(cut(endpoint, "the platform canceled the watch"));
        }
        if let Some(event) = response.events.into_iter().last() {
            return answer(endpoint, event).map(StreamEnd::Answer);
        }
    }
}

fn parse(endpoint: Endpoint, line: &str) -> Result<WatchResponse, PlatformError> {
    match serde_json::from_str(line) {
        Ok(StreamLine::Result(response)) => Ok(response),
        Ok(StreamLine::Error(error)) => Err(cut(endpoint, error.message)),
        Err(error) => Err(PlatformError::BadAnswer {
            endpoint: endpoint.to_string(),
            reason: error.to_string(),
        }),
    }
}

fn answer(endpoint: Endpoint, event: Event) -> Result<WatchAnswer, PlatformError> {
    if event.kind == EventKind::Delete {
        let revision = unsigned(event.kv.mod_revision);
        return Ok(WatchAnswer::Deleted { revision });
    }
    Entry::try_from(event.kv)
        .map(WatchAnswer::Changed)
        .map_err(|reason| PlatformError::BadAnswer {
            endpoint: endpoint.to_string(),
            reason,
        })
}

/// Reports whether a read ended with its timeout.
pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn cut(endpoint: Endpoint, cause: impl Into<Cause>) -> PlatformError {
    PlatformError::AnswerLost {
        endpoint: endpoint.to_string(),
        source: cause.into(),
    }
}
