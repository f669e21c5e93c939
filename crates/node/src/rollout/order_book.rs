//! Operators' orders in the store.

use std::{collections::HashMap, time::Duration};

use super::RolloutOrder;
use crate::store::Revision;

/// An order with its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Revision of the order in the store.
    pub revision: Revision,
    /// Time at which this node first saw the order.
    pub seen_at: Duration,
}

/// Operators' orders, as a node that watches the store knows them.
#[derive(Debug, Default)]
pub struct OrderBook {
    orders: HashMap<String, KnownOrder>,
}

impl OrderBook {
    /// Records an order that was read at `now`, and returns whether it is new.
    ///
    /// An order that is written again for the same version keeps the time at which it was first
    /// seen.
    pub fn record(&mut self, now: Duration, order: RolloutOrder, revision: Revision) -> bool {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| revision <= known.revision) {
            return false;
        }
        let same = known.filter(|known| known.order.target == order.target);
        let seen_at = same.map_or(now, |known| known.seen_at);
        let service = order.service.clone();
        let known_order = KnownOrder {
            order,
            revision,
            seen_at,
        };
        self.orders.insert(service, known_order);
        true
    }

    /// Records that a service's order was deleted.
    pub fn remove(&mut self, service: &str) {
        self.orders.remove(service);
    }

    /// Forgets the orders of services for which `present` returns false.
    pub fn retain(&mut self, present: impl Fn(&str) -> bool) {
        self.orders.retain(|service, _| present(service));
    }

    /// Returns the order of a service.
    pub fn get(&self, service: &str) -> Option<&KnownOrder> {
        self.orders.get(service)
    }

    /// Yields every order.
    pub fn orders(&self) -> impl Iterator<Item = &KnownOrder> {
        self.orders.values()
    }
}
