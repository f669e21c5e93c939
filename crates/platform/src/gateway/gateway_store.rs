//! The store behind the gateway.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use serde::de::DeserializeOwned;

use super::{
    Endpoint, EndpointError, GatewaySettings,
    call::Call,
    watch_stream::{self, StreamEnd},
    wire::{
        Compare, KeyValue, LeaseGrantRequest, LeaseRequest, LeaseResponse, PutRequest,
        RangeRequest, RangeResponse, RequestOp, StreamLine, TxnRequest, TxnResponse, WatchCreate,
        WatchRequest, encode, prefix_end, signed, unsigned,
    },
};
use crate::{
    CasAnswer, Entry, LeaseAnswer, LeaseId, PlatformError, PlatformStore, Revision, WatchAnswer,
    WriteEffect,
};

/// The status with which the gateway says that a lease isn't known.
const NOT_FOUND: u16 = 404;

/// [`PlatformStore`] over HTTP and JSON, in the shape of etcd's v3 gateway.
///
/// It remembers which endpoint answered last and starts there. A read goes on
/// to the next endpoint when one fails; a write only where the failed one
/// certainly didn't get it.
#[derive(Debug)]
pub struct GatewayStore {
    settings: GatewaySettings,
    preferred: AtomicUsize,
}

impl TryFrom<GatewaySettings> for GatewayStore {
    type Error = EndpointError;

    fn try_from(settings: GatewaySettings) -> Result<Self, EndpointError> {
        if settings.endpoints.is_empty() {
            return Err(EndpointError::Missing);
        }
        Ok(Self {
            settings,
            preferred: AtomicUsize::new(0),
        })
    }
}

