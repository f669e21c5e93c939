//! The command `status`.

use std::{collections::BTreeSet, net::SocketAddr};

use geranium_node::{
    config::ConfigVersion,
    discovery::{AnnouncementKey, MEMBER_PREFIX},
    store::{MetaStore, ReadConsistency, StoreItem},
};
use snafu::ResultExt;

use crate::{
    AdminClient, CtlError, FleetStatus, Session,
    ctl_error::{BadDocumentSnafu, NodePageSnafu, StoreSnafu},
    fleet,
};

/// Version in force and nodes' addresses, from the store or from a node.
struct FleetView {
    /// Version in force; 0 without a configuration, or if a node supplied the view.
    version: ConfigVersion,
    peer_addrs: Vec<SocketAddr>,
}

/// Reads the status of every node.
///
/// The nodes are those announced in the store and those given on the command line. If the
/// store can't be read, a node given on the command line names the others.
pub async fn status(session: &Session<impl MetaStore>) -> Result<FleetStatus, CtlError> {
    let store_result = read_store(session).await;
    if let (Err(_), true) = (&store_result, session.nodes.is_empty()) {
        return Err(store_result.err().unwrap_or(CtlError::NoStore));
    }
    let (view, store_error) = match store_result {
        Ok(view) => (view, None),
        Err(error) => (read_members_from_nodes(session)?, Some(error.to_string())),
    };
    let peer_addrs = view.peer_addrs.iter();
    let admin_addrs =
        peer_addrs.map(|peer_addr| SocketAddr::new(peer_addr.ip(), session.status_port));
    let admin_addrs: BTreeSet<SocketAddr> =
        admin_addrs.chain(session.nodes.iter().copied()).collect();
    Ok(FleetStatus::new(
        fleet::survey(admin_addrs),
        view.version,
        store_error,
    ))
}

/// Reads the version in force and the announced nodes from the store.
async fn read_store(session: &Session<impl MetaStore>) -> Result<FleetView, CtlError> {
    let store = session.store()?;
    let source = session.codec.source;
    let read = store
        .read(source.key, ReadConsistency::Linearizable)
        .await
        .context(StoreSnafu)?;
    let version = match read.item {
        Some(item) => {
            let input = (source.parse)(&item.value);
            input
                .context(BadDocumentSnafu { origin: source.key })?
                .version
        }
        None => ConfigVersion(0),
    };
    let members = store
        .list(MEMBER_PREFIX, ReadConsistency::Linearizable)
        .await
        .context(StoreSnafu)?;
    Ok(FleetView {
        version,
        peer_addrs: members.items.iter().filter_map(peer_addr_of).collect(),
    })
}

/// Reads the known members from the first node of the command line that responds.
///
/// Returns the last node's error if none responds.
fn read_members_from_nodes(session: &Session<impl MetaStore>) -> Result<FleetView, CtlError> {
    let mut failure = CtlError::NoStore;
    for &addr in &session.nodes {
        match AdminClient::new(addr)
            .members()
            .context(NodePageSnafu { addr })
        {
            Ok(members) => {
                return Ok(FleetView {
                    version: ConfigVersion(0),
                    peer_addrs: members.iter().map(|member| member.peer_addr).collect(),
                });
            }
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn peer_addr_of(item: &StoreItem) -> Option<SocketAddr> {
    AnnouncementKey::peer_addr_in(&item.key)
}
