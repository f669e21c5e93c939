//! Nothing here yet.
