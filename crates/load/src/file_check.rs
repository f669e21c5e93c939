//! Checking a file that was made from a seed.

use std::io::{self, Read};

use rand::{Rng, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::AnswerVerdict;

/// Bytes that the stand-in makes at a time.
const BLOCK_BYTES: usize = 4_096;

/// The content that a stand-in backend server makes for `/file/BYTES/SEED`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileCheck {
    /// Length in bytes.
    pub bytes: u64,
    /// Seed of the content.
    pub seed: u64,
}

impl FileCheck {
    /// Makes the content again beside `received`, and compares.
    ///
    /// The whole content is compared, which is stricter than a digest.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_load::{AnswerVerdict, FileCheck};
    ///
    /// let check = FileCheck { bytes: 10, seed: 1 };
    /// assert_eq!(check.judge(&b""[..]), AnswerVerdict::Short);
    /// assert_eq!(check.judge(&[0; 10][..]), AnswerVerdict::Wrong);
    /// ```
    pub fn judge(&self, mut received: impl Read) -> AnswerVerdict {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed);
        let (mut expected, mut actual) = ([0; BLOCK_BYTES], [0; BLOCK_BYTES]);
        let mut left = self.bytes;
        loop {
            let Ok(count) = fill(&mut received, &mut actual) else {
                return AnswerVerdict::Broken;
            };
            rng.fill_bytes(&mut expected);
            let due = left.min(BLOCK_BYTES as u64) as usize;
            if count > due || actual[..count] != expected[..count] {
                return AnswerVerdict::Wrong;
            }
            if count < due {
                return AnswerVerdict::Short;
            }
            left -= count as u64;
            if count < BLOCK_BYTES {
                return AnswerVerdict::Whole;
            }
        }
    }
}

/// Reads until the buffer is full or the content ends.
fn fill(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..])? {
            0 => break,
            count => filled += count,
        }
    }
    Ok(filled)
}
