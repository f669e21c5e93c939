//! Decides which bodies get memory.

use std::{cmp::Reverse, task::Waker};

use slab::Slab;

use super::{BodySegments, IntakeKey, MemoryLimits, MemoryShortage, SEGMENT_MAX_BYTES};
use crate::request_origin::RequestOrigin;

/// Memory that each arriving body takes beside its segments, in bytes: the read buffer of its
/// connection and the state of its request.
pub const INTAKE_BYTES: u64 = 24 * 1024;
/// Length up to which a body is small, in bytes.
const SMALL_MAX_BYTES: u64 = SEGMENT_MAX_BYTES as u64;

/// Stage of a body that is arriving.
#[derive(Debug)]
enum IntakeStage {
    /// Its bytes are read; the waker is that of its reader.
    Reading(Option<Waker>),
    /// Its memory was taken away for another body.
    Evicted,
}

/// Body that is arriving.
#[derive(Debug)]
struct BodyIntake {
    stage: IntakeStage,
    origin: RequestOrigin,
    segments: BodySegments,
    /// Number of the last receipt of bytes, of all bodies.
    progress: u64,
}

impl BodyIntake {
    const fn bytes(&self) -> u64 {
        INTAKE_BYTES + self.segments.capacity() as u64
    }

    /// Returns the size by which bodies are compared.
    const fn size_class(&self) -> u64 {
        size_class(self.bytes())
    }

    const fn is_reading(&self) -> bool {
        matches!(self.stage, IntakeStage::Reading(_))
    }
}

/// Decides which bodies get memory, and holds those that are arriving.
///
/// **Load.** Clients send more and larger bodies at once than the instance has memory for, and leave
/// most of them incomplete. Without a bound on all bodies together, the process would be killed; with
/// a first-come bound, bodies that never end would keep the others out.
///
/// A body takes memory as it arrives, whatever length it announces. When there is none left, an
/// incomplete one that isn't smaller loses its memory: the large one that has received nothing for the
/// longest time, or if there is none, the small one. So small bodies always find room while others are
/// incomplete. Complete bodies keep their memory until their requests end, and leave a part of it to
/// small ones.
///
/// # Examples
///
/// ```
/// use geranium_node::{
///     request_body::{BodyLedger, MemoryLimits},
///     request_origin::RequestOrigin,
/// };
///
/// let mut ledger = BodyLedger::new(MemoryLimits::new(200_000));
/// let large = ledger.begin(RequestOrigin::Caller, 0)?;
/// ledger.append(large, &[0; 100_000])?;
/// let small = ledger.begin(RequestOrigin::Caller, 0)?;
/// ledger.append(small, &[0; 50_000])?;
/// // The incomplete body that isn't smaller has made room.
/// assert!(ledger.finish(large).is_err());
/// assert_eq!(ledger.finish(small)?.len(), 50_000);
/// # Ok::<(), geranium_node::request_body::MemoryShortage>(())
/// ```
#[derive(Debug)]
pub struct BodyLedger {
    /// Limits without regard to the largest size of a body.
    base_limits: MemoryLimits,
    limits: MemoryLimits,
    intakes: Slab<BodyIntake>,
    /// Memory of all bodies in bytes.
    used: u64,
    /// Memory of complete bodies in bytes.
    complete: u64,
    receipts: u64,
}

impl BodyLedger {
    /// Creates a ledger without bodies.
    pub const fn new(limits: MemoryLimits) -> Self {
        Self {
            base_limits: limits,
            limits,
            intakes: Slab::new(),
            used: 0,
            complete: 0,
            receipts: 0,
        }
    }

    /// Returns the memory of all bodies in bytes.
    pub const fn used_bytes(&self) -> u64 {
        self.used
    }

    /// Sets the largest size of a body in bytes, for one of which there is room if the process can
    /// bear it.
    pub fn set_largest_body(&mut self, bytes: u64) {
        self.limits = self.base_limits.with_room_for(bytes);
    }

    /// Begins a body from `origin` that announces at least `announced` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body couldn't become complete beside those that are.
    pub fn begin(
        &mut self,
        origin: RequestOrigin,
        announced: u64,
    ) -> Result<IntakeKey, MemoryShortage> {
        let bytes = announced.saturating_add(INTAKE_BYTES);
        if self.complete.saturating_add(bytes) > self.limit_of(announced) {
            return Err(MemoryShortage);
        }
        self.make_room(None, INTAKE_BYTES)?;
        self.used += INTAKE_BYTES;
        self.receipts += 1;
        let key = self.intakes.insert(BodyIntake {
            stage: IntakeStage::Reading(None),
            origin,
            segments: BodySegments::default(),
            progress: self.receipts,
        });
        Ok(IntakeKey(key))
    }

