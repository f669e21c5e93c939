//! The state machine that the node's control thread drives.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use geranium_model::{
    CrashRow, DataCentre, InForce, InstanceName, MemberRow, MemberState, Preset, ServiceName,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    ControlEnvelope, ControlMessage, CrashSet, DataCentreBeats, FleetAction, FleetCounters,
    FleetSettings, MESSAGE_BYTES_MAX, MemberTable, PlatformCall, PlatformDesk, StartGate,
    TokenBucket, config_state::ConfigState, core_join::JoinState,
    failure_detector::FailureDetector, fleet_counters::kind_index, hash::name_key,
    peer_state::PeerState,
};

/// Bytes a second for rows pushed along links, in all. With digests it keeps a
/// node below 12 KB/s however much changes; what exceeds it waits, newest row
/// only, and digests repair meanwhile.
const PUSH_RATE: f64 = 8_000.0;
/// Bytes pushed at once: the rows of a lost rack along every link.
const PUSH_BURST: f64 = 96_000.0;
/// Bytes a second for answers to repairs, in all.
const REPAIR_RATE: f64 = 32_000.0;
/// Bytes of repairs at once: all rows of 1,600 members to two newcomers.
const REPAIR_BURST: f64 = 384_000.0;
/// Bytes a second of documents in chunks, in all: they come on request only,
/// when a preset is replaced as a whole or a node starts.
const CONTENT_RATE: f64 = 64_000.0;
/// Bytes of documents at once: one of 300 kB to each of seven links.
const CONTENT_BURST: f64 = 2_100_000.0;
/// Peers remembered, members or not.
const PEERS_MAX: usize = 10_000;
/// A gap between two calls after which this node itself stood still: the
/// control thread calls ten times a second.
const STOOD_STILL: Duration = Duration::from_secs(3);
/// Gap between digests: with seven links each neighbour is heard every 6 s, and
/// a member that fails is missed by one of its neighbours within about one.
pub(crate) const EXCHANGE_GAP: Duration = Duration::from_millis(800);
/// Gap between scans of what only time changes.
const SCAN_GAP: Duration = Duration::from_secs(1);

/// Configuration spreading and membership of one node.
///
/// Every method takes the time since the node's start and adds to `out` what
/// the node should do.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_spread::{FleetAction, FleetCore, FleetSettings, example_row};
///
/// let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 7);
/// let mut out = Vec::new();
/// core.tick(Duration::from_secs(1), &mut out);
/// assert!(matches!(out[0], FleetAction::Platform(_)));
/// assert!(core.in_force().is_none());
/// ```
#[derive(Debug)]
pub struct FleetCore {
    pub(crate) settings: FleetSettings,
    pub(crate) own: MemberRow,
    pub(crate) own_key: u64,
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    pub(crate) started_at: Duration,
    pub(crate) begun: bool,
    pub(crate) table: MemberTable,
    pub(crate) peers: BTreeMap<InstanceName, PeerState>,
    pub(crate) crashes: CrashSet,
    pub(crate) beats: DataCentreBeats,
    pub(crate) cut_off: Vec<DataCentre>,
    pub(crate) detector: FailureDetector,
    pub(crate) suspects: BTreeMap<InstanceName, Duration>,
    pub(crate) heard_any_at: Duration,
    pub(crate) chosen: Vec<InstanceName>,
    pub(crate) links: Vec<InstanceName>,
    pub(crate) links_stale: bool,
    pub(crate) watch_rank: Option<usize>,
    pub(crate) next_link: usize,
    pub(crate) next_exchange: Duration,
    pub(crate) next_scan: Duration,
    pub(crate) next_heal: Duration,
    pub(crate) outboxes: BTreeSet<InstanceName>,
    pub(crate) push_bucket: TokenBucket,
    pub(crate) repair_bucket: TokenBucket,
    pub(crate) content_bucket: TokenBucket,
    pub(crate) config: ConfigState,
    pub(crate) desk: PlatformDesk,
    pub(crate) join: JoinState,
    pub(crate) counters: FleetCounters,
}

