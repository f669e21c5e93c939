//! `drain`.

use std::{fmt, net::SocketAddr};

use serde::Serialize;
use snafu::OptionExt;

use crate::{AdminClient, CtlError, Session, ctl_error::UnknownInstanceSnafu, fleet};

/// What `drain` prints.
#[derive(Debug, Serialize)]
pub struct DrainReport {
    target: String,
    admin_addr: SocketAddr,
    answer: String,
}

pub fn drain(session: &Session, target: &str) -> Result<DrainReport, CtlError> {
    let admin_addr = match target.parse() {
        Ok(addr) => addr,
        Err(_) => find(session, target)?,
    };
    let answer = AdminClient::new(admin_addr).drain()?;
    Ok(DrainReport {
        target: target.to_owned(),
        admin_addr,
        answer: answer.trim().to_owned(),
    })
}

fn find(session: &Session, instance: &str) -> Result<SocketAddr, CtlError> {
    let rows = fleet::members(session.nodes())?;
    let row = rows.iter().find(|row| row.instance.as_str() == instance);
    row.map(|row| row.admin_addr)
        .context(UnknownInstanceSnafu { instance })
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} (admin {}) takes no new work",
            self.target, self.admin_addr
        )
    }
}
