//! Nothing here yet.
fn main() {}