impl FleetCore {
    /// Makes the core of a node whose row is `own`.
    ///
    /// The same seed and calls give the same actions.
    pub fn new(settings: FleetSettings, own: MemberRow, rng_seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(rng_seed);
        let desk = PlatformDesk::new(Duration::ZERO, settings.planned_members, &mut rng);
        let mut table = MemberTable::default();
        table.merge(Duration::ZERO, &own);
        let join = JoinState::new(&settings);
        Self {
            own_key: name_key(own.instance.as_str()),
            next_link: rng.random_range(0..64),
            settings,
            own,
            rng,
            table,
            desk,
            join,
            now: Duration::ZERO,
            started_at: Duration::ZERO,
            begun: false,
            peers: BTreeMap::new(),
            crashes: CrashSet::default(),
            beats: DataCentreBeats::default(),
            cut_off: Vec::new(),
            detector: FailureDetector::default(),
            suspects: BTreeMap::new(),
            heard_any_at: Duration::ZERO,
            chosen: Vec::new(),
            links: Vec::new(),
            links_stale: true,
            watch_rank: None,
            next_exchange: Duration::ZERO,
            next_scan: Duration::ZERO,
            next_heal: Duration::ZERO,
            outboxes: BTreeSet::new(),
            push_bucket: TokenBucket::new(PUSH_RATE, PUSH_BURST, PUSH_BURST),
            repair_bucket: TokenBucket::new(REPAIR_RATE, REPAIR_BURST, REPAIR_BURST),
            content_bucket: TokenBucket::new(CONTENT_RATE, CONTENT_BURST, CONTENT_BURST),
            config: ConfigState::default(),
            counters: FleetCounters::default(),
        }
    }

    /// Takes in a message from another node.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_spread::{
    ///     ControlEnvelope, ControlMessage, FleetCore, FleetSettings, example_row,
    /// };
    ///
    /// let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 7);
    /// let newcomer = example_row("a-2", 1);
    /// let envelope = ControlEnvelope {
    ///     from: newcomer.instance.clone(),
    ///     from_addr: newcomer.control_addr,
    ///     message: ControlMessage::Join(newcomer),
    /// };
    /// core.handle(Duration::from_secs(1), envelope, &mut Vec::new());
    /// assert_eq!(core.members().count(), 2);
    /// ```
    pub fn handle(&mut self, now: Duration, envelope: ControlEnvelope, out: &mut Vec<FleetAction>) {
        self.enter(now);
        let ControlEnvelope {
            from,
            from_addr,
            message,
        } = envelope;
        if from == self.own.instance {
            return;
        }
        let kind = kind_index(&message);
        self.counters.received[kind] += 1;
        self.counters.received_bytes[kind] += encoded_bytes(&message);
        self.hear(&from, from_addr, out);
        match message {
            ControlMessage::Digest(digest) => self.on_digest(&from, &digest, out),
            ControlMessage::Join(row) => self.on_join(&from, &row, out),
            ControlMessage::Rows(rows) => self.on_rows(&from, &rows, out),
            ControlMessage::Buckets(hashes) => self.on_buckets(&from, &hashes, out),
            ControlMessage::Marks { buckets, marks } => {
                self.on_marks(&from, &buckets, &marks, out);
            }
            ControlMessage::RowsWanted(keys) => self.on_rows_wanted(&from, &keys, out),
            ControlMessage::Crashes { notes, complete } => {
                self.on_crashes(&from, notes, complete, out);
            }
            ControlMessage::ProbeRequest(target) => self.on_probe_request(&from, &target, out),
            ControlMessage::ProbeSeen(target) => self.detector.vouched(&target),
            ControlMessage::ConfigWant { have } => self.on_config_want(&from, have, out),
            ControlMessage::ConfigDelta { in_force, delta } => {
                self.on_config_delta(&from, in_force, delta, out);
            }
            ControlMessage::ConfigOffer(in_force) => self.on_config_offer(&from, in_force, out),
            ControlMessage::ChunkWant { digest, first } => {
                self.on_chunk_want(&from, digest, first, out);
            }
            ControlMessage::Chunk {
                digest,
                index,
                total,
                bytes,
            } => self.on_chunk(&from, digest, (index, total), bytes, out),
        }
        self.flush(out);
    }

