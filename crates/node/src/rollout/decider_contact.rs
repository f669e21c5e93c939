//! When the deciding nodes of rollouts last asked this node.

use std::{collections::HashMap, time::Duration};

/// Time without a question of the deciding node after which this node asks it.
///
/// The deciding node asks the nodes that it knows every few tenths of a second. A node with a bad
/// version has to learn of its roll-back within some seconds.
const SILENCE_MAX: Duration = Duration::from_secs(2);

/// When the deciding nodes of rollouts last asked this node, by service.
///
/// While the store is away, a deciding node may not know a backend server that was announced just
/// before, and would never tell it that its version is rolled back.
#[derive(Debug, Default)]
pub struct DeciderContact {
    contact_at: HashMap<String, Duration>,
}

impl DeciderContact {
    /// Records that the deciding node of a service's rollout asked this one, or was asked by it.
    pub fn record_contact(&mut self, now: Duration, service: &str) {
        match self.contact_at.get_mut(service) {
            Some(contact_at) => *contact_at = now,
            None => {
                self.contact_at.insert(service.to_owned(), now);
            }
        }
    }

    /// Whether the deciding node of a service's rollout has been silent for so long that this node
    /// should ask it. The silence begins with the first call for the service.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::rollout::DeciderContact;
    ///
    /// let mut contact = DeciderContact::default();
    /// assert!(!contact.is_due(Duration::from_secs(10), "prices"));
    /// assert!(contact.is_due(Duration::from_secs(12), "prices"));
    /// contact.record_contact(Duration::from_secs(12), "prices");
    /// assert!(!contact.is_due(Duration::from_secs(13), "prices"));
    /// ```
    pub fn is_due(&mut self, now: Duration, service: &str) -> bool {
        let Some(&contact_at) = self.contact_at.get(service) else {
            self.record_contact(now, service);
            return false;
        };
        now >= contact_at + SILENCE_MAX
    }

    /// Forgets all contacts, once no rollout is on trial here.
    pub fn clear(&mut self) {
        self.contact_at.clear();
    }
}
