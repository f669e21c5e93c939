//! What a shutdown changes for requests.

use slog::info;
use tokio::{
    select,
    time::{Instant, sleep_until},
};

use super::NodeCore;
use crate::shutdown::ShutdownSchedule;

impl NodeCore {
    /// Returns the times of the shutdown; none until it begins.
    pub fn shutdown_schedule(&self) -> Option<ShutdownSchedule> {
        *self.shutdown.borrow()
    }

    /// Returns whether the node has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Returns whether new requests from callers are refused, as
    /// [`ShutdownSchedule::rejects_callers`] says.
    pub fn rejects_new_callers(&self) -> bool {
        let now = self.clock.now();
        self.shutdown
            .borrow()
            .is_some_and(|schedule| schedule.rejects_callers(now))
    }

    /// Returns whether nested calls of the local backend server's runs are rejected, as
    /// [`ShutdownSchedule::rejects_nested_calls`] says.
    pub fn rejects_nested_calls(&self) -> bool {
        let now = self.clock.now();
        self.shutdown
            .borrow()
            .is_some_and(|schedule| schedule.rejects_nested_calls(now))
    }

    /// Starts the shutdown and returns its times.
    ///
    /// The inbound proxy will refuse other nodes' requests after its grace time, transfers to other
    /// nodes are due before the connections close, and the announcer is woken to announce the
    /// leaving.
    pub fn begin_shutdown(&self) -> ShutdownSchedule {
        let schedule = ShutdownSchedule::new(self.clock.now(), self.settings.shutdown_timeout);
        self.shutdown.send_replace(Some(schedule));
        let peer_responses_at = schedule.peer_responses_at();
        self.inbound.stop(peer_responses_at);
        let transfers = self.link.bound_by_own_end(peer_responses_at);
        info!(self.log.logger(), "transfers bounded by the end of this node";
            "transfers" => transfers);
        if let Some(quota) = &self.quota {
            quota.wake_keepers();
        }
        self.announcement_changed.notify_one();
        schedule
    }

    /// Returns when a request that ends at `ends_at` gets its final response: before the node closes
    /// its connections.
    pub fn bound_by_shutdown(&self, ends_at: Instant) -> Instant {
        let schedule = *self.shutdown.borrow();
        schedule.map_or(ends_at, |schedule| {
            ends_at.min(self.clock.instant_of(schedule.final_responses_at()))
        })
    }

    /// Returns when a request that ends at `ends_at` needs its response from another node, or from the
    /// backend server for another node.
    pub fn bound_peer_response(&self, ends_at: Instant) -> Instant {
        let schedule = *self.shutdown.borrow();
        schedule.map_or(ends_at, |schedule| {
            ends_at.min(self.clock.instant_of(schedule.peer_responses_at()))
        })
    }

    /// Waits until a request that ends at `ends_at` gets its final response.
    ///
    /// A shutdown that begins meanwhile may bring it forward.
    pub async fn until_final_response(&self, ends_at: Instant) {
        let mut shutdown = self.shutdown.subscribe();
        if self.bound_by_shutdown(ends_at) == ends_at {
            select! {
                biased;
                () = sleep_until(ends_at) => return,
                // It fails only when the sender, a part of this node, is gone.
                _ = shutdown.wait_for(Option::is_some) => {}
            }
        }
        sleep_until(self.bound_by_shutdown(ends_at)).await;
    }
}
