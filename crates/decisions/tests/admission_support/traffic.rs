//! Arrivals of open-loop traffic.

use std::time::Duration;

use geranium_decisions::admission::{JobId, JobOffer};
use geranium_model::RequestClass;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// A request as its caller sends it; times in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: f64,
    /// Service time at the backend server's usual speed.
    pub work: f64,
    pub mean_work: f64,
    /// Time for which the caller waits.
    pub patience: f64,
    pub class: RequestClass,
    pub caller: u64,
    pub key: Option<u64>,
}

impl Arrival {
    pub fn offer(&self, index: usize) -> JobOffer {
        JobOffer {
            id: JobId(index as u64),
            class: self.class,
            caller: self.caller,
            key: self.key,
            deadline: Duration::from_secs_f64(self.at + self.patience),
        }
    }
}

/// Poisson arrivals with exponential work.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub from: f64,
    pub to: f64,
    /// Arrivals a second.
    pub rate: f64,
    /// Mean service time.
    pub work: f64,
    pub patience: f64,
    pub class: RequestClass,
    /// First caller and how many there are.
    pub callers: (u64, u64),
    /// First key and how many there are.
    pub keys: Option<(u64, u64)>,
}

/// 10 ms of short work for a second's patience from 100 callers.
pub const SHORT: Stream = Stream {
    from: 0.0,
    to: 20.0,
    rate: 0.0,
    work: 0.01,
    patience: 0.25,
    class: RequestClass::Short,
    callers: (1_000, 100),
    keys: None,
};

/// Draws the arrivals of all streams in order of time.
pub fn arrivals(seed: u64, streams: &[Stream]) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for stream in streams {
        let mut at = stream.from + exponential(&mut rng, 1.0 / stream.rate);
        while at < stream.to {
            let mut pick = |(first, count): (u64, u64)| first + rng.random_range(0..count);
            let caller = pick(stream.callers);
            let key = stream.keys.map(pick);
            drawn.push(Arrival {
                at,
                work: exponential(&mut rng, stream.work),
                mean_work: stream.work,
                patience: stream.patience,
                class: stream.class,
                caller,
                key,
            });
            at += exponential(&mut rng, 1.0 / stream.rate);
        }
    }
    drawn.sort_by(|one, other| one.at.total_cmp(&other.at));
    drawn
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
