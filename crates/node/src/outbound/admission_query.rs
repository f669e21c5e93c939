//! Asks a member whether it would admit a request, before the request is sent.

use http::{HeaderMap, HeaderValue, Request, Uri};
use tokio::time::Instant;

use super::{TryFailure, TrySender};
use crate::{
    header_names::{
        PEER_ADMISSION_HEADER, PEER_REFUSAL_HEADER, head_bytes, parse_header, set_header,
    },
    inbound::InboundRefusal,
    link::LinkTraffic,
    member::{MemberKey, MemberRecord},
    request_body::{BodyStream, read_message},
    transport::ExchangeError,
};

/// Path at which a node says whether it would admit a request.
pub const ADMISSION_PATH: &str = "/.geranium/admission";
/// Largest body of a response that is read, in bytes. Nodes respond without one.
const BODY_MAX_BYTES: usize = 4 * 1024;

impl TrySender<'_> {
    /// Asks the inbound proxy of `key` whether it would admit the request.
    ///
    /// In a shortage most requests are refused at the first members that they are sent to. Their
    /// bodies alone can fill the link of an instance whose fast backend server attracts many.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the request would get, or if the member can't be reached.
    pub(super) async fn ask_admission(
        self,
        key: MemberKey,
        record: &MemberRecord,
    ) -> Result<(), TryFailure> {
        let query = self.admission_query(record);
        let core = self.core;
        let bytes = head_bytes(query.headers());
        core.link
            .record_sent(core.clock.now(), LinkTraffic::Request, bytes);
        let exchange = core
            .peer_connections
            .exchange(record.peer_addr, query, core.settings.peer_idle_timeout)
            .await;
        let (response, sender) = match exchange {
            Ok(exchanged) => exchanged,
            Err(
                ExchangeError::NotSent { reason }
                | ExchangeError::Refused { reason }
                | ExchangeError::ResponseLost { reason },
            ) => return Err(TryFailure::Unreachable(reason)),
        };
        self.record_peer_headers(key, record, response.headers());
        // A node that doesn't know the question responds with status 400, and is sent the request.
        let refusal = parse_header::<InboundRefusal>(response.headers(), &PEER_REFUSAL_HEADER);
        let body = read_message(response.into_body(), BODY_MAX_BYTES).await;
        if body.is_ok() {
            core.peer_connections.put_back(sender);
        }
        refusal.map_or(Ok(()), |refusal| Err(TryFailure::Refused(refusal)))
    }

    fn admission_query(self, record: &MemberRecord) -> Request<BodyStream> {
        let header_names = &self.core.headers;
        let now = Instant::now();
        let ends_at = self.core.bound_peer_response(self.request.ends_at);
        let remaining = ends_at.saturating_duration_since(now);
        let mut headers = HeaderMap::new();
        headers.insert(
            &header_names.deadline_ms,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        set_header(
            &mut headers,
            &header_names.expected_instance,
            record.start.instance(),
        );
        let peer_header = self.peer_header(now, record);
        set_header(
            &mut headers,
            &PEER_ADMISSION_HEADER,
            &peer_header.to_string(),
        );
        let mut query = Request::new(BodyStream::default());
        *query.uri_mut() = Uri::from_static(ADMISSION_PATH);
        *query.headers_mut() = headers;
        query
    }
}
