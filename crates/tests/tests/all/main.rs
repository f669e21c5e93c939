//! Tests across programs, one module a subject.
