//! Cores joined by a message shuffler and a platform, all in memory.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use geranium_model::{
    ContentDigest, CrashRow, InstanceName, MemberState, Preset, PresetVersion, ResultCode,
};
use geranium_spread::{
    ControlEnvelope, FleetAction, FleetCore, FleetSettings, PlatformCall, PlatformReport,
    example_row,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::fake_platform::{FakePlatform, in_force};

const TICK: Duration = Duration::from_millis(100);

enum Arrival {
    Message(Box<ControlEnvelope>),
    Report(PlatformReport),
}

/// Something under way: due time, order of sending, receiver and content.
type Queued = (Duration, u64, String);

#[derive(Default)]
pub struct Fleet {
    pub now: Duration,
    pub cores: BTreeMap<String, FleetCore>,
    pub platform: FakePlatform,
    pub frozen: BTreeSet<String>,
    /// Pairs of name prefixes between which nothing passes.
    pub cuts: Vec<(String, String)>,
    /// Name prefixes whose platform calls fail while cuts stand.
    pub platform_cut: BTreeSet<String>,
    pub loss: f64,
    pub doubling: f64,
    pub delay_ms: u64,
    pub refused: Vec<(String, PresetVersion, ResultCode)>,
    pub versions: BTreeMap<String, Vec<u64>>,
    pub crashes: BTreeMap<String, Vec<CrashRow>>,
    /// Messages and bytes sent, and the largest message.
    pub sent: u64,
    pub sent_bytes: u64,
    pub largest: usize,
    /// When each version came into force at each node.
    pub changed_at: Vec<(u64, Duration)>,
    names: BTreeMap<SocketAddr, String>,
    planned_members: u32,
    next_tick: Duration,
    incarnation: u64,
    rng: Option<StdRng>,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    arrivals: BTreeMap<u64, Arrival>,
    watches: BTreeMap<String, (u64, Duration)>,
}

impl Fleet {
    /// Makes a fleet of `sizes` members in each data centre, not yet started.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Some(StdRng::seed_from_u64(seed)),
            delay_ms: 5,
            ..Self::default()
        }
    }

    /// Starts `count` nodes in `data_centre` that know the fleet's seeds.
    pub fn start(&mut self, data_centre: &str, count: usize) {
        for index in 0..count {
            self.start_one(&format!("{data_centre}-{index}"));
        }
    }

    /// Starts nodes that know what size the fleet is planned for.
    pub fn start_planned(&mut self, data_centre: &str, count: usize, planned_members: u32) {
        for index in 0..count {
            self.planned_members = planned_members;
            self.start_one(&format!("{data_centre}-{index}"));
        }
    }

    /// Starts one node, or restarts it empty.
    pub fn start_one(&mut self, name: &str) {
        self.incarnation += 1;
        let row = example_row(name, self.incarnation);
        let seeds = self
            .cores
            .values()
            .take(2)
            .map(|core| core.own_row().control_addr);
        let settings = FleetSettings {
            seeds: seeds.collect(),
            planned_members: self.planned_members,
            ..FleetSettings::default()
        };
        self.start_with(name, settings, row.incarnation.get());
    }

    pub fn start_with(&mut self, name: &str, settings: FleetSettings, incarnation: u64) {
        let seed = self.rng().random();
        let core = FleetCore::new(settings, example_row(name, incarnation), seed);
        let addr = core.own_row().control_addr;
        self.names.insert(addr, name.to_owned());
        self.watches.remove(name);
        self.versions.entry(name.to_owned()).or_default();
        self.cores.insert(name.to_owned(), core);
    }

    fn rng(&mut self) -> &mut StdRng {
        self.rng.as_mut().unwrap()
    }

    /// Runs for `seconds`.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            let due = self.queue.peek().map(|Reverse((at, ..))| *at);
            match due {
                Some(at) if at <= self.next_tick => self.deliver(),
                _ => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.next_tick;
        self.next_tick += TICK;
        self.serve_watches();
        for name in self.running() {
            self.act(&name, FleetCore::tick);
        }
    }

    fn running(&self) -> Vec<String> {
        let names = self.cores.keys();
        names
            .filter(|name| !self.frozen.contains(*name))
            .cloned()
            .collect()
    }

    fn deliver(&mut self) {
        let Reverse((at, id, to)) = self.queue.pop().unwrap();
        self.now = at;
        let arrival = self.arrivals.remove(&id).unwrap();
        if !self.cores.contains_key(&to) || self.frozen.contains(&to) {
            return;
        }
        self.act(&to, |core, now, out| match arrival {
            Arrival::Message(envelope) => core.handle(now, *envelope, out),
            Arrival::Report(report) => core.platform_report(now, report, out),
        });
    }

    /// Calls a core and carries out what it decides.
    pub fn act(
        &mut self,
        name: &str,
        call: impl FnOnce(&mut FleetCore, Duration, &mut Vec<FleetAction>),
    ) {
        let mut out = Vec::new();
        let now = self.now;
        call(self.cores.get_mut(name).unwrap(), now, &mut out);
        for action in out {
            self.carry_out(name, action);
        }
    }

    fn carry_out(&mut self, name: &str, action: FleetAction) {
        match action {
            FleetAction::Send { addr, message, .. } => {
                let own = self.cores[name].own_row();
                let envelope = ControlEnvelope {
                    from: own.instance.clone(),
                    from_addr: own.control_addr,
                    message,
                };
                if let Some(to) = self.names.get(&addr).cloned() {
                    self.post(name, &to, &envelope);
                }
            }
            FleetAction::Platform(call) => self.call_platform(name, call),
            FleetAction::ConfigChanged { in_force, preset } => {
                assert_eq!(in_force.digest, preset.digest());
                let versions = self.versions.get_mut(name).unwrap();
                versions.push(in_force.version.get());
                self.changed_at.push((in_force.version.get(), self.now));
            }
            FleetAction::ConfigRefused { version, code, .. } => {
                self.refused.push((name.to_owned(), version, code));
            }
            FleetAction::CrashHeard(row) => {
                self.crashes.entry(name.to_owned()).or_default().push(row);
            }
            FleetAction::MemberChanged(_) | FleetAction::MemberGone(_) => {}
        }
    }

    fn post(&mut self, from: &str, to: &str, envelope: &ControlEnvelope) {
        let bytes = envelope.encode();
        self.sent += 1;
        self.sent_bytes += bytes.len() as u64;
        self.largest = self.largest.max(bytes.len());
        let cut = self.cuts.iter().any(|(a, b)| {
            from.starts_with(a) && to.starts_with(b) || from.starts_with(b) && to.starts_with(a)
        });
        let (loss, doubling) = (self.loss, self.doubling);
        if cut || self.rng().random_bool(loss) {
            return;
        }
        // Every message takes the way over the wire.
        let copies = 1 + usize::from(self.rng().random_bool(doubling));
        for _ in 0..copies {
            let read = ControlEnvelope::decode(&bytes).unwrap();
            self.enqueue(to, Arrival::Message(Box::new(read)));
        }
    }

    fn enqueue(&mut self, to: &str, arrival: Arrival) {
        let delay_ms = self.delay_ms;
        let delay = Duration::from_millis(self.rng().random_range(1..=delay_ms));
        self.order += 1;
        self.arrivals.insert(self.order, arrival);
        let queued = (self.now + delay, self.order, to.to_owned());
        self.queue.push(Reverse(queued));
    }

    fn call_platform(&mut self, name: &str, call: PlatformCall) {
        *self.platform.calls.entry(self.now.as_secs()).or_default() += 1;
        let away = self.platform_away(name);
        let platform = &mut self.platform;
        let report = match &call {
            _ if away => PlatformReport::Failed { call },
            PlatformCall::WatchInForce {
                after_revision,
                wait,
            } => {
                let watch = (*after_revision, self.now + *wait);
                self.watches.insert(name.to_owned(), watch);
                return;
            }
            PlatformCall::ReadInForce => platform.read(false),
            PlatformCall::ReadContent(digest) => PlatformReport::Content {
                digest: *digest,
                bytes: platform.content(digest),
            },
            PlatformCall::ReadSeeds(data_centre) => PlatformReport::Seeds {
                data_centre: data_centre.clone(),
                value: platform.seeds.get(data_centre.as_str()).cloned(),
            },
            PlatformCall::WriteSeeds { data_centre, value } => {
                let key = data_centre.as_str().to_owned();
                platform.seeds.insert(key, value.clone());
                PlatformReport::SeedsWritten {
                    data_centre: data_centre.clone(),
                }
            }
        };
        self.enqueue(name, Arrival::Report(report));
    }

    fn platform_away(&self, name: &str) -> bool {
        let cut = self
            .platform_cut
            .iter()
            .any(|prefix| name.starts_with(prefix));
        self.platform.away || cut && !self.cuts.is_empty()
    }

    fn serve_watches(&mut self) {
        let platform = &self.platform;
        let mut ended = Vec::new();
        for (name, (after, until)) in &self.watches {
            let report = if self.platform_away(name) {
                let call = PlatformCall::WatchInForce {
                    after_revision: *after,
                    wait: TICK,
                };
                PlatformReport::Failed { call }
            } else if platform.revision > *after {
                platform.read(true)
            } else if self.now >= *until {
                PlatformReport::Unchanged {
                    revision: platform.revision,
                }
            } else {
                continue;
            };
            ended.push((name.clone(), report));
        }
        for (name, report) in ended {
            self.watches.remove(&name);
            self.enqueue(&name, Arrival::Report(report));
        }
    }

    /// Activates `preset` as the next version, as an operator's client does.
    pub fn activate(&mut self, preset: &Preset) -> u64 {
        let bytes = preset.document().canonical_bytes();
        self.platform.contents.insert(preset.digest(), bytes);
        self.activate_digest(preset.digest())
    }

    pub fn activate_digest(&mut self, digest: ContentDigest) -> u64 {
        let former = self.platform.in_force.as_ref();
        let version = former.map_or(1, |former| former.version.get() + 1);
        self.platform.in_force = Some(in_force(version, digest));
        self.platform.revision += 1;
        self.serve_watches();
        version
    }

    /// Returns each core's version in force.
    pub fn in_force(&self) -> BTreeMap<String, Option<u64>> {
        let version = |core: &FleetCore| core.in_force().map(|(held, _)| held.version.get());
        let cores = self.cores.iter();
        cores
            .map(|(name, core)| (name.clone(), version(core)))
            .collect()
    }

    pub fn assert_version(&self, version: u64) {
        let others: Vec<_> = self.in_force().into_iter().collect();
        assert!(
            others.iter().all(|(_, held)| *held == Some(version)),
            "{others:?}"
        );
        for (name, versions) in &self.versions {
            assert!(versions.is_sorted(), "{name} moved back: {versions:?}");
        }
    }

    /// Returns the state of `member` as each running core sees it.
    pub fn states_of(&self, member: &str) -> BTreeMap<String, Option<MemberState>> {
        let member: InstanceName = member.parse().unwrap();
        let state = |name: &String| self.cores[name].member(&member).map(|row| row.state);
        self.running()
            .into_iter()
            .map(|name| (name.clone(), state(&name)))
            .collect()
    }

    pub fn assert_state(&self, member: &str, state: Option<MemberState>) {
        let states = self.states_of(member);
        assert!(
            states.values().all(|held| *held == state),
            "{member}: {states:?}"
        );
    }

    /// Asserts that all running cores hold the same rows, `count` of them.
    pub fn assert_members(&self, count: usize) {
        for name in self.running() {
            let rows: Vec<_> = self.cores[&name].members().collect();
            assert_eq!(rows.len(), count, "{name} at {:?}", self.now);
            let unwell: Vec<_> = rows.iter().filter(|row| !row.state.takes_work()).collect();
            assert!(unwell.is_empty(), "{name}: {unwell:?}");
        }
    }

    pub fn total(&self, count: impl Fn(&FleetCore) -> u64) -> u64 {
        self.cores.values().map(count).sum()
    }
}
