//! Follows the own backend server by its announcements.

use std::time::Duration;

use geranium_model::{MemberState, ServiceName};

use crate::{admin::Announcement, guard::BackendNotice};

/// Silence after which a backend server counts as lost. It announces itself
/// every second; two lost announcements are chance, three aren't.
const SILENCE_MAX: Duration = Duration::from_millis(3_500);

/// What changed, for the guard and for the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange {
    /// State to spread.
    pub state: MemberState,
    /// Service to spread.
    pub service: Option<ServiceName>,
    /// Slots to spread.
    pub slots: u16,
    /// What the guard is told, when it must know.
    pub notice: Option<BackendNotice>,
}

/// The own backend server's life cycle.
#[derive(Debug)]
pub struct BackendWatch {
    warming: Duration,
    current: Option<Announcement>,
    heard: Duration,
    warm_at: Duration,
    state: MemberState,
}

impl BackendWatch {
    /// Starts without a backend server.
    pub fn new(warming: Duration) -> Self {
        Self {
            warming,
            current: None,
            heard: Duration::ZERO,
            warm_at: Duration::ZERO,
            state: MemberState::Starting,
        }
    }

    /// Takes in an announcement.
    pub fn announced(
        &mut self,
        now: Duration,
        announcement: Announcement,
    ) -> Option<BackendChange> {
        self.heard = now;
        if self.current.as_ref() == Some(&announcement) {
            return None;
        }
        let is_same_start = self
            .current
            .as_ref()
            .is_some_and(|old| old.announced == announcement.announced);
        let (state, notice) = if announcement.draining {
            (MemberState::Draining, BackendNotice::Leaving)
        } else {
            let notice = BackendNotice::Up {
                addr: announcement.addr,
                service: announcement.service.clone(),
                slots: announcement.slots,
                announced: announcement.announced,
            };
            if is_same_start {
                (self.state, notice)
            } else {
                self.warm_at = now + self.warming;
                (MemberState::Warming, notice)
            }
        };
        self.state = state;
        let change = BackendChange {
            state,
            service: Some(announcement.service.clone()),
            slots: announcement.slots,
            notice: Some(notice),
        };
        self.current = Some(announcement);
        Some(change)
    }

    /// Notices the end of the cold start, and silence.
    pub fn tick(&mut self, now: Duration) -> Option<BackendChange> {
        let announcement = self.current.as_ref()?;
        if now.saturating_sub(self.heard) > SILENCE_MAX {
            self.current = None;
            self.state = MemberState::Starting;
            return Some(BackendChange {
                state: MemberState::Starting,
                service: None,
                slots: 0,
                notice: Some(BackendNotice::Lost),
            });
        }
        if self.state != MemberState::Warming || now < self.warm_at {
            return None;
        }
        self.state = MemberState::Live;
        Some(BackendChange {
            state: MemberState::Live,
            service: Some(announcement.service.clone()),
            slots: announcement.slots,
            notice: None,
        })
    }
}
