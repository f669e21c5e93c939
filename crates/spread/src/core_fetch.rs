//! Content of a version: asking for it, serving it, checking it.

use std::{sync::Arc, time::Duration};

use geranium_model::{ContentDigest, InForce, InstanceName, ResultCode};

use crate::{
    CHUNK_BYTES, CHUNKS_AT_ONCE, ChunkAssembly, ConfigMark, ControlMessage, FleetAction, FleetCore,
    PlatformCall,
    config_state::{ConfigSource, WantedConfig, checked_preset},
    control_message::content_tag,
};

/// Wait for an answer before the next source is asked.
const FETCH_WAIT: Duration = Duration::from_millis(700);
/// Longest wait between attempts.
const FETCH_WAIT_MAX: Duration = Duration::from_secs(10);
/// Attempts after which a version nobody can show is forgotten.
const FETCH_ATTEMPTS: u32 = 24;

impl FleetCore {
    pub(crate) fn add_source(&mut self, peer: &InstanceName) {
        if let Some(wanted) = &mut self.config.wanted
            && !wanted.peers.contains(peer)
        {
            wanted.peers.push(peer.clone());
        }
    }

    pub(crate) fn want(
        &mut self,
        in_force: InForce,
        source: ConfigSource,
        out: &mut Vec<FleetAction>,
    ) {
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

    pub(crate) fn want_from_platform(&mut self) {
        if let Some(wanted) = &mut self.config.wanted
            && !wanted.from_platform
        {
            wanted.from_platform = true;
            let digest = wanted.in_force.digest;
            self.desk.queue_first(PlatformCall::ReadContent(digest));
        }
    }

    /// Reports whether the document is the one being fetched.
    pub(crate) fn wants(&self, digest: ContentDigest) -> bool {
        let wanted = self.config.wanted.as_ref();
        wanted.is_some_and(|wanted| wanted.in_force.digest == digest)
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
            if !self.content_bucket.take(self.now, bytes.len() as f64) {
                self.counters.repairs_withheld += 1;
                return;
            }
            let message = ControlMessage::Chunk {
                digest,
                index,
                total,
                bytes,
            };
            self.send(from, message, out);
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
        // It comes, if slowly: the wait begins anew.
        wanted.attempts = 0;
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
}
