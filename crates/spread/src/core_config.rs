//! Configuration: hearing of versions, swapping and pushing them.

use std::{sync::Arc, time::Duration};

use geranium_model::{InForce, InstanceName, Preset, PresetDelta, PresetVersion, ResultCode};

use crate::{
    CHUNK_BYTES, ConfigMark, ControlMessage, FleetAction, FleetCore, WireDelta,
    config_state::{ConfigSource, VersionStanding},
    fleet_core::encoded_bytes,
    peer_state::spaced,
};

/// Largest delta pushed unasked: it arrives along every link, so larger ones
/// are offered and come once.
const DELTA_BYTES_MAX: u64 = 4_096;
/// Gap between configuration messages begun with one peer by digests.
const CONFIG_GAP: Duration = Duration::from_millis(400);

impl FleetCore {
    /// Compares a peer's version with the own one and begins a repair.
    pub(crate) fn compare_config(
        &mut self,
        from: &InstanceName,
        theirs: Option<ConfigMark>,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(theirs) = theirs else {
            return;
        };
        let now = self.now;
        let standing = self.config.standing(theirs);
        match standing {
            VersionStanding::Split => self.report_split(theirs, out),
            VersionStanding::Wanted => self.add_source(from),
            VersionStanding::Newer | VersionStanding::Stale => {
                let peer = self.peers.get_mut(from);
                if !peer.is_some_and(|peer| spaced(&mut peer.config_at, now, CONFIG_GAP)) {
                    return;
                }
                if standing == VersionStanding::Stale {
                    self.push_config_to(from, out);
                } else {
                    let current = self.config.current.as_ref();
                    let have = current.map(|(in_force, _)| in_force.digest);
                    self.send(from, ControlMessage::ConfigWant { have }, out);
                }
            }
            _ => {}
        }
    }

    fn report_split(&mut self, mark: ConfigMark, out: &mut Vec<FleetAction>) {
        self.counters.split_versions += 1;
        if self.config.first_report(mark) {
            out.push(FleetAction::ConfigRefused {
                version: mark.version,
                code: ResultCode::PresetDigestMismatch,
                reason: format!(
                    "version {} exists with two contents: was the platform restored?",
                    mark.version
                ),
            });
        }
    }

    /// Takes in that a version exists, and sees to its content if it is new.
    pub(crate) fn hear_version(
        &mut self,
        in_force: InForce,
        source: ConfigSource,
        out: &mut Vec<FleetAction>,
    ) {
        let mark = ConfigMark::from(&in_force);
        let from_platform = matches!(source, ConfigSource::Platform);
        if from_platform && self.config.was_refused(self.now, mark) {
            self.config.gate.discard_platform_version();
            return;
        }
        match self.config.standing(mark) {
            VersionStanding::Newer => self.want(in_force, source, out),
            VersionStanding::Wanted => match source {
                ConfigSource::Peer(peer) => self.add_source(&peer),
                ConfigSource::Platform => self.want_from_platform(),
            },
            VersionStanding::Stale => self.counters.stale_versions += 1,
            VersionStanding::Split => self.report_split(mark, out),
            VersionStanding::Held | VersionStanding::Between => {}
        }
    }

    pub(crate) fn on_config_offer(
        &mut self,
        from: &InstanceName,
        in_force: InForce,
        out: &mut Vec<FleetAction>,
    ) {
        self.note_mark(from, ConfigMark::from(&in_force));
        self.hear_version(in_force, ConfigSource::Peer(from.clone()), out);
    }

    /// Notes what a peer has, so that it isn't pushed back to it.
    fn note_mark(&mut self, from: &InstanceName, mark: ConfigMark) {
        if let Some(peer) = self.peers.get_mut(from) {
            let higher = peer.mark.is_none_or(|known| mark.version > known.version);
            peer.mark = if higher { Some(mark) } else { peer.mark };
        }
    }

