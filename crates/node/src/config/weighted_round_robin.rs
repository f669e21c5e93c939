//! Division of a route's requests among its services by weight.

use std::{cell::RefCell, rc::Rc};

/// A service of a route, with its state in the round robin.
#[derive(Debug)]
struct WeightedTarget {
    service: Rc<str>,
    weight: i64,
    /// Requests that the service is owed, times the total weight.
    owed: i64,
}

/// Divides a route's requests among its services in proportion to their weights.
///
/// The division is a smooth weighted round robin. After any number of requests, each service has
/// got its share to within about one request, so the shares also hold over short times. With random
/// selection, a service with half of the weight would be off its share by 0.1 in one of twenty
/// windows of 100 requests.
#[derive(Debug)]
pub struct WeightedRoundRobin {
    targets: RefCell<Vec<WeightedTarget>>,
}

impl WeightedRoundRobin {
    /// Creates the division; services with a weight of 0 are left out.
    pub fn new(shares: impl IntoIterator<Item = (Rc<str>, u32)>) -> Self {
        let targets = shares
            .into_iter()
            .filter(|(_, weight)| *weight > 0)
            .map(|(service, weight)| WeightedTarget {
                service,
                weight: weight.into(),
                owed: 0,
            })
            .collect();
        Self {
            targets: RefCell::new(targets),
        }
    }

    /// Returns whether no service has a weight above 0.
    pub fn is_empty(&self) -> bool {
        self.targets.borrow().is_empty()
    }

    /// Returns the service that the next request is sent to.
    ///
    /// # Panics
    ///
    /// Panics if no service has a weight above 0. [`RouteRule`](super::RouteRule) excludes that.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::config::WeightedRoundRobin;
    ///
    /// let shares = WeightedRoundRobin::new([("a".into(), 3), ("b".into(), 1)]);
    /// let drawn: Vec<_> = (0..8).map(|_| shares.draw()).collect();
    /// assert_eq!(drawn.iter().filter(|service| &***service == "b").count(), 2);
    /// ```
    pub fn draw(&self) -> Rc<str> {
        let mut targets = self.targets.borrow_mut();
        let total: i64 = targets.iter().map(|target| target.weight).sum();
        for target in targets.iter_mut() {
            target.owed += target.weight;
        }
        let next = targets
            .iter_mut()
            .max_by_key(|target| target.owed)
            .expect("a checked route has a service with a weight");
        next.owed -= total;
        Rc::clone(&next.service)
    }

    /// Returns whether requests of the route may be sent to `service`.
    pub fn allows(&self, service: &str) -> bool {
        self.targets
            .borrow()
            .iter()
            .any(|target| &*target.service == service)
    }
}
