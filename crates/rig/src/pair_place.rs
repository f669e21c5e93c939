//! What all pairs of a fleet share.

use std::{net::SocketAddr, path::Path};

use crate::ProgramPaths;

/// Where a fleet's processes run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PairPlace<'a> {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Control addresses through which nodes join.
    pub seeds: &'a str,
    /// Where the programs are.
    pub programs: &'a ProgramPaths,
    /// Where logs and journals go.
    pub work_dir: &'a Path,
}
