//! A small event loop: senders, backend servers with slots and queues, and
//! simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use geranium_decisions::picking::{BackendKey, BackendPicker, PickReport, PickResult, PickerHome};
use geranium_model::{MemberRow, ResultCode, ServiceName};
use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

const REGION: &str = "reykjavik";
/// Three times the usual latency: too short to be noticed as slowness.
const DEADLINE: Duration = Duration::from_millis(30);
const SEEDS: [u64; 4] = [11, 12, 13, 14];

/// Way in which a sender chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    Picker,
    /// Naive: any member at random.
    Random,
    /// Naive: any member of the own data centre at random.
    RandomHere,
}

/// What can be wrong with a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It breaks off each request at once.
    Breaks,
    /// No connection can be made.
    Unreachable,
    /// It takes requests and never answers.
    Silent,
}

/// A backend server and its character.
#[derive(Debug, Clone)]
pub struct Server {
    pub row: MemberRow,
    /// Mean service time in milliseconds at a moment.
    pub mean_ms: fn(Duration) -> f64,
    /// Load claimed with each answer, in thousandths.
    pub claim: Option<u16>,
    /// What is wrong with it at a moment.
    pub fault: fn(Duration) -> Option<Fault>,
    busy: usize,
    waiting: VecDeque<usize>,
}

impl Server {
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            row: crate::common::row(name, "verdskra", data_centre, 1),
            mean_ms: |_| 10.0,
            claim: None,
            fault: |_| None,
            busy: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Most requests that wait: a queue of one second at the usual pace would
    /// be longer than callers accept.
    fn queue_max(&self) -> usize {
        usize::from(self.row.slots) * 4
    }
}

struct Request {
    sender: usize,
    server: usize,
    key: BackendKey,
    began: Duration,
    sent: Duration,
    tries: u8,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize),
    Finish(usize),
    Return(usize, Word),
    Upsert(usize),
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Word {
    Answered,
    Full,
    Broke,
    Unreachable,
    TimedOut,
}

/// What callers received, and where work went.
pub struct Received {
    pub asked: u64,
    pub failed: u64,
    /// Microseconds of good answers.
    pub latency: Histogram<u64>,
    /// Tries per server.
    pub tries: Vec<u64>,
    pub no_backend: u64,
}

impl Received {
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub fn failed_share(&self) -> f64 {
        self.failed as f64 / self.asked as f64
    }

    fn plus(mut self, other: Self) -> Self {
        self.asked += other.asked;
        self.failed += other.failed;
        self.no_backend += other.no_backend;
        self.latency.add(other.latency).unwrap();
        for (sum, tries) in self.tries.iter_mut().zip(other.tries) {
            *sum += tries;
        }
        self
    }

    pub fn share_of(&self, server: usize) -> f64 {
        self.tries[server] as f64 / self.tries.iter().sum::<u64>() as f64
    }
}

#[derive(Clone)]
pub struct Mesh {
    pub servers: Vec<Server>,
    /// Data centre of each sender.
    pub senders: Vec<&'static str>,
    pub rate: f64,
    pub choice: Choice,
    /// Callers count only from here on.
    pub judge_from: Duration,
    pub until: Duration,
    /// Rows that change: when, server, new row.
    pub changes: Vec<(Duration, usize, MemberRow)>,
}

struct Run {
    mesh: Mesh,
    rng: StdRng,
    pickers: Vec<BackendPicker>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    service: ServiceName,
    received: Received,
}

fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

impl Mesh {
    pub fn new(servers: Vec<Server>, senders: Vec<&'static str>, rate: f64) -> Self {
        Self {
            servers,
            senders,
            rate,
            choice: Choice::Picker,
            judge_from: Duration::from_secs(5),
            until: Duration::from_secs(25),
            changes: Vec::new(),
        }
    }

    /// Runs to the end with each seed and sums up what callers received.
    ///
    /// Twins meet the same arrivals; one seed alone is too much chance.
    pub fn run(&self) -> Received {
        let runs = SEEDS.map(|seed| self.clone().run_once(seed));
        runs.into_iter().reduce(Received::plus).unwrap()
    }

    fn run_once(self, seed: u64) -> Received {
        let pickers = self.senders.iter().map(|centre| {
            let region = REGION.parse().unwrap();
            let home = PickerHome {
                data_centre: centre.parse().unwrap(),
                region,
            };
            let mut picker = BackendPicker::new(home);
            for server in &self.servers {
                picker.upsert(Duration::ZERO, &server.row);
            }
            picker
        });
        let run = Run {
            pickers: pickers.collect(),
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            service: "verdskra".parse().unwrap(),
            received: Received {
                asked: 0,
                failed: 0,
                latency: Histogram::new(3).unwrap(),
                tries: vec![0; self.servers.len()],
                no_backend: 0,
            },
            mesh: self,
        };
        run.all()
    }
}

impl Run {
    fn all(mut self) -> Received {
        self.push(Duration::ZERO, Event::Arrive);
        for index in 0..self.mesh.changes.len() {
            self.push(self.mesh.changes[index].0, Event::Upsert(index));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive if now < self.mesh.until => self.arrive(now),
                Event::Arrive => {}
                Event::Reach(request) => self.reach(now, request),
                Event::Finish(request) => self.finish(now, request),
                Event::Return(request, word) => self.back(now, request, word),
                Event::Upsert(index) => self.upsert(now, index),
            }
        }
        self.received
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn arrive(&mut self, now: Duration) {
        let gap = exponential(&mut self.rng, 1.0 / self.mesh.rate);
        self.push(now + Duration::from_secs_f64(gap), Event::Arrive);
        let sender = self.rng.random_range(0..self.pickers.len());
        self.send(now, now, sender, 1, &[]);
    }

