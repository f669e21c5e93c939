//! Division of a route's requests among its services.

use std::{cell::RefCell, rc::Rc};

/// One target of a route and what it is owed.
#[derive(Debug)]
struct ShareSlot {
    service: Rc<str>,
    weight: i64,
    owed: i64,
}

/// Deals a route's requests to its services in the proportion of weights.
///
/// Smooth weighted round robin: after any number of draws each service is
/// within one request of its share, so shares hold over short windows, too. A
/// random draw of 100 requests at a weight of a half is off by 0.1 in one
/// window of twenty.
#[derive(Debug)]
pub struct WeightedRoundRobin {
    slots: RefCell<Vec<ShareSlot>>,
}

impl WeightedRoundRobin {
    /// Makes a wheel; services without a weight are left out.
    pub fn new(shares: impl IntoIterator<Item = (Rc<str>, u32)>) -> Self {
        let slots = shares
            .into_iter()
            .filter(|(_, weight)| *weight > 0)
            .map(|(service, weight)| ShareSlot {
                service,
                weight: weight.into(),
                owed: 0,
            })
            .collect();
        Self {
            slots: RefCell::new(slots),
        }
    }

    /// Whether no service has a weight.
    pub fn is_empty(&self) -> bool {
        self.slots.borrow().is_empty()
    }

    /// Draws the service of the next request.
    ///
    /// # Panics
    ///
    /// Panics when no service has a weight; checked configurations have none
    /// such.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::config::WeightedRoundRobin;
    ///
    /// let wheel = WeightedRoundRobin::new([("a".into(), 3), ("b".into(), 1)]);
    /// let drawn: Vec<_> = (0..8).map(|_| wheel.draw()).collect();
    /// assert_eq!(drawn.iter().filter(|service| &***service == "b").count(), 2);
    /// ```
    pub fn draw(&self) -> Rc<str> {
        let mut slots = self.slots.borrow_mut();
        let total: i64 = slots.iter().map(|slot| slot.weight).sum();
        for slot in slots.iter_mut() {
            slot.owed += slot.weight;
        }
        let next = slots
            .iter_mut()
            .max_by_key(|slot| slot.owed)
            .expect("a checked route has a target");
        next.owed -= total;
        Rc::clone(&next.service)
    }

    /// Whether requests of the route may go to `service`.
    pub fn allows(&self, service: &str) -> bool {
        self.slots
            .borrow()
            .iter()
            .any(|slot| &*slot.service == service)
    }
}
