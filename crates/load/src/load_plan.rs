//! What load to send.

use std::{net::SocketAddr, time::Duration};

use crate::{LoadError, MixEntry};

/// A load to be sent by [`run_load`](crate::run_load).
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers' addresses of the nodes; each request goes to a random one.
    pub targets: Vec<SocketAddr>,
    /// Requests a second.
    pub rate: f64,
    /// Time over which requests start.
    pub duration: Duration,
    /// Kinds of requests.
    pub mix: Vec<MixEntry>,
    /// Callers, named `caller-0` and up.
    pub callers: u32,
    /// Share of the requests that come from `caller-0` besides its even
    /// share, from 0 to 1.
    pub hot_share: f64,
    /// Keys that requests touch, named `key-0` and up.
    pub keys: u32,
    /// Share of the requests that touch `key-0` besides its even share, from
    /// 0 to 1.
    pub hot_key_share: f64,
    /// Requests under way at a time at most, an equal share at each target;
    /// more wait, and the wait counts.
    pub workers: usize,
    /// Time after which a caller of short requests gives up.
    pub patience: Duration,
    /// Time after which a caller of bulk files gives up.
    pub bulk_patience: Duration,
    /// Tries of a request at most, each at another node.
    pub tries: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

impl LoadPlan {
    /// Makes a plan with usual settings for the rest.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_load::LoadPlan;
    ///
    /// let plan = LoadPlan::new(vec![([127, 0, 0, 1], 80).into()], Vec::new());
    /// assert!(plan.check().is_err(), "the mix is empty");
    /// ```
    pub fn new(targets: Vec<SocketAddr>, mix: Vec<MixEntry>) -> Self {
        Self {
            targets,
            mix,
            rate: 100.0,
            duration: Duration::from_secs(10),
            callers: 20,
            hot_share: 0.0,
            keys: 1_000,
            hot_key_share: 0.0,
            workers: 512,
            patience: Duration::from_secs(3),
            bulk_patience: Duration::from_secs(30),
            tries: 4,
            seed: 1,
        }
    }

    /// Checks that the plan can be carried out.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first rule broken.
    pub fn check(&self) -> Result<(), LoadError> {
        let weight: u32 = self.mix.iter().map(|entry| entry.weight).sum();
        let rules = [
            (!self.targets.is_empty(), "needs a target"),
            (weight > 0, "needs a mix with a weight above 0"),
            (self.rate > 0.0, "needs a rate above 0"),
            (self.callers > 0, "needs a caller"),
            (self.keys > 0, "needs a key"),
            (self.workers > 0, "needs a worker"),
            (self.tries > 0, "needs a try"),
            (is_share(self.hot_share), "needs a hot share from 0 to 1"),
            (
                is_share(self.hot_key_share),
                "needs a hot key share from 0 to 1",
            ),
        ];
        let broken = rules.into_iter().find(|(holds, _)| !holds);
        broken.map_or(Ok(()), |(_, rule)| Err(LoadError::BadPlan { rule }))
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
