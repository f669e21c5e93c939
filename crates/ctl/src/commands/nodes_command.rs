//! `nodes`.

use std::fmt;

use geranium_model::MemberRow;
use serde::Serialize;

use crate::{CtlError, Session, fleet};

/// What `nodes` prints.
#[derive(Debug, Serialize)]
pub struct NodesReport {
    nodes: Vec<MemberRow>,
}

pub fn nodes(session: &Session) -> Result<NodesReport, CtlError> {
    let mut nodes = fleet::members(session.nodes())?;
    nodes.sort_by(|a, b| a.instance.as_str().cmp(b.instance.as_str()));
    Ok(NodesReport { nodes })
}

impl fmt::Display for NodesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.nodes {
            let MemberRow {
                instance,
                state,
                data_centre,
                region,
                admin_addr,
                slots,
                ..
            } = row;
            let service = row.service.as_ref().map_or("none", |name| name.as_str());
            writeln!(
                f,
                "{instance}: {state}, service {service}, {data_centre} in {region}, \
                 admin {admin_addr}, {slots} slots"
            )?;
        }
        Ok(())
    }
}
