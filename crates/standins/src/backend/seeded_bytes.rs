//! Pseudo-random file content.

use std::io::{self, Read};

use rand::{Rng, SeedableRng, rngs::Xoshiro256PlusPlus};

/// Bytes made at a time: a fixed figure, for the content depends on it only
/// through its being a multiple of the generator's eight-byte words.
const BLOCK_BYTES: usize = 4_096;

/// Reader of pseudo-random bytes that a client can make again.
///
/// The content is `Xoshiro256PlusPlus`, seeded by `seed_from_u64`, filled in
/// blocks of 4,096 bytes; its first bytes don't depend on the length.
///
/// # Examples
///
/// ```
/// use std::io::Read;
/// use geranium_standins::backend::SeededBytes;
///
/// let mut bytes = Vec::new();
/// SeededBytes::new(7, 10_000).read_to_end(&mut bytes)?;
/// assert_eq!(bytes.len(), 10_000);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct SeededBytes {
    rng: Xoshiro256PlusPlus,
    block: [u8; BLOCK_BYTES],
    used: usize,
    left: u64,
}

impl SeededBytes {
    /// Makes a reader of `bytes` bytes.
    pub fn new(seed: u64, bytes: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            block: [0; BLOCK_BYTES],
            used: BLOCK_BYTES,
            left: bytes,
        }
    }
}

impl Read for SeededBytes {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.used == BLOCK_BYTES {
            self.rng.fill_bytes(&mut self.block);
            self.used = 0;
        }
        let wanted = buffer
            .len()
            .min(usize::try_from(self.left).unwrap_or(usize::MAX));
        let count = wanted.min(BLOCK_BYTES - self.used);
        buffer[..count].copy_from_slice(&self.block[self.used..self.used + count]);
        self.used += count;
        self.left -= count as u64;
        Ok(count)
    }
}