    /// Adds received bytes to a body.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for them, or the body's memory was taken away.
    pub fn append(&mut self, key: IntakeKey, mut bytes: &[u8]) -> Result<(), MemoryShortage> {
        self.receipts += 1;
        while !bytes.is_empty() {
            let intake = self.reading(key)?;
            let needed = intake.segments.needed_segment(bytes.len()) as u64;
            if needed > 0 {
                self.make_room(Some(key), needed)?;
                self.used += needed;
            }
            let progress = self.receipts;
            let intake = self.reading(key)?;
            intake.progress = progress;
            bytes = intake.segments.push_part(bytes);
        }
        Ok(())
    }

    /// Returns whether the memory of a body was taken away. Otherwise `waker` is woken when it is.
    pub fn poll_evicted(&mut self, key: IntakeKey, waker: &Waker) -> bool {
        match &mut self.intakes[key.0].stage {
            IntakeStage::Evicted => true,
            IntakeStage::Reading(Some(known)) if known.will_wake(waker) => false,
            IntakeStage::Reading(known) => {
                *known = Some(waker.clone());
                false
            }
        }
    }

    /// Returns the bytes of a complete body, whose memory counts until [`BodyLedger::release`].
    ///
    /// # Errors
    ///
    /// Returns an error if the body's memory was taken away.
    pub fn finish(&mut self, key: IntakeKey) -> Result<BodySegments, MemoryShortage> {
        let intake = self.reading(key)?;
        let segments = std::mem::take(&mut intake.segments);
        self.complete += segments.capacity() as u64;
        Ok(segments)
    }

    /// Forgets a body that was arriving. Its memory is free unless it was finished.
    pub fn remove(&mut self, key: IntakeKey) {
        let intake = self.intakes.remove(key.0);
        if intake.is_reading() {
            self.used -= intake.bytes();
        }
    }

    /// Frees `bytes` of complete bodies.
    pub const fn release(&mut self, bytes: u64) {
        self.used -= bytes;
        self.complete -= bytes;
    }

    /// Takes the memory away from the caller's body that has received nothing for the longest time.
    ///
    /// Returns whether there is one.
    pub fn evict_longest_stalled(&mut self) -> bool {
        let reading = self
            .intakes
            .iter()
            .filter(|(_, intake)| intake.is_reading() && intake.origin == RequestOrigin::Caller);
        let stalled = reading.min_by_key(|(_, intake)| intake.progress);
        let Some(key) = stalled.map(|(key, _)| IntakeKey(key)) else {
            return false;
        };
        self.evict(key);
        true
    }

    fn reading(&mut self, key: IntakeKey) -> Result<&mut BodyIntake, MemoryShortage> {
        let intake = &mut self.intakes[key.0];
        if intake.is_reading() {
            Ok(intake)
        } else {
            Err(MemoryShortage)
        }
    }

    /// Takes memory away from incomplete bodies until `bytes` are free for the body `key`, or for a
    /// new one.
    fn make_room(&mut self, key: Option<IntakeKey>, bytes: u64) -> Result<(), MemoryShortage> {
        let known = key.map_or(0, |key| self.intakes[key.0].bytes());
        let size = known + bytes;
        while self.used + bytes > self.limit_of(size.saturating_sub(INTAKE_BYTES)) {
            let victim = self.victim(key, size_class(size)).ok_or(MemoryShortage)?;
            self.evict(victim);
        }
        Ok(())
    }

    /// Returns the incomplete body that makes room for another one of `class`; none if all are smaller.
    fn victim(&self, other: Option<IntakeKey>, class: u64) -> Option<IntakeKey> {
        let intakes = self.intakes.iter();
        let candidates = intakes.filter(|(key, intake)| {
            Some(IntakeKey(*key)) != other && intake.is_reading() && intake.size_class() >= class
        });
        let victim = candidates.max_by_key(|(_, intake)| {
            let is_large = intake.size_class() > 0;
            (is_large, Reverse(intake.progress))
        });
        victim.map(|(key, _)| IntakeKey(key))
    }

    fn evict(&mut self, key: IntakeKey) {
        let intake = &mut self.intakes[key.0];
        self.used -= intake.bytes();
        intake.segments = BodySegments::default();
        let stage = std::mem::replace(&mut intake.stage, IntakeStage::Evicted);
        if let IntakeStage::Reading(Some(waker)) = stage {
            waker.wake();
        }
    }

    /// Returns the memory that all bodies may have when a body of `bytes` takes some.
    const fn limit_of(&self, bytes: u64) -> u64 {
        if bytes > SMALL_MAX_BYTES {
            self.limits.large_bytes
        } else {
            self.limits.all_bytes
        }
    }
}

/// Returns the size class of a body with this memory. Small bodies are of one class.
const fn size_class(bytes: u64) -> u64 {
    bytes.saturating_sub(INTAKE_BYTES + 1) / SMALL_MAX_BYTES
}
