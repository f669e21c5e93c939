//! The node's program.

use std::{process::ExitCode, thread, time::Duration};

use clap::Parser;
use geranium_node::{
    NodeError, StartingNode, make_logger,
    settings::{NodeSettings, RawSettings},
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// How often the main thread looks for a termination signal.
const SIGNAL_POLL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    match run(RawSettings::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(raw: RawSettings) -> Result<bool, NodeError> {
    let settings = NodeSettings::try_from(raw)?;
    let log = make_logger(&settings);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        let registered = flag::register(signal, Arc::clone(&stop));
        registered.map_err(|error| NodeError::Setup {
            part: "signals",
            reason: error.to_string(),
        })?;
    }
    let node = StartingNode::new(settings, log).serve()?;
    while !stop.load(Ordering::Relaxed) && !node.drain_asked() {
        thread::sleep(SIGNAL_POLL);
    }
    Ok(node.drain().finish())
}
