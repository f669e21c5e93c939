//! A service's members by the versions that they run.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{EndpointVersion, FleetView, MemberKey, MemberRecord, MemberView};

/// Time for which a version without an order gets no requests. Announcements may arrive before
/// the order for their version.
const UNORDERED_HOLD: Duration = Duration::from_secs(5);

/// Slots of a service's ready backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VersionSlots {
    /// Slots of the target version.
    pub target: u32,
    /// Slots of the target version outside the slow start of its backend servers.
    pub warm_target: u32,
    /// Number of the target version's backend servers.
    pub target_servers: usize,
    /// Slots of other versions.
    pub current: u32,
}

impl FleetView {
    fn views<'a>(&'a self, service: &str) -> impl Iterator<Item = (MemberKey, &'a MemberView)> {
        let keys = self.services.get(service).map(|pool| &pool.keys[..]);
        let keys = keys.unwrap_or_default().iter().copied();
        keys.filter_map(|key| Some((key, self.get(key)?)))
    }

    /// Yields the members of a service that run `version` and take requests.
    pub fn ready_members<'a>(
        &'a self,
        service: &str,
        version: &'a EndpointVersion,
    ) -> impl Iterator<Item = (MemberKey, &'a MemberRecord)> {
        let ready = self.views(service).filter(move |(_, member)| {
            member.takes_requests() && member.record.version.as_ref() == Some(version)
        });
        ready.map(|(key, member)| (key, &member.record))
    }

    /// Returns the addresses of a service's announced members that run `target`, or of those
    /// that run another version, in an order by hash.
    pub fn peers_by_version(
        &self,
        service: &str,
        target: &EndpointVersion,
        is_target: bool,
    ) -> Vec<SocketAddr> {
        let announced = self.views(service).filter(|(_, member)| {
            let runs_target = member.record.version.as_ref() == Some(target);
            let is_there = !member.has_lapsed() && !member.record.is_final;
            is_there && runs_target == is_target
        });
        let mut peers: Vec<SocketAddr> = announced
            .map(|(_, member)| member.record.peer_addr)
            .collect();
        peers.sort_by_cached_key(|peer_addr| xxh3_64(peer_addr.to_string().as_bytes()));
        peers
    }

    /// Returns the slots of a service's ready members by version.
    pub fn slots_by_version(
        &self,
        now: Duration,
        service: &str,
        target: &EndpointVersion,
    ) -> VersionSlots {
        let mut slots = VersionSlots::default();
        for (_, member) in self
            .views(service)
            .filter(|(_, member)| member.takes_requests() && !member.has_lapsed())
        {
            let own = member.record.slots;
            if member.record.version.as_ref() != Some(target) {
                slots.current += own;
                continue;
            }
            slots.target_servers += 1;
            slots.target += own;
            if !member.is_cold(now) {
                slots.warm_target += own;
            }
        }
        slots
    }

    /// Whether every announced member of a service runs `version`, and there is one.
    pub fn runs_only(&self, service: &str, version: &EndpointVersion) -> bool {
        let mut announced = self
            .views(service)
            .filter(|(_, member)| !member.has_lapsed())
            .map(|(_, member)| member.record.version.as_ref())
            .peekable();
        announced.peek().is_some() && announced.all(|known| known == Some(version))
    }

    /// Returns the versions of a service that were announced lately and that no order names.
    ///
    /// The version in force is `in_force` or, if that is none, the version that was started
    /// first. A version that runs for longer without an order is used like any other: it came
    /// without a rollout.
    pub fn unordered_versions(
        &self,
        now: Duration,
        service: &str,
        in_force: Option<&EndpointVersion>,
    ) -> Vec<EndpointVersion> {
        let versions = || {
            let views = self.views(service);
            views.filter_map(|(_, member)| Some((member, member.record.version.as_ref()?)))
        };
        let mut distinct = versions().map(|(_, version)| version);
        let Some(first) = distinct.next() else {
            return Vec::new();
        };
        if distinct.all(|version| version == first) {
            return Vec::new();
        }
        let oldest = versions().min_by_key(|(member, _)| member.record.start.born_ms());
        let in_force = in_force.or_else(|| oldest.map(|(_, version)| version));
        let mut unordered: Vec<EndpointVersion> = Vec::new();
        for (_, version) in versions() {
            if Some(version) == in_force || unordered.contains(version) {
                continue;
            }
            let mut members = versions().filter(|(_, other)| *other == version);
            let is_recent = members.all(|(member, _)| now < member.announced_at() + UNORDERED_HOLD);
            if is_recent {
                unordered.push(version.clone());
            }
        }
        unordered
    }
}
