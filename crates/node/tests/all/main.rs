//! Tests of the node's parts that need no fleet.

mod settings;
mod streams;
mod wire;
