//! Callers' requests after every check.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use geranium_model::{Preset, RequestClass, ResultCode, ServiceName, headers};
use hyper::{HeaderMap, Method, http::request::Parts};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::{guard::is_hop_by_hop, wire::HeaderPair};

/// Longest request identifier passed on; longer ones would fill logs.
const REQUEST_ID_BYTES_MAX: usize = 128;

/// A request whose route and headers are known to be good.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identifier, the caller's or a new one.
    pub request_id: String,
    /// Service from the route.
    pub service: ServiceName,
    /// Class from the route.
    pub class: RequestClass,
    /// The caller gives it at least half of the route's time.
    pub patient: bool,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Hops behind it, this one included.
    pub hops: u8,
    /// Hash of the caller's name or address.
    pub caller: u64,
    /// Hash of the named key.
    pub key: Option<u64>,
    /// Ticket, as text.
    pub ticket: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
}

impl CallerRequest {
    /// Checks a request's head against the preset.
    ///
    /// # Errors
    ///
    /// The numbered code to refuse it with.
    pub fn check(parts: &Parts, preset: &Preset, peer: SocketAddr) -> Result<Self, ResultCode> {
        let route = preset
            .route_for(parts.uri.path())
            .ok_or(ResultCode::NoRoute)?;
        let hops = number::<u8>(&parts.headers, headers::HOPS)?
            .unwrap_or(0)
            .saturating_add(1);
        if hops > preset.fleet().hops_max {
            return Err(ResultCode::TooManyHops);
        }
        let asked_ms = number::<u32>(&parts.headers, headers::DEADLINE_MS)?;
        let deadline_ms = asked_ms.map_or(route.deadline_ms, |asked| asked.min(route.deadline_ms));
        let ticket = text(&parts.headers, headers::TICKET)?.map(str::to_owned);
        if route.class == RequestClass::Once && ticket.is_none() && !is_repeatable(&parts.method) {
            return Err(ResultCode::TicketRequired);
        }
        let arrived = Instant::now();
        Ok(Self {
            patient: 2 * deadline_ms >= route.deadline_ms,
            request_id: request_id(&parts.headers)?,
            service: route.service.clone(),
            class: route.class,
            arrived,
            deadline: arrived + Duration::from_millis(u64::from(deadline_ms)),
            hops,
            caller: caller_key(&parts.headers, peer),
            key: parts
                .headers
                .get(headers::FAIRNESS_KEY)
                .map(|value| xxh3_64(value.as_bytes())),
            ticket,
            method: parts.method.clone(),
            path: parts
                .uri
                .path_and_query()
                .map_or("/", |path| path.as_str())
                .to_owned(),
            headers: passed_headers(&parts.headers),
        })
    }

    /// Reports whether running it twice does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.ticket.is_none() && is_repeatable(&self.method)
    }
}

/// Hashes the caller's name, or its address when it gave none.
pub fn caller_key(map: &HeaderMap, peer: SocketAddr) -> u64 {
    map.get(headers::CALLER).map_or_else(
        || xxh3_64(peer.ip().to_string().as_bytes()),
        |value| xxh3_64(value.as_bytes()),
    )
}

/// Returns the identifier that the caller gave, or nothing.
pub fn named_request_id(map: &HeaderMap) -> String {
    text(map, headers::REQUEST_ID)
        .ok()
        .flatten()
        .unwrap_or_default()
        .to_owned()
}

fn is_repeatable(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ResultCode> {
    let value = map
        .get(name)
        .map(hyper::header::HeaderValue::to_str)
        .transpose();
    value.ok().ok_or(ResultCode::BadRequest)
}

fn number<T: std::str::FromStr>(map: &HeaderMap, name: &str) -> Result<Option<T>, ResultCode> {
    let value = text(map, name)?.map(str::parse).transpose();
    value.ok().ok_or(ResultCode::BadRequest)
}

fn request_id(map: &HeaderMap) -> Result<String, ResultCode> {
    match text(map, headers::REQUEST_ID)? {
        Some(id) if id.is_empty() || id.len() > REQUEST_ID_BYTES_MAX => Err(ResultCode::BadRequest),
        Some(id) => Ok(id.to_owned()),
        None => Ok(format!("{:032x}", rand::rng().random::<u128>())),
    }
}

/// Headers that nodes set anew on each hop.
const OWN_HEADERS: [&str; 4] = [
    headers::REQUEST_ID,
    headers::DEADLINE_MS,
    headers::HOPS,
    "host",
];

fn passed_headers(map: &HeaderMap) -> Vec<HeaderPair> {
    map.iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()) && !OWN_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| name.as_str() != "expect")
        .map(|(name, value)| HeaderPair {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
