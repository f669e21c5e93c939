//! Requests that completed well of late.

/// Places of the table: the hottest few thousand requests of one node. Each
/// takes 16 bytes, 64 KB in all.
const PLACES: usize = 4_096;
/// Most credit one request may hold: enough to pay off one crash, so that a
/// request which turns bad after a change of data is refused after one crash
/// more than an unknown one.
pub(super) const CREDIT_PER_CRASH: u16 = 16;

#[derive(Debug, Clone, Copy, Default)]
struct CreditPlace {
    fingerprint: u64,
    credit: u16,
}

/// Fixed table of completions by fingerprint.
///
/// A completion of another request with the same place wears the holder's
/// credit down before it takes the place, so frequent requests stay.
#[derive(Debug)]
pub(super) struct CompletionCredit {
    places: Vec<CreditPlace>,
}

impl CompletionCredit {
    pub(super) fn new() -> Self {
        Self {
            places: vec![CreditPlace::default(); PLACES],
        }
    }

    /// Notes a good completion.
    pub(super) fn completed(&mut self, fingerprint: u64) {
        let place = self.place_of(fingerprint);
        if place.fingerprint == fingerprint {
            place.credit = (place.credit + 1).min(CREDIT_PER_CRASH);
        } else if place.credit == 0 {
            *place = CreditPlace {
                fingerprint,
                credit: 1,
            };
        } else {
            place.credit -= 1;
        }
    }

    /// Spends a crash's worth of credit, if it is there.
    pub(super) fn pay(&mut self, fingerprint: u64) -> bool {
        let place = self.place_of(fingerprint);
        let enough = place.fingerprint == fingerprint && place.credit >= CREDIT_PER_CRASH;
        if enough {
            place.credit = 0;
        }
        enough
    }

    fn place_of(&mut self, fingerprint: u64) -> &mut CreditPlace {
        &mut self.places[fingerprint as usize % PLACES]
    }
}
