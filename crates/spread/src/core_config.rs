//! Configuration: hearing of versions, fetching, checking, swapping, pushing.

use std::{sync::Arc, time::Duration};

use geranium_model::{
    ContentDigest, InForce, InstanceName, Preset, PresetDelta, PresetVersion, ResultCode,
};

use crate::{
    CHUNK_BYTES, CHUNKS_AT_ONCE, ChunkAssembly, ConfigMark, ControlMessage, FleetAction, FleetCore,
    PlatformCall, WireDelta,
    config_state::{ConfigSource, VersionStanding, WantedConfig, checked_preset},
    control_message::content_tag,
    fleet_core::encoded_bytes,
    peer_state::spaced,
};

/// Largest delta pushed unasked: it arrives along every link, so larger ones
/// are offered and come once.
const DELTA_BYTES_MAX: u64 = 4_096;
/// Gap between configuration messages begun with one peer by digests.
const CONFIG_GAP: Duration = Duration::from_millis(400);
/// Wait for an answer before the next source is asked.
const FETCH_WAIT: Duration = Duration::from_millis(700);
/// Longest wait between attempts.
const FETCH_WAIT_MAX: Duration = Duration::from_secs(10);
/// Attempts after which a version nobody can show is forgotten.
const FETCH_ATTEMPTS: u32 = 24;

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

    fn add_source(&mut self, peer: &InstanceName) {
        if let Some(wanted) = &mut self.config.wanted
            && !wanted.peers.contains(peer)
        {
            wanted.peers.push(peer.clone());
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

    fn want(&mut self, in_force: InForce, source: ConfigSource, out: &mut Vec<FleetAction>) {
        if let Some(preset) = self.config.shelf.get(in_force.digest).cloned() {
            self.stage(in_force, preset, out);
            return;
        }
        let digest = in_force.digest;
        let mut wanted = WantedConfig {
            in_force,
            peers: Vec::new(),
            from_platform: false,
            assembly: ChunkAssembly::default(),
            asked_at: self.now,
            attempts: 0,
            missing_reported: false,
        };
        match source {
            ConfigSource::Peer(peer) => {
                wanted.peers.push(peer.clone());
                self.config.wanted = Some(wanted);
                let first = 0;
                self.send(&peer, ControlMessage::ChunkWant { digest, first }, out);
            }
            ConfigSource::Platform => {
                self.config.wanted = Some(wanted);
                self.want_from_platform();
            }
        }
    }

    fn want_from_platform(&mut self) {
        if let Some(wanted) = &mut self.config.wanted
            && !wanted.from_platform
        {
            wanted.from_platform = true;
            let digest = wanted.in_force.digest;
            self.desk.queue_first(PlatformCall::ReadContent(digest));
        }
    }

    /// Asks the next source when the last gave no answer.
    pub(crate) fn retry_config(&mut self, out: &mut Vec<FleetAction>) {
        let now = self.now;
        let Some(wanted) = &mut self.config.wanted else {
            return;
        };
        let wait = FETCH_WAIT * 2u32.saturating_pow(wanted.attempts.min(5));
        if now.saturating_sub(wanted.asked_at) < wait.min(FETCH_WAIT_MAX) {
            return;
        }
        wanted.asked_at = now;
        wanted.attempts += 1;
        let version = wanted.in_force.version;
        let digest = wanted.in_force.digest;
        if wanted.attempts > FETCH_ATTEMPTS {
            self.config.wanted = None;
            return;
        }
        let ahead = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.mark.is_some_and(|mark| mark.version >= version));
        for (name, _) in ahead {
            if !wanted.peers.contains(name) {
                wanted.peers.push(name.clone());
            }
        }
        let first = wanted.assembly.first_missing();
        let turn = wanted.attempts as usize;
        let peer = wanted.peers.get(turn % wanted.peers.len().max(1)).cloned();
        let platform_due = wanted.from_platform || peer.is_none() || wanted.attempts > 3;
        if let Some(peer) = peer {
            self.send(&peer, ControlMessage::ChunkWant { digest, first }, out);
        }
        if platform_due {
            if let Some(wanted) = &mut self.config.wanted {
                wanted.from_platform = true;
            }
            self.desk.queue(PlatformCall::ReadContent(digest));
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

    pub(crate) fn on_config_want(
        &mut self,
        from: &InstanceName,
        have: Option<ContentDigest>,
        out: &mut Vec<FleetAction>,
    ) {
        if let Some(message) = self.config_message(have.map(content_tag), u64::MAX) {
            self.send_repair(from, message, out);
        }
    }

    pub(crate) fn on_chunk_want(
        &mut self,
        from: &InstanceName,
        digest: ContentDigest,
        first: u16,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(document) = self.config.shelf.bytes(digest) else {
            return;
        };
        let total = document.len().div_ceil(CHUNK_BYTES) as u16;
        let parts = (0u16..).zip(document.chunks(CHUNK_BYTES));
        for (index, part) in parts.skip(usize::from(first)).take(CHUNKS_AT_ONCE) {
            let bytes = part.to_vec();
            let message = ControlMessage::Chunk {
                digest,
                index,
                total,
                bytes,
            };
            self.send_repair(from, message, out);
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: &InstanceName,
        digest: ContentDigest,
        (index, total): (u16, u16),
        bytes: Vec<u8>,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(wanted) = &mut self.config.wanted else {
            return;
        };
        if wanted.in_force.digest != digest {
            return;
        }
        let document = wanted.assembly.put(index, total, bytes);
        wanted.asked_at = self.now;
        let Some(document) = document else {
            let first = wanted.assembly.first_missing();
            if wanted.assembly.request_done(index) {
                self.send(from, ControlMessage::ChunkWant { digest, first }, out);
            }
            return;
        };
        let in_force = wanted.in_force.clone();
        if let Ok(preset) = checked_preset(digest, &document) {
            self.stage(in_force, Arc::new(preset), out);
            return;
        }
        // Chunks of two documents, or garbled ones: begin anew.
        self.counters.bad_documents += 1;
        if let Some(wanted) = &mut self.config.wanted {
            wanted.assembly = ChunkAssembly::default();
        }
    }

    pub(crate) fn on_content(
        &mut self,
        digest: ContentDigest,
        bytes: Option<&[u8]>,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(wanted) = &mut self.config.wanted else {
            return;
        };
        if wanted.in_force.digest != digest {
            return;
        }
        let in_force = wanted.in_force.clone();
        let Some(bytes) = bytes else {
            wanted.from_platform = false;
            if !std::mem::replace(&mut wanted.missing_reported, true) {
                out.push(FleetAction::ConfigRefused {
                    version: in_force.version,
                    code: ResultCode::PresetUnknown,
                    reason: format!("the platform has no content {digest}"),
                });
            }
            return;
        };
        match checked_preset(digest, bytes) {
            Ok(preset) => self.stage(in_force, Arc::new(preset), out),
            Err((code, reason)) => self.refuse(&in_force, code, reason, out),
        }
    }

    /// Refuses a version for good; the former stays in force.
    fn refuse(
        &mut self,
        in_force: &InForce,
        code: ResultCode,
        reason: String,
        out: &mut Vec<FleetAction>,
    ) {
        let mark = ConfigMark::from(in_force);
        self.counters.bad_documents += 1;
        self.config.refuse(self.now, mark);
        self.config.wanted = None;
        self.config.gate.discard_platform_version();
        if self.config.first_report(mark) {
            out.push(FleetAction::ConfigRefused {
                version: in_force.version,
                code,
                reason,
            });
        }
        self.try_adopt(out);
    }

    /// Keeps a checked preset until it may come into force.
    fn stage(&mut self, in_force: InForce, preset: Arc<Preset>, out: &mut Vec<FleetAction>) {
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
    fn config_message(&self, base: Option<u64>, max: u64) -> Option<ControlMessage> {
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
