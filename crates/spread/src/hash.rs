//! Hashes that every node computes alike.

use xxhash_rust::xxh3::xxh3_64;

/// Hashes a name to the key by which tables and messages refer to it.
///
/// # Examples
///
/// ```
/// use geranium_spread::name_key;
///
/// assert_eq!(name_key("verdskra-1"), name_key("verdskra-1"));
/// assert_ne!(name_key("verdskra-1"), name_key("verdskra-2"));
/// ```
pub fn name_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Spreads the bits of `value` (the finalizer of `SplitMix64`).
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Scores an unordered pair, so that both ends rank each other alike.
pub(crate) fn pair_score(a: u64, b: u64) -> u64 {
    mix(a.min(b) ^ mix(a.max(b)))
}
