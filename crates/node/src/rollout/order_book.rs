//! Operators' orders in the store.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

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

/// Whether a service has an order, as a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OrderState {
    /// The store holds an order.
    Present,
    /// The store holds no order.
    Deleted,
    /// The node doesn't watch the orders, or hasn't listed them yet.
    #[default]
    Unknown,
}

/// Operators' orders, as a node that watches the store knows them.
///
/// Deletions of orders reach only nodes that watch. A node that stops watching forgets the orders,
/// as it would go on with one that is deleted later.
#[derive(Debug, Default)]
pub struct OrderBook {
    orders: HashMap<String, KnownOrder>,
    /// Services with an order, which may be unreadable; none while the orders aren't watched.
    listed: Option<HashSet<String>>,
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

    /// Records that the store holds an order of a service, which may be unreadable.
    pub fn record_key(&mut self, service: &str) {
        if let Some(listed) = &mut self.listed {
            listed.insert(service.to_owned());
        }
    }

    /// Records that a service's order was deleted.
    pub fn remove(&mut self, service: &str) {
        self.orders.remove(service);
        if let Some(listed) = &mut self.listed {
            listed.remove(service);
        }
    }

    /// Records that `services` are all that have an order.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::rollout::{OrderBook, OrderState};
    ///
    /// let mut book = OrderBook::default();
    /// assert_eq!(book.state("prices"), OrderState::Unknown);
    /// book.record_list(["prices".to_owned()]);
    /// assert_eq!(book.state("prices"), OrderState::Present);
    /// book.record_list([]);
    /// assert_eq!(book.state("prices"), OrderState::Deleted);
    /// ```
    pub fn record_list(&mut self, services: impl IntoIterator<Item = String>) {
        let listed: HashSet<String> = services.into_iter().collect();
        self.orders.retain(|service, _| listed.contains(service));
        self.listed = Some(listed);
    }

    /// Forgets all orders, and returns whether they were known. This node doesn't watch them any
    /// more.
    pub fn forget(&mut self) -> bool {
        self.orders.clear();
        self.listed.take().is_some()
    }

    /// Returns whether a service has an order.
    pub fn state(&self, service: &str) -> OrderState {
        match &self.listed {
            None => OrderState::Unknown,
            Some(listed) if listed.contains(service) => OrderState::Present,
            Some(_) => OrderState::Deleted,
        }
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
