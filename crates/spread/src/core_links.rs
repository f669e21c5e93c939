//! Links and watchers, chosen from the rows known.

use std::time::Duration;

use geranium_model::{InstanceName, MemberRow, MemberState};

use crate::{
    FleetAction, FleetCore,
    hash::mix,
    link_choice::{LinkCandidate, LinkClass, choose_links},
};

/// Watchers in a data centre: the second covers the first's loss.
const WATCHERS: usize = 2;
/// Salt of the watchers' ranking.
const WATCH_SALT: u64 = 0x7761_7463_6865_7273;
/// Time for which a link that another node chose is used without a digest
/// along it: two of its rounds over all its links.
const INBOUND_KEPT: Duration = Duration::from_secs(25);
/// Links of others' choice that are used at most.
const INBOUND_MAX: usize = 12;
/// Time without members known before a node that found none counts as alone.
const ALONE_AFTER: Duration = Duration::from_secs(5);

impl FleetCore {
    /// Chooses links and watchers anew from the rows known.
    pub(crate) fn choose_links(&mut self, out: &mut Vec<FleetAction>) {
        self.links_stale = false;
        let mut candidates = Vec::new();
        let mut members = 1;
        let mut watch_rank = 0;
        let own_score = mix(self.own_key ^ WATCH_SALT);
        for entry in self.table.entries() {
            let row = &entry.row;
            if row.state == MemberState::Gone || row.instance == self.own.instance {
                continue;
            }
            members += 1;
            let usable = row.state != MemberState::Suspect
                && !self.cut_off.contains(&row.data_centre)
                && !self.detector.is_silent(&row.instance);
            if !usable {
                continue;
            }
            let class = self.class_of(row);
            let ranked = class == LinkClass::Own && row.state != MemberState::Draining;
            if ranked && mix(entry.key ^ WATCH_SALT) > own_score {
                watch_rank += 1;
            }
            candidates.push(LinkCandidate {
                instance: &row.instance,
                key: entry.key,
                class,
            });
        }
        let usable = candidates.len();
        let chosen = choose_links(self.own_key, candidates);
        self.set_links(chosen, out);
        let settled = self.now.saturating_sub(self.started_at) >= ALONE_AFTER;
        let stays = self.own.state < MemberState::Draining;
        let joined = settled || (usable > 0 && self.config.current.is_some());
        let watches = watch_rank < WATCHERS && joined && stays;
        self.watch_rank = watches.then_some(watch_rank);
        self.links_stale |= !joined;
        self.desk
            .set_members(members.max(self.settings.planned_members as usize));
    }

    fn class_of(&self, row: &MemberRow) -> LinkClass {
        if row.data_centre == self.own.data_centre {
            LinkClass::Own
        } else if row.region == self.own.region {
            LinkClass::Near
        } else {
            LinkClass::Far
        }
    }

    fn set_links(&mut self, chosen: Vec<InstanceName>, out: &mut Vec<FleetAction>) {
        let now = self.now;
        let mut inbound: Vec<_> = self
            .peers
            .iter()
            .filter_map(|(name, peer)| Some((peer.chose_us_at?, name)))
            .filter(|(at, name)| {
                let member = self.table.get(name);
                now.saturating_sub(*at) < INBOUND_KEPT
                    && !chosen.contains(name)
                    && member.is_some_and(|row| row.state < MemberState::Gone)
                    && !self.detector.is_silent(name)
            })
            .collect();
        inbound.sort_unstable_by(|a, b| b.cmp(a));
        let mut links = chosen.clone();
        let inbound = inbound.into_iter().take(INBOUND_MAX);
        links.extend(inbound.map(|(_, name)| name.clone()));
        links.sort_unstable();
        let added: Vec<_> = chosen
            .iter()
            .filter(|name| !self.chosen.contains(name))
            .cloned()
            .collect();
        self.chosen = chosen;
        self.links = links;
        for name in added {
            self.greet(&name, out);
        }
    }
}
