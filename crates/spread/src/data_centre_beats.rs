//! Beats by which a silent data centre is told from silent members.

use std::{collections::BTreeMap, time::Duration};

use geranium_model::DataCentre;

use crate::hash::name_key;

/// Time without a new beat after which a data centre counts as cut off.
///
/// Beats travel with the digests, one exchange a second and node: a beat
/// reaches 1,600 nodes within ten seconds. Half as much again is allowed for
/// lost messages.
pub const SILENT_AFTER: Duration = Duration::from_secs(15);

/// Data centres remembered at most: ten are planned for.
const DATA_CENTRES_MAX: usize = 64;

/// Highest beat heard of each data centre.
///
/// The watchers of a data centre raise its beat with each digest they send.
/// Failure guarded against: a region split, which shows as silence of half the
/// fleet at once. Declaring all of them failed would flood both sides, and
/// again on the mend. Only members of a data centre judge each other; the
/// others see that its beats stopped and keep its rows as they are.
#[derive(Debug, Default)]
pub struct DataCentreBeats {
    beats: BTreeMap<u64, DataCentreBeat>,
}

#[derive(Debug, Clone, Copy)]
struct DataCentreBeat {
    count: u32,
    risen_at: Duration,
}

impl DataCentreBeats {
    /// Raises the beat of `data_centre`, in which this node is a watcher.
    pub fn raise(&mut self, now: Duration, data_centre: &DataCentre) {
        let key = name_key(data_centre.as_str());
        let count = self.beats.get(&key).map_or(0, |beat| beat.count);
        let count = count.wrapping_add(1);
        let beat = DataCentreBeat {
            count,
            risen_at: now,
        };
        self.beats.insert(key, beat);
    }

    /// Starts the patience with a data centre that has members here.
    pub fn expect(&mut self, now: Duration, data_centre: &DataCentre) {
        let key = name_key(data_centre.as_str());
        let beat = DataCentreBeat {
            count: 0,
            risen_at: now,
        };
        self.beats.entry(key).or_insert(beat);
    }

    /// Takes in the beats that another node heard.
    pub fn hear(&mut self, now: Duration, heard: &[(u64, u32)]) {
        for &(key, count) in heard {
            let known = self.beats.get(&key).map(|beat| beat.count);
            let room = known.is_some() || self.beats.len() < DATA_CENTRES_MAX;
            if room && known.is_none_or(|known| count > known) {
                let beat = DataCentreBeat {
                    count,
                    risen_at: now,
                };
                self.beats.insert(key, beat);
            }
        }
    }

    /// Returns the beats for a digest.
    pub fn heard(&self) -> Vec<(u64, u32)> {
        let beats = self.beats.iter();
        beats.map(|(key, beat)| (*key, beat.count)).collect()
    }

    /// Returns how long the data centre has been cut off, if it is.
    pub fn silent_for(&self, now: Duration, data_centre: &DataCentre) -> Option<Duration> {
        let beat = self.beats.get(&name_key(data_centre.as_str()))?;
        let silence = now.saturating_sub(beat.risen_at);
        (silence > SILENT_AFTER).then_some(silence)
    }

    /// Forgives all silence, after this node itself stood still.
    pub fn forgive(&mut self, now: Duration) {
        for beat in self.beats.values_mut() {
            beat.risen_at = now;
        }
    }
}
