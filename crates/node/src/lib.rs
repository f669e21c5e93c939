//! A node: the process beside each backend server.
//!
//! Callers on the node's machine send their requests to it. The
//! [`outbound`] finds the route in the [`config`] in force, picks a backend
//! server out of the [`member`] view and sends the request to the node beside
//! that one, whose [`inbound`] admits it, runs it and answers. [`discovery`] keeps
//! configuration and members up to date from the metadata [`store`], and
//! announces the own backend server there; an [`delegation`] is such a call made for
//! another node.
//!
//! One thread runs it all, on one event loop, so that no decision needs a
//! lock and no request is handed from thread to thread. A second thread only
//! writes the log. What decides has no I/O and takes the time as an argument:
//! [`member::FleetView`], [`inbound::AdmissionQueue`], [`inbound::EndpointTracker`],
//! [`retry::RetryBudget`], [`config::MeshConfig`].

pub mod admin;
pub mod config;
pub mod crash;
pub mod delegation;
pub mod discovery;
pub mod distribution;
pub mod event_log;
pub mod header_names;
pub mod http_listener;
pub mod inbound;
pub mod link;
pub mod member;
pub mod node;
pub mod node_clock;
pub mod node_core;
pub mod node_metrics;
pub mod node_settings;
pub mod outbound;
pub mod peer_handler;
pub mod request_origin;
pub mod response_body;
pub mod result_code;
pub mod retry;
pub mod store;
pub mod transport;
