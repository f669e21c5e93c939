//! Checked settings of an admission gate.

use super::AdmissionError;

/// Part of the queue that stays open to bulk work, as a divisor.
///
/// Without it a queue full of short work would refuse every bulk job on
/// arrival. An eighth of the default 64 places is more bulk jobs than one slot
/// clears in the patience of whoever waits for a catalogue.
const BULK_RESERVE_DIVISOR: usize = 8;

/// Unchecked settings of an admission gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInput {
    /// Requests that the backend server runs at a time.
    pub slots: u16,
    /// Requests that may wait.
    pub queue: u16,
    /// Share of slots and queue places that bulk work may hold, in `(0, 1]`.
    pub bulk_share: f64,
}

/// Checked settings of an admission gate.
///
/// # Examples
///
/// ```
/// use geranium_decisions::admission::{AdmissionInput, AdmissionSettings};
///
/// let input = AdmissionInput { slots: 12, queue: 64, bulk_share: 0.5 };
/// assert!(AdmissionSettings::try_from(input).is_ok());
/// assert!(AdmissionSettings::try_from(AdmissionInput { slots: 0, ..input }).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    slots: u16,
    queue: u16,
    bulk_share: f64,
}

impl AdmissionSettings {
    /// Returns the slots of the backend server.
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns how many requests may wait.
    pub const fn queue(&self) -> u16 {
        self.queue
    }

    /// Returns the share of slots and queue places that bulk work may hold.
    pub const fn bulk_share(&self) -> f64 {
        self.bulk_share
    }

    /// Returns the slots that bulk work may hold out of `limit`.
    ///
    /// At least one, so that bulk work is never shut out; below a share of 1
    /// and from two slots on, one less than all, so that short work isn't.
    pub(super) fn bulk_slots(&self, limit: u32) -> u32 {
        let share = (f64::from(limit) * self.bulk_share) as u32;
        let most = if self.bulk_share < 1.0 {
            limit.saturating_sub(1).max(1)
        } else {
            limit
        };
        share.clamp(1, most)
    }

    /// Returns the queue places that bulk work may hold.
    pub(super) fn bulk_places(&self) -> usize {
        let places = f64::from(self.queue) * self.bulk_share;
        (places as usize).max(1)
    }

    /// Returns the queue places that bulk work gets even when the queue is
    /// full of short work.
    pub(super) fn bulk_reserve(&self) -> usize {
        usize::from(self.queue).div_ceil(BULK_RESERVE_DIVISOR)
    }
}

impl TryFrom<AdmissionInput> for AdmissionSettings {
    type Error = AdmissionError;

    fn try_from(input: AdmissionInput) -> Result<Self, AdmissionError> {
        if input.slots == 0 {
            return Err(AdmissionError::NoSlots);
        }
        if !(input.bulk_share > 0.0 && input.bulk_share <= 1.0) {
            return Err(AdmissionError::BulkShare(input.bulk_share));
        }
        Ok(Self {
            slots: input.slots,
            queue: input.queue,
            bulk_share: input.bulk_share,
        })
    }
}
