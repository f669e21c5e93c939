//! Resident memory, for benches that state it.

/// Bytes of a page on the machines the fleet runs on.
const PAGE: usize = 4_096;

/// Returns the process's resident bytes; 0 where `/proc` can't be read.
pub fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}
