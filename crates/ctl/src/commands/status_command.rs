//! `status`.

use std::{collections::BTreeSet, net::SocketAddr};

use geranium_node::{
    config::ConfigVersion,
    discovery::{AnnouncementKey, MEMBER_PREFIX},
    store::{MetaStore, ReadConsistency, StoreItem},
};
use snafu::ResultExt;

use crate::{
    CtlError, FleetStatus, Session, StatusClient,
    ctl_error::{BadDocumentSnafu, NodePageSnafu, StoreSnafu},
    fleet,
};

/// What the store says of the fleet.
struct StoreView {
    version: ConfigVersion,
    peer_addrs: Vec<SocketAddr>,
}

/// Asks every node that the store names. While the store is away, the nodes
/// that were given on the command line name the others.
pub async fn status(session: &Session<impl MetaStore>) -> Result<FleetStatus, CtlError> {
    let store_view = read_store(session).await;
    if let (Err(_), true) = (&store_view, session.nodes.is_empty()) {
        return Err(store_view.err().unwrap_or(CtlError::NoStore));
    }
    let (view, store) = match store_view {
        Ok(view) => (view, None),
        Err(error) => (read_members_from_nodes(session)?, Some(error.to_string())),
    };
    let pages = view.peer_addrs.iter();
    let pages = pages.map(|peer_addr| SocketAddr::new(peer_addr.ip(), session.status_port));
    let pages: BTreeSet<SocketAddr> = pages.chain(session.nodes.iter().copied()).collect();
    Ok(FleetStatus::new(fleet::survey(pages), view.version, store))
}

async fn read_store(session: &Session<impl MetaStore>) -> Result<StoreView, CtlError> {
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
    Ok(StoreView {
        version,
        peer_addrs: members.items.iter().filter_map(peer_addr_of).collect(),
    })
}

fn read_members_from_nodes(session: &Session<impl MetaStore>) -> Result<StoreView, CtlError> {
    let mut failure = CtlError::NoStore;
    for &addr in &session.nodes {
        match StatusClient::new(addr)
            .members()
            .context(NodePageSnafu { addr })
        {
            Ok(members) => {
                return Ok(StoreView {
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
