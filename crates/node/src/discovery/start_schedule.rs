//! Time at which a node of a fleet that starts for the first time looks for other nodes.

use std::time::Duration;

/// Longest time after which a node looks for others, once its backend server has reported.
const START_DELAY_MAX: Duration = Duration::from_secs(2);
/// Number of nodes of a data centre from which on several of them may announce themselves before
/// the first one is found.
const NODES_MAX: f64 = 4_096.0;
/// Time after which a node whose backend server hasn't reported looks for others. It has nothing to
/// announce, but needs the configuration.
const SEARCH_TIME: Duration = Duration::from_secs(4);

/// Time at which a node of a fleet that starts for the first time looks for others.
///
/// All nodes start within a moment, know nobody, and don't know how many they are. If each of them
/// announced itself, the calls would grow with the fleet. A node therefore waits for a random time
/// whose distribution rises exponentially (as in multicast feedback suppression): in a group of any
/// size, few timers expire first. A node whose timer expires lists the announcements of its data
/// centre by a serializable read, at a tenth of the price, and if it finds none, by a linearizable
/// one. If there are still none, it announces itself, and serves the others as their registrar.
#[derive(Debug, Clone, Copy)]
pub struct StartSchedule {
    delay: Duration,
}

impl StartSchedule {
    /// Draws the time of a node from a random number between 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::discovery::StartSchedule;
    ///
    /// let schedule = StartSchedule::new(0.5);
    /// let expected = Duration::from_millis(1_833);
    /// assert!(schedule.list_at(true).abs_diff(expected) < Duration::from_millis(1));
    /// assert_eq!(StartSchedule::new(1.0).list_at(true), Duration::from_secs(2));
    /// ```
    pub fn new(random: f64) -> Self {
        let random = random.clamp(1.0 / NODES_MAX, 1.0);
        let share = 1.0 + random.ln() / NODES_MAX.ln();
        Self {
            delay: START_DELAY_MAX.mul_f64(share.clamp(0.0, 1.0)),
        }
    }

    /// Returns the time since the node's start at which it looks for others.
    pub const fn list_at(&self, has_endpoint: bool) -> Duration {
        if has_endpoint {
            self.delay
        } else {
            SEARCH_TIME
        }
    }
}
