//! Asking every node of the fleet.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, thread};

use geranium_model::{MemberRow, MemberState};

use super::{AdminClient, NodeStatus};
use crate::CtlError;

/// Nodes asked at the same time: an unreachable one takes 1.5 s, and a failed
/// rack of 40 is through in two rounds.
const ASKED_AT_ONCE: usize = 32;

/// What the nodes answered.
#[derive(Debug, Default)]
pub struct FleetSurvey {
    /// Nodes that answered, by instance.
    pub answers: Vec<NodeStatus>,
    /// Admin addresses of those that didn't, with the reason.
    pub silent: Vec<(SocketAddr, String)>,
}

/// Returns the members that the first answering node of `nodes` knows.
///
/// # Errors
///
/// [`CtlError::NoNode`] without nodes, or the last node's failure.
pub fn members(nodes: &[SocketAddr]) -> Result<Vec<MemberRow>, CtlError> {
    let mut failure = CtlError::NoNode;
    for addr in nodes {
        match AdminClient::new(*addr).members() {
            Ok(rows) => return Ok(rows),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Asks `nodes`, and all members that one of them knows, for their status.
///
/// # Errors
///
/// When none of `nodes` tells its members.
pub fn survey(nodes: &[SocketAddr]) -> Result<FleetSurvey, CtlError> {
    let rows = members(nodes)?;
    let present = rows.iter().filter(|row| row.state != MemberState::Gone);
    let mut addrs: Vec<_> = present
        .map(|row| row.admin_addr)
        .chain(nodes.iter().copied())
        .collect();
    addrs.sort();
    addrs.dedup();
    let waiting = Mutex::new(addrs.into_iter());
    let answers = Mutex::new(BTreeMap::new());
    let next = || waiting.lock().expect("no asker panics").next();
    thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE {
            scope.spawn(|| {
                while let Some(addr) = next() {
                    let answer = AdminClient::new(addr).status();
                    answers
                        .lock()
                        .expect("no asker panics")
                        .insert(addr, answer);
                }
            });
        }
    });
    let mut survey = FleetSurvey::default();
    for (addr, answer) in answers.into_inner().expect("no asker panics") {
        match answer {
            Ok(status) => survey.answers.push(status),
            Err(error) => survey.silent.push((addr, error.to_string())),
        }
    }
    survey
        .answers
        .sort_by(|a, b| a.instance.as_str().cmp(b.instance.as_str()));
    survey.answers.dedup_by(|a, b| a.instance == b.instance);
    Ok(survey)
}
