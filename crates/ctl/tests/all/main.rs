//! Tests of the operators' client, one module a subject.

mod activation_faults;
mod activation_races;
mod bad_documents;
mod code_table;
mod examples;
mod explain;
mod fleet;
mod messages;
mod overtaken;
mod process;
mod puts;
mod support;