    fn send(
        &mut self,
        now: Duration,
        began: Duration,
        sender: usize,
        tries: u8,
        exclude: &[BackendKey],
    ) {
        let judged = began >= self.mesh.judge_from;
        self.received.asked += u64::from(judged && tries == 1);
        let Ok(key) = self.choose(now, sender, exclude) else {
            self.received.no_backend += 1;
            self.received.failed += u64::from(judged);
            return;
        };
        let instance = &self.pickers[sender].row(key).unwrap().instance;
        let found = self
            .mesh
            .servers
            .iter()
            .position(|server| server.row.instance == *instance);
        let server = found.unwrap();
        self.received.tries[server] += u64::from(judged);
        self.pickers[sender].sent(now, key);
        self.requests.push(Request {
            sender,
            server,
            key,
            began,
            sent: now,
            tries,
        });
        let way = self.way(sender, server);
        self.push(now + way, Event::Reach(self.requests.len() - 1));
    }

    fn choose(
        &mut self,
        now: Duration,
        sender: usize,
        tried: &[BackendKey],
    ) -> Result<BackendKey, ResultCode> {
        let picker = &mut self.pickers[sender];
        if self.mesh.choice == Choice::Picker {
            return picker.pick(now, &self.service, tried, &mut self.rng);
        }
        let here = self.mesh.senders[sender];
        let anywhere = self.mesh.choice == Choice::Random;
        let servers = self.mesh.servers.iter();
        let near = servers.filter(|server| anywhere || server.row.data_centre.as_str() == here);
        let keys = near.filter_map(|server| picker.key_of(&server.row.instance));
        let keys: Vec<_> = keys.filter(|key| !tried.contains(key)).collect();
        if keys.is_empty() {
            return Err(ResultCode::NoBackend);
        }
        Ok(keys[self.rng.random_range(0..keys.len())])
    }

    fn way(&self, sender: usize, server: usize) -> Duration {
        let row = &self.mesh.servers[server].row;
        let same = row.data_centre.as_str() == self.mesh.senders[sender];
        let far = row.region.as_str() != REGION;
        Duration::from_micros(if same {
            50
        } else if far {
            10_000
        } else {
            500
        })
    }

    fn reach(&mut self, now: Duration, request: usize) {
        let index = self.requests[request].server;
        let server = &mut self.mesh.servers[index];
        match (server.fault)(now) {
            Some(Fault::Breaks) => return self.answer(now, request, Word::Broke),
            Some(Fault::Unreachable) => return self.answer(now, request, Word::Unreachable),
            Some(Fault::Silent) => {
                return self.push(now + DEADLINE, Event::Return(request, Word::TimedOut));
            }
            None => {}
        }
        if server.busy < usize::from(server.row.slots) {
            server.busy += 1;
            self.start(now, request);
        } else if server.waiting.len() < server.queue_max() {
            server.waiting.push_back(request);
        } else {
            self.answer(now, request, Word::Full);
        }
    }

    fn start(&mut self, now: Duration, request: usize) {
        let mean = (self.mesh.servers[self.requests[request].server].mean_ms)(now);
        let time = exponential(&mut self.rng, mean / 1_000.0);
        self.push(now + Duration::from_secs_f64(time), Event::Finish(request));
    }

    fn finish(&mut self, now: Duration, request: usize) {
        let server = &mut self.mesh.servers[self.requests[request].server];
        match server.waiting.pop_front() {
            Some(next) => self.start(now, next),
            None => server.busy -= 1,
        }
        self.answer(now, request, Word::Answered);
    }

    fn answer(&mut self, now: Duration, request: usize, word: Word) {
        let Request { sender, server, .. } = self.requests[request];
        self.push(now + self.way(sender, server), Event::Return(request, word));
    }

    fn back(&mut self, now: Duration, request: usize, word: Word) {
        let Request {
            sender,
            server,
            key,
            began,
            sent,
            tries,
            ..
        } = self.requests[request];
        let result = match word {
            Word::Answered => PickResult::Answered,
            Word::Full => PickResult::Refused {
                retry_after: Duration::from_millis(50),
            },
            Word::Broke => PickResult::Broke,
            Word::Unreachable => PickResult::Unreachable,
            Word::TimedOut => PickResult::TimedOut,
        };
        let load = self.mesh.servers[server].claim;
        let latency = now.saturating_sub(sent);
        self.pickers[sender].done(
            now,
            key,
            PickReport {
                latency,
                result,
                load,
            },
        );
        let judged = began >= self.mesh.judge_from;
        let not_run = matches!(word, Word::Full | Word::Unreachable);
        if not_run && tries < 2 {
            self.send(now, began, sender, tries + 1, &[key]);
        } else if word != Word::Answered {
            self.received.failed += u64::from(judged);
        } else if judged {
            let taken = now.saturating_sub(began).as_micros() as u64;
            self.received.latency.record(taken).unwrap();
        }
    }

    fn upsert(&mut self, now: Duration, index: usize) {
        let (_, server, row) = self.mesh.changes[index].clone();
        for picker in &mut self.pickers {
            picker.upsert(now, &row);
        }
        self.mesh.servers[server].row = row;
    }
}