    pub(crate) fn on_config_delta(
        &mut self,
        from: &InstanceName,
        in_force: InForce,
        delta: WireDelta,
        out: &mut Vec<FleetAction>,
    ) {
        let mark = ConfigMark::from(&in_force);
        self.note_mark(from, mark);
        let standing = self.config.standing(mark);
        let useful = matches!(
            standing,
            VersionStanding::Newer | VersionStanding::Wanted | VersionStanding::Between
        );
        let delta = PresetDelta::from(delta);
        let base = self.config.shelf.get(delta.base);
        let applied = base.filter(|_| useful && delta.target == in_force.digest);
        let applied = applied.and_then(|base| delta.apply(base).ok());
        if let Some(preset) = applied {
            self.stage(in_force, Arc::new(preset), out);
            return;
        }
        if useful {
            self.counters.missed_deltas += 1;
        }
        self.hear_version(in_force, ConfigSource::Peer(from.clone()), out);
    }

    /// Keeps a checked preset until it may come into force.
    pub(crate) fn stage(
        &mut self,
        in_force: InForce,
        preset: Arc<Preset>,
        out: &mut Vec<FleetAction>,
    ) {
        let wanted = self.config.wanted.as_ref();
        if wanted.is_some_and(|wanted| wanted.in_force.version <= in_force.version) {
            self.config.wanted = None;
        }
        self.config.staged = Some((in_force, preset));
        self.try_adopt(out);
    }

    /// Swaps the staged preset in, if it may come into force.
    ///
    /// The only place where the configuration changes: a version that isn't
    /// higher never passes, whatever the order in which messages came.
    pub(crate) fn try_adopt(&mut self, out: &mut Vec<FleetAction>) {
        let Some((in_force, _)) = &self.config.staged else {
            return;
        };
        let version = in_force.version;
        let current = self.config.current.as_ref();
        let current = current.map(|(current, _)| current.version);
        if current.is_none() && !self.may_start(version) {
            return;
        }
        let Some((in_force, preset)) = self.config.staged.take() else {
            return;
        };
        if current.is_some_and(|current| version <= current) {
            self.counters.stale_versions += 1;
            return;
        }
        self.config.shelf.put(&preset);
        self.config.current = Some((in_force.clone(), Arc::clone(&preset)));
        out.push(FleetAction::ConfigChanged { in_force, preset });
        let links = self.links.clone();
        for link in &links {
            self.push_config_to(link, out);
        }
    }

    /// Reports whether `version` may be the first of this process.
    fn may_start(&self, version: PresetVersion) -> bool {
        let others = self.table.rows().count() - 1;
        let gate = &self.config.gate;
        version >= gate.highest() && gate.is_open(self.now, others)
    }

    /// Pushes the version in force to a peer that isn't known to have it.
    fn push_config_to(&mut self, to: &InstanceName, out: &mut Vec<FleetAction>) {
        let theirs = self.peers.get(to).and_then(|peer| peer.mark);
        let ours = self.config.mark();
        if theirs.map(|mark| mark.version) >= ours.map(|mark| mark.version) {
            return;
        }
        let base = theirs.map(|mark| mark.tag);
        if let Some(message) = self.config_message(base, DELTA_BYTES_MAX) {
            self.send(to, message, out);
        }
    }

    /// Makes the message that brings a peer from `base` to the version in
    /// force: a delta if it has at most `max` bytes, else an offer.
    pub(crate) fn config_message(&self, base: Option<u64>, max: u64) -> Option<ControlMessage> {
        let (in_force, preset) = self.config.current.clone()?;
        let offer = ControlMessage::ConfigOffer(in_force.clone());
        let Some(base) = base.and_then(|tag| self.config.shelf.by_tag(tag)) else {
            return Some(offer);
        };
        let delta = WireDelta::from(PresetDelta::between(base, &preset));
        let message = ControlMessage::ConfigDelta { in_force, delta };
        let fits = encoded_bytes(&message) <= max.min(CHUNK_BYTES as u64);
        Some(if fits { message } else { offer })
    }
}
