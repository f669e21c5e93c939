//! Tests of the load tool.

mod answers;
mod journals;
mod mixes;
mod responder;
mod versions;
