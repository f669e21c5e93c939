//! A node: the process that runs beside each backend server.
//!
//! Callers send their requests to the node on their machine. Its [`outbound`]
//! proxy looks up the route in the active [`config`], picks a backend server
//! from the [`member`] view and forwards the request to the node beside that
//! server. The [`inbound`] proxy there admits the request, passes it to the
//! backend server and returns the response. [`discovery`] keeps configuration
//! and members up to date from the metadata [`store`], and announces the local
//! backend server there. A node that can't reach the store has another node
//! make the call ([`delegation`]). Few nodes of a data centre write the announcements
//! of all ([`registration`]). Traffic moves to a new version of a service by
//! a [`rollout`]. A node that is told to stop promises nothing past its own end
//! ([`shutdown`]).
//!
//! One thread with one event loop serves all requests, so that no decision
//! needs a lock and no request moves between threads. A second thread only
//! writes the log. The types that decide do no I/O and take the time as an
//! argument: [`member::FleetView`], [`admission::AdmissionQueue`],
//! [`inbound::EndpointTracker`], [`retry::RetryBudget`],
//! [`config::MeshConfig`].

pub mod accounts;
pub mod admin;
pub mod admission;
pub mod boot_clock;
pub mod bounded_time;
pub mod config;
pub mod connection_limits;
pub mod connections;
pub mod crash;
pub mod delegation;
pub mod discovery;
pub mod distribution;
pub mod event_log;
pub mod freshness;
pub mod header_names;
pub mod http_listener;
pub mod inbound;
mod late_body;
pub mod link;
pub mod member;
pub mod node;
pub mod node_clock;
pub mod node_core;
pub mod node_metrics;
pub mod node_settings;
pub mod outbound;
pub mod pace;
pub mod peer_handler;
pub mod pipeline;
pub mod quota;
pub mod rate_limit;
pub mod registration;
pub mod request_body;
pub mod request_origin;
pub mod response_body;
pub mod result_code;
pub mod retry;
pub mod rollout;
pub mod shutdown;
pub mod store;
pub mod transport;
