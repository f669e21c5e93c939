//! Documents put together from chunks.

/// Bytes of a chunk: small enough that heartbeats aren't held up behind it.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks sent for one request: they bound what a lost receiver wastes.
pub const CHUNKS_AT_ONCE: usize = 4;
/// Chunks of the largest document.
const CHUNKS_MAX: usize = geranium_model::DOCUMENT_BYTES_MAX.div_ceil(CHUNK_BYTES);

/// Chunks of one document, in any order.
///
/// # Examples
///
/// ```
/// use geranium_spread::ChunkAssembly;
///
/// let mut assembly = ChunkAssembly::default();
/// assert_eq!(assembly.put(1, 2, b"lo".to_vec()), None);
/// assert_eq!(assembly.put(0, 2, b"hel".to_vec()).unwrap(), b"hello");
/// ```
#[derive(Debug, Default)]
pub struct ChunkAssembly {
    chunks: Vec<Option<Vec<u8>>>,
}

impl ChunkAssembly {
    /// Adds a chunk; returns the document once it is whole.
    ///
    /// Whether the document is the right one is for its digest to say: a chunk
    /// that contradicts the number of chunks is left out here.
    pub fn put(&mut self, index: u16, total: u16, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let (index, total) = (usize::from(index), usize::from(total));
        if total == 0 || total > CHUNKS_MAX || index >= total || bytes.len() > CHUNK_BYTES {
            return None;
        }
        if self.chunks.is_empty() {
            self.chunks.resize(total, None);
        }
        if self.chunks.len() != total {
            return None;
        }
        self.chunks[index] = Some(bytes);
        self.chunks
            .iter()
            .cloned()
            .collect::<Option<Vec<_>>>()
            .map(|chunks| chunks.concat())
    }

    /// Returns the first chunk that is missing.
    pub fn first_missing(&self) -> u16 {
        let place = self.chunks.iter().position(Option::is_none);
        place.unwrap_or_default() as u16
    }

    /// Reports whether the request that ends before `index` was answered, so
    /// that the next is due.
    pub fn request_done(&self, index: u16) -> bool {
        (usize::from(index) + 1).is_multiple_of(CHUNKS_AT_ONCE)
    }
}