impl GatewayStore {
    fn call(&self, path: &'static str, message: &impl serde::Serialize) -> Call<'_> {
        Call::new(&self.settings, path, message)
    }

    /// Tries the endpoints in turn, as long as `goes_on` allows it.
    fn try_each<T>(
        &self,
        goes_on: impl Fn(&PlatformError) -> bool,
        ask: impl Fn(Endpoint) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let endpoints = &self.settings.endpoints;
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = None;
        for step in 0..endpoints.len() {
            let index = (first + step) % endpoints.len();
            match ask(endpoints[index]) {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(error) if goes_on(&error) => last = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last.expect("the settings hold at least one endpoint"))
    }

    fn read<T: DeserializeOwned>(&self, call: &Call<'_>) -> Result<T, PlatformError> {
        // Asking on after a refusal would multiply the load that caused it.
        let goes_on = |error: &PlatformError| !matches!(error, PlatformError::Refused { .. });
        self.try_each(goes_on, |endpoint| call.ask(endpoint))
    }

    /// Sends a write at most once.
    ///
    /// Failure: an answer lost after the write took effect. Sending it again
    /// would conflict with the own write, and the caller would be told that
    /// somebody else won. Only a write whose body never left goes on.
    fn write<T: DeserializeOwned>(&self, call: &Call<'_>) -> Result<T, PlatformError> {
        let goes_on = |error: &PlatformError| {
            matches!(error, PlatformError::Unreachable { .. })
                && error.effect() == WriteEffect::NotWritten
        };
        self.try_each(goes_on, |endpoint| call.ask(endpoint))
    }

    fn watch_once(
        &self,
        key: &str,
        start: i64,
        wait: Duration,
    ) -> Result<StreamEnd, PlatformError> {
        let message = WatchRequest {
            create_request: WatchCreate {
                key: encode(key),
                start_revision: start,
            },
        };
        let call = self.call("/v3/watch", &message);
        let goes_on = |error: &PlatformError| matches!(error, PlatformError::Unreachable { .. });
        self.try_each(goes_on, |endpoint| {
            let reader = call.open(endpoint, wait)?;
            watch_stream::read(endpoint, reader)
        })
    }

    fn range(&self, request: &RangeRequest) -> Result<Vec<Entry>, PlatformError> {
        let response: RangeResponse = self.read(&self.call("/v3/kv/range", request))?;
        response
            .kvs
            .into_iter()
            .map(|pair| self.entry(pair))
            .collect()
    }

    fn entry(&self, pair: KeyValue) -> Result<Entry, PlatformError> {
        Entry::try_from(pair).map_err(|reason| self.bad_answer(reason))
    }

    fn bad_answer(&self, reason: impl Into<String>) -> PlatformError {
        let index = self.preferred.load(Ordering::Relaxed);
        PlatformError::BadAnswer {
            endpoint: self.settings.endpoints[index].to_string(),
            reason: reason.into(),
        }
    }
}

impl PlatformStore for GatewayStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let request = RangeRequest {
            key: encode(key),
            ..RangeRequest::default()
        };
        Ok(self.range(&request)?.into_iter().next())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError> {
        self.range(&RangeRequest {
            key: encode(prefix),
            range_end: prefix_end(prefix),
        })
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<CasAnswer, PlatformError> {
        let request = txn(key, expected, value, lease);
        let answer = self.write(&self.call("/v3/kv/txn", &request));
        let response: TxnResponse = answer.map_err(|error| match (error, lease) {
            (
                PlatformError::Refused {
                    status: NOT_FOUND, ..
                },
                Some(lease),
            ) => PlatformError::LeaseLapsed { lease },
            (error, _) => error,
        })?;
        if response.succeeded {
            let revision = unsigned(response.header.revision);
            return Ok(CasAnswer::Swapped { revision });
        }
        let found = response.responses.into_iter().next().unwrap_or_default();
        let pair = found.response_range.kvs.into_iter().next();
        let current = pair.map(|pair| self.entry(pair)).transpose()?;
        Ok(CasAnswer::Conflict { current })
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let request = LeaseGrantRequest {
            ttl: seconds.cast_signed(),
        };
        let response: LeaseResponse = self.write(&self.call("/v3/lease/grant", &request))?;
        if response.id == 0 {
            return Err(self.bad_answer("a lease without an identifier"));
        }
        Ok(LeaseId::new(response.id))
    }

    fn keep_lease(&self, lease: LeaseId) -> Result<LeaseAnswer, PlatformError> {
        let request = LeaseRequest { id: lease.get() };
        let call = self.call("/v3/lease/keepalive", &request);
        match self.read(&call)? {
            StreamLine::Result(LeaseResponse { ttl, .. }) if ttl > 0 => Ok(LeaseAnswer::Alive {
                ttl: Duration::from_secs(ttl.cast_unsigned()),
            }),
            StreamLine::Result(_) => Ok(LeaseAnswer::Lapsed),
            StreamLine::Error(error) => Err(self.bad_answer(error.message)),
        }
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let request = LeaseRequest { id: lease.get() };
        let call = self.call("/v3/lease/revoke", &request);
        let revoked: Result<serde_json::Value, _> = self.write(&call);
        match revoked {
            Ok(_)
            | Err(PlatformError::Refused {
                status: NOT_FOUND, ..
            }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, PlatformError> {
        let oldest = match self.watch_once(key, signed(after) + 1, wait)? {
            StreamEnd::Answer(answer) => return Ok(answer),
            StreamEnd::Compacted(oldest) => oldest,
        };
        // The events in between are gone, so the entry itself has to tell what
        // they came to.
        match self.get(key)? {
            Some(entry) if entry.revision > after => return Ok(WatchAnswer::Changed(entry)),
            None if after > Revision::NONE => return Ok(WatchAnswer::Deleted { revision: oldest }),
            _ => {}
        }
        match self.watch_once(key, signed(oldest), wait)? {
            StreamEnd::Answer(answer) => Ok(answer),
            StreamEnd::Compacted(_) => Err(self.bad_answer("compacted again while starting")),
        }
    }
}

fn txn(key: &str, expected: Revision, value: &[u8], lease: Option<LeaseId>) -> TxnRequest {
    let compare = Compare {
        key: encode(key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: signed(expected),
    };
    let put = PutRequest {
        key: encode(key),
        value: encode(value),
        lease: lease.map_or(0, LeaseId::get),
    };
    let range = RangeRequest {
        key: encode(key),
        ..RangeRequest::default()
    };
    TxnRequest {
        compare: vec![compare],
        success: vec![RequestOp::RequestPut(put)],
        failure: vec![RequestOp::RequestRange(range)],
    }
}
