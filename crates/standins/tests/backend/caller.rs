//! Starting a stand-in and calling it.

use std::net::SocketAddr;

use attohttpc::{RequestBuilder, Response};
use clap::Parser;
use geranium_model::headers;
use geranium_standins::backend::{BackendOptions, BackendServer, RunEnd, RunRecord};

pub fn start(arguments: &[&str]) -> BackendServer {
    let always = ["backend", "--service", "prices", "--instance", "prices-1"];
    let arguments = always.iter().chain(arguments);
    BackendServer::start(BackendOptions::parse_from(arguments)).unwrap()
}

pub fn get(address: SocketAddr, path: &str, request_id: &str) -> RequestBuilder {
    attohttpc::get(format!("http://{address}{path}")).header(headers::REQUEST_ID, request_id)
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> Response {
    let request = attohttpc::post(format!("http://{address}{path}"));
    request.text(body).send().unwrap()
}

pub fn record_of(server: &BackendServer, request_id: &str) -> RunRecord {
    let records = server.records();
    let found = records
        .into_iter()
        .find(|record| record.request_id == request_id);
    found.expect("every request is recorded")
}

pub fn wait_until_running(server: &BackendServer, request_id: &str) {
    let runs =
        |record: &RunRecord| record.request_id == request_id && record.how == RunEnd::Running;
    while !server.records().iter().any(runs) {
        std::thread::yield_now();
    }
}
