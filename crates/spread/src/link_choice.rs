//! Choice of the members a node keeps links to.
//!
//! Load pattern: each change goes once along every link, so a node's bytes grow
//! with its links; too few, and the loss of a data centre parts the fleet.
//! Without the pairing by hash all nodes would lean on the same few, or an
//! agreement would be needed on who links to whom.
//!
//! Figures: three links in the own data centre, because graphs in which each
//! picks its three nearest by a random symmetric score are connected with
//! overwhelming probability; one to a neighbouring data centre and one to
//! another region, because all members of a data centre together then hold
//! enough of them. Links that others chose come on top: about seven in all.

use geranium_model::InstanceName;
use smallvec::SmallVec;

use crate::hash::pair_score;

/// Links chosen to members of the own data centre.
pub const OWN_LINKS: usize = 3;
/// Links chosen to other data centres of the own region.
pub const NEAR_LINKS: usize = 1;
/// Links chosen to other regions.
pub const FAR_LINKS: usize = 1;
/// Links chosen in all; a class with too few members leaves its share to the
/// others.
pub const CHOSEN_LINKS: usize = OWN_LINKS + NEAR_LINKS + FAR_LINKS;

/// Where a member is, seen from the choosing node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkClass {
    /// In the same data centre.
    Own,
    /// In another data centre of the same region.
    Near,
    /// In another region.
    Far,
}

/// A member that could be linked to.
#[derive(Debug, Clone)]
pub struct LinkCandidate<'a> {
    /// Its name.
    pub instance: &'a InstanceName,
    /// Key of its name.
    pub key: u64,
    /// Where it is.
    pub class: LinkClass,
}

/// Best candidates of one class, best first.
type ShortList<'a> = SmallVec<[(u64, &'a InstanceName); CHOSEN_LINKS + 1]>;

/// Chooses the links of the node whose name has the key `own`.
///
/// # Examples
///
/// ```
/// use geranium_spread::{LinkCandidate, LinkClass, choose_links, name_key};
///
/// let name = "a-2".parse()?;
/// let only = LinkCandidate { instance: &name, key: name_key("a-2"), class: LinkClass::Own };
/// assert_eq!(choose_links(name_key("a-1"), [only]), [name.clone()]);
/// # Ok::<(), geranium_model::NameError>(())
/// ```
pub fn choose_links<'a>(
    own: u64,
    candidates: impl IntoIterator<Item = LinkCandidate<'a>>,
) -> Vec<InstanceName> {
    let mut lists: [ShortList<'a>; 3] = Default::default();
    for candidate in candidates {
        let score = pair_score(own, candidate.key);
        insert_ranked(
            &mut lists[candidate.class as usize],
            (score, candidate.instance),
        );
    }
    let mut chosen = Vec::with_capacity(CHOSEN_LINKS);
    let quotas = [OWN_LINKS, NEAR_LINKS, FAR_LINKS];
    for (list, quota) in lists.iter_mut().zip(quotas) {
        let taken = list.drain(..quota.min(list.len()));
        chosen.extend(taken.map(|(_, name)| name.clone()));
    }
    let spare = [LinkClass::Near, LinkClass::Far, LinkClass::Own];
    for class in spare {
        let open = CHOSEN_LINKS - chosen.len();
        let rest = lists[class as usize].iter().take(open);
        chosen.extend(rest.map(|(_, name)| (*name).clone()));
    }
    chosen
}

fn insert_ranked<'a>(list: &mut ShortList<'a>, item: (u64, &'a InstanceName)) {
    let place = list.partition_point(|held| *held > item);
    if place < CHOSEN_LINKS {
        list.insert(place, item);
        list.truncate(CHOSEN_LINKS);
    }
}
