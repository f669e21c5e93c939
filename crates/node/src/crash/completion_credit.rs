//! Credit that requests earn by recent successful completions.

/// Number of entries of the table. It is enough for the few thousand most frequent requests
/// of one node. Each entry takes 16 bytes, 64 KB in all.
const CREDIT_ENTRIES: usize = 4_096;
/// Completions that offset one crash, and the most credit that one request may hold. A
/// request that turns bad after a change of data is therefore refused after only one
/// crash more than an unknown one.
pub(super) const CREDIT_PER_CRASH: u16 = 16;

#[derive(Debug, Clone, Copy, Default)]
struct CreditEntry {
    fingerprint: u64,
    credit: u16,
}

/// Fixed-size table of successful completions by fingerprint.
///
/// A completion of another request that maps to the same entry reduces the credit there
/// and replaces the entry only once that is zero, so frequent requests stay.
#[derive(Debug)]
pub(super) struct CompletionCredit {
    entries: Vec<CreditEntry>,
}

impl CompletionCredit {
    pub(super) fn new() -> Self {
        Self {
            entries: vec![CreditEntry::default(); CREDIT_ENTRIES],
        }
    }

    /// Adds credit for a successful completion of the request.
    pub(super) fn record_completion(&mut self, fingerprint: u64) {
        let entry = self.entry_of(fingerprint);
        if entry.fingerprint == fingerprint {
            entry.credit = (entry.credit + 1).min(CREDIT_PER_CRASH);
        } else if entry.credit == 0 {
            *entry = CreditEntry {
                fingerprint,
                credit: 1,
            };
        } else {
            entry.credit -= 1;
        }
    }

    /// Spends the credit for one crash, and returns whether there was enough.
    pub(super) fn spend(&mut self, fingerprint: u64) -> bool {
        let entry = self.entry_of(fingerprint);
        let enough = entry.fingerprint == fingerprint && entry.credit >= CREDIT_PER_CRASH;
        if enough {
            entry.credit = 0;
        }
        enough
    }

    fn entry_of(&mut self, fingerprint: u64) -> &mut CreditEntry {
        &mut self.entries[fingerprint as usize % CREDIT_ENTRIES]
    }
}
