//! The log: text for people or JSON, on standard error.

use slog::{Drain, LevelFilter, Logger, o};

use crate::settings::{LogFormat, NodeSettings};

/// Log lines held for the writing thread; beyond it they are dropped and
/// counted, since a full pipe must not stop the node.
const CHANNEL_SIZE: usize = 4_096;

/// Makes the logger of a node.
pub fn make_logger(settings: &NodeSettings) -> Logger {
    let level = settings.log_level;
    let context = o!(
        "instance" => settings.instance.to_string(),
        "data_centre" => settings.data_centre.to_string(),
    );
    match settings.log_format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(queued(LevelFilter::new(json, level)), context)
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let text = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(queued(LevelFilter::new(text, level)), context)
        }
    }
}

fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok: std::fmt::Debug> + Send + 'static,
{
    slog_async::Async::new(drain.ignore_res())
        .chan_size(CHANNEL_SIZE)
        .build()
        .fuse()
}
