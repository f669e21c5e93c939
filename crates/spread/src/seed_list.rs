//! The list of seeds that a data centre keeps on the platform.

use std::net::SocketAddr;

use geranium_model::InstanceName;

/// Seeds listed: enough that a rack's loss leaves some.
pub const SEEDS_LISTED: usize = 8;

/// Members through which a newcomer can join.
///
/// Stored as text, a line each, so that operators can read it and write one
/// by hand.
///
/// # Examples
///
/// ```
/// use geranium_spread::SeedList;
///
/// let list = SeedList::parse(b"a-1 10.0.0.1:7000\nnot a seed\n");
/// assert_eq!(list.seeds.len(), 1);
/// assert_eq!(list.to_bytes(), b"a-1 10.0.0.1:7000\n");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeedList {
    /// Name and control address of each.
    pub seeds: Vec<(InstanceName, SocketAddr)>,
}

impl SeedList {
    /// Reads what is stored, leaving out lines that can't be read.
    pub fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let seeds = text.lines().filter_map(|line| {
            let (name, addr) = line.split_once(' ')?;
            Some((name.parse().ok()?, addr.trim().parse().ok()?))
        });
        Self {
            seeds: seeds.take(SEEDS_LISTED).collect(),
        }
    }

    /// Returns the bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut text = String::new();
        for (name, addr) in &self.seeds {
            text.extend([name.as_str(), " ", &addr.to_string(), "\n"]);
        }
        text.into_bytes()
    }
}

/// Makes a name for an address whose owner isn't known yet.
pub(crate) fn placeholder_name(addr: SocketAddr) -> InstanceName {
    let text = format!("seed.{}-{}", addr.ip(), addr.port());
    let text: String = text
        .chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || c == '.' {
                c
            } else {
                '-'
            }
        })
        .take(63)
        .collect();
    text.parse().expect("only allowed characters are left")
}
