//! Changes of members, encoded once for all nodes that need them.

use std::{collections::HashMap, rc::Rc};

use super::PackedMembers;
use crate::{
    member::{FleetView, MemberUpdate},
    store::Revision,
};

/// Number of revisions whose updates are kept. Nodes that follow a relay are at the same few.
const UPDATES_MAX: usize = 16;

/// Changes of members since a revision.
#[derive(Debug)]
pub struct EncodedMembers {
    /// The changes.
    pub update: MemberUpdate,
    /// The changes in compressed form; none if there are none, or they can't be encoded.
    pub packed: Option<Rc<PackedMembers>>,
}

/// Recent updates of members.
///
/// A relay sends each change to all nodes of its data centre. The scan of the members, the JSON
/// and the compression are the same for all nodes that are at the same revision.
#[derive(Debug, Default)]
pub struct MemberUpdateCache {
    /// Count of changes of the view from which the updates were made.
    change_count: u64,
    updates: HashMap<Revision, Rc<EncodedMembers>>,
}

impl MemberUpdateCache {
    /// Returns the changes of `fleet` after `since`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::rc::Rc;
    /// use geranium_node::{distribution::MemberUpdateCache, member::FleetView, store::Revision};
    ///
    /// let fleet = FleetView::new("hofdi");
    /// let mut cache = MemberUpdateCache::default();
    /// let first = cache.update_since(&fleet, Revision(3));
    /// assert!(Rc::ptr_eq(&first, &cache.update_since(&fleet, Revision(3))));
    /// ```
    pub fn update_since(&mut self, fleet: &FleetView, since: Revision) -> Rc<EncodedMembers> {
        if self.change_count != fleet.change_count() || self.updates.len() >= UPDATES_MAX {
            self.change_count = fleet.change_count();
            self.updates.clear();
        }
        let encoded = self.updates.entry(since).or_insert_with(|| {
            let update = fleet.update_since(since);
            let packed = (!update.is_empty()).then(|| PackedMembers::pack(&update));
            Rc::new(EncodedMembers {
                update,
                packed: packed.and_then(Result::ok).map(Rc::new),
            })
        });
        Rc::clone(encoded)
    }
}
