//! Stand-in backend server for tests and the demo.

use std::{thread, time::Duration};

use clap::Parser;
use geranium_standins::backend::{BackendOptions, BackendServer, termination_requested};
use snafu::Whatever;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Time between looks for a request to terminate.
const POLL: Duration = Duration::from_millis(20);

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let server = BackendServer::start(BackendOptions::parse())?;
    println!("listening {}", server.address());
    while !termination_requested() {
        thread::sleep(POLL);
    }
    server.drain();
    Ok(())
}
