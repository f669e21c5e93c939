//! Stand-in for the platform's key-value service, as a process.

use std::{io, io::Write};

use clap::Parser;
use geranium_standins::platform::{PlatformServer, ServerSettings};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> io::Result<()> {
    let settings = ServerSettings::parse();
    let server = PlatformServer::start_from(&settings)?;
    let mut stdout = io::stdout();
    writeln!(stdout, "listening {}", server.addr())?;
    stdout.flush()?;
    server.join();
    Ok(())
}
