//! Hashing of 64-bit names in lookup tables.

use std::hash::{BuildHasherDefault, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hasher state for tables keyed by a 64-bit number.
pub(super) type NameState = BuildHasherDefault<NameHasher>;

/// XXH3 over 64-bit names: the same on every run, which tests rely on.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct NameHasher(u64);

impl Hasher for NameHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, name: u64) {
        self.write(&name.to_le_bytes());
    }
}
