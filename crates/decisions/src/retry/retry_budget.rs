//! Retries a service may spend.

/// Tokens at the start, and the most that are saved up. Five hide the few
/// failures of a restart; more would be a burst on a service in trouble from
/// each of 1,600 nodes.
const BURST: f64 = 5.0;

/// Token bucket that successes of first tries fill.
///
/// In a total outage nothing fills it, so a node makes at most five retries
/// for the whole of the outage.
///
/// # Examples
///
/// ```
/// use geranium_decisions::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1);
/// let spent = (0..1_000).filter(|_| budget.withdraw()).count();
/// assert_eq!(spent, 5);
/// (0..20).for_each(|_| budget.succeeded());
/// assert!(budget.withdraw() && budget.withdraw() && !budget.withdraw());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget of `share` retries per success, from 0 to 1.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            tokens: BURST,
        }
    }

    /// Changes the share, as a new preset says.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Notes a first try that was answered.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn withdraw(&mut self) -> bool {
        // Ten additions of a tenth fall short of one by a rounding error.
        const ROUNDING: f64 = 1e-9;
        let enough = self.share > 0.0 && self.tokens + ROUNDING >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