    /// Does what time alone makes due.
    ///
    /// The node calls it ten times a second, and at [`FleetCore::next_wake`].
    pub fn tick(&mut self, now: Duration, out: &mut Vec<FleetAction>) {
        self.enter(now);
        self.try_join(out);
        if now >= self.next_scan {
            self.next_scan = now + SCAN_GAP;
            self.scan(out);
        }
        if self.links_stale {
            self.choose_links(out);
        }
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_GAP.mul_f64(self.rng.random_range(0.9..1.1));
            self.exchange(out);
        }
        self.advance_detector(out);
        self.retry_config(out);
        self.try_adopt(out);
        self.call_platform(out);
        self.flush(out);
    }

    /// Returns when [`FleetCore::tick`] has something to do at the latest.
    pub const fn next_wake(&self) -> Duration {
        self.next_exchange
    }

    /// Changes the state of the own row and tells the fleet at once.
    ///
    /// Each change raises the incarnation, so that no older row of this
    /// instance can hide it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_model::MemberState;
    /// use geranium_spread::{FleetCore, FleetSettings, example_row};
    ///
    /// let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 7);
    /// let service = "verdskra".parse().ok();
    /// let now = Duration::from_secs(1);
    /// core.set_state(now, MemberState::Draining, service, 12, &mut Vec::new());
    /// assert_eq!(core.own_row().state, MemberState::Draining);
    /// ```
    pub fn set_state(
        &mut self,
        now: Duration,
        state: MemberState,
        service: Option<ServiceName>,
        slots: u16,
        out: &mut Vec<FleetAction>,
    ) {
        self.enter(now);
        if self.links_stale {
            self.choose_links(out);
        }
        self.own.state = state;
        self.own.service = service;
        self.own.slots = slots;
        self.raise_incarnation(self.own.incarnation, out);
        self.flush(out);
    }

    /// Tells the fleet that a backend server broke under a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_model::{CrashRow, Incarnation};
    /// use geranium_spread::{FleetAction, FleetCore, FleetSettings, example_row};
    ///
    /// let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 7);
    /// let instance = core.own_row().instance.clone();
    /// let row = CrashRow { fingerprint: 9, instance, announced: Incarnation::new(1) };
    /// let mut out = Vec::new();
    /// core.report_crash(Duration::from_secs(1), row, &mut out);
    /// assert!(matches!(out[0], FleetAction::CrashHeard(_)));
    /// ```
    pub fn report_crash(&mut self, now: Duration, row: CrashRow, out: &mut Vec<FleetAction>) {
        self.enter(now);
        let expires_at = now + self.crash_hold();
        if self.crashes.insert(row.clone(), expires_at) {
            out.push(FleetAction::CrashHeard(row.clone()));
            self.spread_crashes(None, &[row], out);
        }
    }

    /// Notes that a message couldn't be sent, so that the receiver is checked
    /// before its turn.
    ///
    /// That alone proves nothing: a full buffer looks the same.
    pub fn send_failed(&mut self, now: Duration, to: &InstanceName) {
        self.enter(now);
        if self.links.contains(to) {
            self.detector.asked(now, to);
        }
    }

    /// Returns the configuration in force, once there is one.
    pub fn in_force(&self) -> Option<(&InForce, &Arc<Preset>)> {
        let current = self.config.current.as_ref();
        current.map(|(in_force, preset)| (in_force, preset))
    }

    /// Returns every member that isn't gone, this node's own included.
    pub fn members(&self) -> impl Iterator<Item = &MemberRow> {
        self.table.rows()
    }

    /// Returns the row of a member, also when it is gone.
    pub fn member(&self, instance: &InstanceName) -> Option<&MemberRow> {
        self.table.get(instance)
    }

    /// Reports whether messages may reach a member, as far as is known.
    pub fn reachable(&self, instance: &InstanceName) -> bool {
        if *instance == self.own.instance {
            return true;
        }
        let row = self.table.get(instance);
        row.is_some_and(|row| {
            row.state != MemberState::Gone
                && !self.cut_off.contains(&row.data_centre)
                && !self.detector.is_silent(instance)
        })
    }

    /// Returns the members that changes are pushed to.
    pub fn links(&self) -> &[InstanceName] {
        &self.links
    }

    /// Reports whether this node watches the platform for its data centre.
    pub const fn is_watcher(&self) -> bool {
        self.watch_rank.is_some()
    }

    /// Returns the own row.
    pub const fn own_row(&self) -> &MemberRow {
        &self.own
    }

    /// Returns the data centres that are cut off from this node.
    pub fn cut_off(&self) -> &[DataCentre] {
        &self.cut_off
    }

    /// Returns the hash over all members; equal where the fleet agrees.
    pub fn members_root(&self) -> u64 {
        self.table.root()
    }

    /// Returns the counts since the start.
    pub const fn counters(&self) -> FleetCounters {
        self.counters
    }

    /// Notes the time, and forgives all silence if this node stood still.
    ///
    /// Failure guarded against: a frozen instance that thaws and blames its
    /// neighbours for its own silence. It shows as suspicions from one node
    /// against many. The control thread runs ten times a second, so a gap of
    /// seconds is this node's own.
    pub(crate) fn enter(&mut self, now: Duration) {
        if !self.begun {
            self.begun = true;
            self.started_at = now;
            self.config.gate = StartGate::new(now);
            self.now = now;
        }
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > STOOD_STILL {
            self.detector.restart();
            self.beats.forgive(now);
            for since in self.suspects.values_mut() {
                *since = now;
            }
        }
    }

    /// Notes a sign of life.
    fn hear(&mut self, from: &InstanceName, addr: SocketAddr, out: &mut Vec<FleetAction>) {
        let now = self.now;
        self.heard_any_at = now;
        if self.peers.len() >= PEERS_MAX && !self.peers.contains_key(from) {
            return;
        }
        let peer = self.peers.entry(from.clone());
        let peer = peer.or_insert_with(|| PeerState::new(addr, now));
        peer.heard_at = now;
        peer.addr = addr;
        let (origins, returned) = self.detector.heard(from);
        self.links_stale |= returned;
        for origin in origins {
            self.send(&origin, ControlMessage::ProbeSeen(from.clone()), out);
        }
        self.correct(from, out);
    }

    /// Sends a message to a member or peer whose address is known.
    pub(crate) fn send(
        &mut self,
        to: &InstanceName,
        message: ControlMessage,
        out: &mut Vec<FleetAction>,
    ) {
        let row_addr = self.table.get(to).map(|row| row.control_addr);
        let peer_addr = self.peers.get(to).map(|peer| peer.addr);
        if let Some(addr) = row_addr.or(peer_addr) {
            self.send_to(to.clone(), addr, message, out);
        }
    }

    /// Sends a message to an address.
    pub(crate) fn send_to(
        &mut self,
        to: InstanceName,
        addr: SocketAddr,
        message: ControlMessage,
        out: &mut Vec<FleetAction>,
    ) {
        let kind = kind_index(&message);
        let bytes = encoded_bytes(&message);
        debug_assert!(bytes < MESSAGE_BYTES_MAX as u64, "{message:?}");
        self.counters.sent[kind] += 1;
        self.counters.sent_bytes[kind] += bytes;
        out.push(FleetAction::Send { to, addr, message });
    }

    /// Makes the platform calls that are due.
    pub(crate) fn call_platform(&mut self, out: &mut Vec<FleetAction>) {
        let empty = self.config.current.is_none();
        let watcher = self.is_watcher();
        let calls = self.desk.due(self.now, watcher, empty, &mut self.rng);
        for call in calls {
            match &call {
                PlatformCall::WatchInForce { .. } => self.counters.platform_watches += 1,
                _ => self.counters.platform_calls += 1,
            }
            out.push(FleetAction::Platform(call));
        }
    }
}

/// Size of a message without its envelope, in bytes.
pub(crate) fn encoded_bytes(message: &ControlMessage) -> u64 {
    let size = postcard::ser_flavors::Size::default();
    let bytes = postcard::serialize_with_flavor(message, size);
    bytes.unwrap_or_default() as u64
}
