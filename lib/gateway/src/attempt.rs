//! One attempt to send a request to an upstream, up to the head of the response.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use slog::info;
use snipegate_http1::BodyDecoder;
use snipegate_http1::BodyFraming;
use snipegate_http1::ConnectError;
use snipegate_http1::ExchangeError;
use snipegate_http1::HttpConnection;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_http1::connect;
use snipegate_http1::response_framing;
use snipegate_types::UpstreamId;
use strum::Display;
use tokio::time::timeout;

use crate::cold::record_cold_answer;
use crate::gateway::Gateway;
use crate::metadata::RateLimitNotice;
use crate::metadata::RequestMetadata;
use crate::metadata::ResponseMetadata;
use crate::pool::max_idle_connections;
use crate::rate_log::RateSource;
use crate::rate_log::log_rate_change;
use crate::rate_table::RateAnswer;
use crate::response_memory::MemoryReservation;
use crate::response_memory::NoResponseMemory;
use crate::upstream::UpstreamEntry;
use crate::wire_format::ForwardMetadata;

/// Timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an upstream may leave sent data unacknowledged or keep-alive probes unanswered.
const UNACKED_DATA_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum idle time of a pooled connection reused for a retryable request.
const RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(3000);

/// Maximum idle time of a pooled connection reused for a request that may run only once.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(800);

/// Responses to other requests that are skipped on one connection before it is given up.
const MAX_STRAY_RESPONSES: u32 = 2;

/// Largest body, in bytes, that is read and discarded so that the connection stays usable.
const MAX_DISCARDED_BODY: usize = 64 * 1024;

/// How long a body is discarded to reach the response after it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the body of a refusal is discarded to keep its connection; the caller waits
/// meanwhile.
const REFUSAL_DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Largest response body that is buffered whole, in bytes.
const MAX_BUFFERED_BODY: u64 = 4 << 20;

/// Why an attempt produced no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum SendFailure {
    /// Connecting timed out; nothing was sent.
    ConnectTimedOut,
    /// The connection was refused; nothing was sent.
    ConnectRefused,
    /// The connection was closed before anything was sent.
    NothingSent,
    /// The connection was closed before a response came.
    Closed,
    /// The connection was reset, or sent data stayed unacknowledged.
    Broken,
    /// The response is malformed or lacks its signature.
    Malformed,
    /// A refusal on a reused connection does not name the request, and may be about another.
    UnnamedRefusal,
    /// No response head came in time.
    Silent,
    /// The response exceeds the size limit.
    TooLarge,
    /// There is no memory for the response, or its memory was needed for others.
    Displaced,
}

impl SendFailure {
    /// Returns whether it is certain that nothing was sent.
    pub fn is_unsent(self) -> bool {
        matches!(
            self,
            SendFailure::ConnectTimedOut | SendFailure::ConnectRefused | SendFailure::NothingSent
        )
    }
}

impl From<ExchangeError> for SendFailure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NothingSent(_) => SendFailure::NothingSent,
            ExchangeError::ConnectionFailed(_) => SendFailure::Broken,
            ExchangeError::Closed => SendFailure::Closed,
            ExchangeError::InvalidHead(_)
            | ExchangeError::TooManyInterimResponses
            | ExchangeError::InvalidBody(_) => SendFailure::Malformed,
        }
    }
}

impl From<ConnectError> for SendFailure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::TimedOut => SendFailure::ConnectTimedOut,
            ConnectError::Refused(_) => SendFailure::ConnectRefused,
        }
    }
}

/// A request to be sent to an upstream.
pub struct OutgoingRequest<'a> {
    /// The head of the caller's request.
    pub head: &'a RequestHead,
    /// The request metadata decoded from the head.
    pub metadata: &'a RequestMetadata,
    /// The body.
    pub body: &'a Bytes,
    /// Whether the request may run more than once.
    pub is_retryable: bool,
}

/// An upstream's response whose head was received and whose body is still to be read.
pub struct UpstreamResponse {
    /// The head.
    pub head: ResponseHead,
    /// The response metadata decoded from the head.
    pub metadata: ResponseMetadata,
    connection: HttpConnection,
    framing: BodyFraming,
    decoder: BodyDecoder,
    reusable: bool,
}

impl UpstreamResponse {
    /// Returns whether only the end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>, SendFailure> {
        self.connection
            .read_body_part(&mut self.decoder)
            .await
            .map_err(SendFailure::from)
    }

    /// Reads the whole body into memory reserved from `memory`.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed or too large.
    pub async fn read_body(
        &mut self,
        memory: &mut MemoryReservation,
    ) -> Result<Bytes, SendFailure> {
        if matches!(self.framing, BodyFraming::Length(length) if length > MAX_BUFFERED_BODY) {
            return Err(SendFailure::TooLarge);
        }
        let mut body = BytesMut::new();
        while let Some(part) = self.read_part_into(memory).await? {
            if (body.len() + part.len()) as u64 > MAX_BUFFERED_BODY {
                return Err(SendFailure::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }

    /// Reads the next part of the body into memory reserved from `memory`; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed, or if there is no memory for it.
    pub async fn read_part_into(
        &mut self,
        memory: &mut MemoryReservation,
    ) -> Result<Option<Bytes>, SendFailure> {
        let displaced = memory.displaced();
        let part = tokio::select! {
            biased;
            part = self.read_part() => part?,
            () = displaced => return Err(SendFailure::Displaced),
        };
        let length = part.as_ref().map_or(0, Bytes::len);
        let reserved = memory.try_grow(length);
        reserved
            .map(|()| part)
            .map_err(|NoResponseMemory| SendFailure::Displaced)
    }

    /// Discards the body of a refusal; returns the connection to the pool if the body ends in
    /// time.
    pub async fn discard_refusal(mut self, gateway: &Gateway, id: &UpstreamId) {
        let body = discard_body(&mut self.connection, &mut self.decoder);
        if let Ok(Ok(())) = timeout(REFUSAL_DISCARD_TIMEOUT, body).await {
            self.release(gateway, id);
        }
    }

    /// Returns the connection to the pool after the whole body was read.
    pub fn release(self, gateway: &Gateway, id: &UpstreamId) {
        let upstreams = gateway.upstreams.borrow();
        let Some(entry) = upstreams.get(id).filter(|_| upstreams.is_ready(id)) else {
            return;
        };
        if self.reusable {
            let accepted = gateway.connections_accepted(&entry.service);
            let max_idle = max_idle_connections(accepted, gateway.vm_count());
            let now = gateway.now();
            gateway
                .pool
                .borrow_mut()
                .put(id, self.connection, max_idle, now);
        }
    }
}

/// Sends a request to an upstream and waits for the head of its response.
///
/// `before_send` is called just before the first byte is written.
///
/// # Errors
///
/// Returns how far the request got.
pub async fn send_request(
    gateway: &Rc<Gateway>,
    entry: &UpstreamEntry,
    request: &OutgoingRequest<'_>,
    forward_metadata: &ForwardMetadata<'_>,
    before_send: impl FnOnce(),
) -> Result<UpstreamResponse, SendFailure> {
    let (mut connection, is_reused) = open_connection(gateway, entry, request.is_retryable).await?;
    let head = gateway
        .wire_format
        .forward_head(request.head, forward_metadata);
    let mut bytes = BytesMut::with_capacity(1024 + request.body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(request.body);
    before_send();
    let sent_at = gateway.now();
    let sent_whole = connection.send(&bytes).await?;
    drop(bytes);
    for strays in 0..=MAX_STRAY_RESPONSES {
        let head = connection.read_head().await?;
        let metadata = gateway.wire_format.decode_answer(&head);
        apply_drain_and_back_off(gateway, entry, &metadata);
        let framing =
            response_framing(&head, &request.head.method).map_err(|_| SendFailure::Malformed)?;
        let mut decoder = BodyDecoder::new(framing);
        let matches = metadata
            .attempt_id
            .as_deref()
            .is_none_or(|id| id == &*request.metadata.attempt_id);
        if metadata.not_run && metadata.attempt_id.is_none() && (is_reused || strays > 0) {
            gateway.metrics.count("upstream.unnamed_refusal");
            return Err(SendFailure::UnnamedRefusal);
        }
        if matches {
            record_advertised_rate(gateway, entry, request, &metadata, sent_at);
            if metadata.signed {
                record_cold_answer(gateway, entry, metadata.cold_left);
            }
            let clean = sent_whole && strays == 0 && !head.will_close();
            return Ok(UpstreamResponse {
                reusable: clean && framing != BodyFraming::UntilClose,
                head,
                metadata,
                connection,
                framing,
                decoder,
            });
        }
        gateway.metrics.count("upstream.stray_answer");
        let body = discard_body(&mut connection, &mut decoder);
        timeout(DISCARD_TIMEOUT, body)
            .await
            .unwrap_or(Err(SendFailure::Malformed))?;
    }
    Err(SendFailure::Malformed)
}

/// Reads a body to its end and discards it.
async fn discard_body(
    connection: &mut HttpConnection,
    decoder: &mut BodyDecoder,
) -> Result<(), SendFailure> {
    let mut length = 0;
    while let Some(part) = connection.read_body_part(decoder).await? {
        length += part.len();
        if length > MAX_DISCARDED_BODY {
            return Err(SendFailure::Malformed);
        }
    }
    Ok(())
}

/// Applies the draining and back-off notices of a response, also of one to another request.
fn apply_drain_and_back_off(gateway: &Gateway, entry: &UpstreamEntry, metadata: &ResponseMetadata) {
    let mut upstreams = gateway.upstreams.borrow_mut();
    if metadata.leaving
        && let Some(change) = upstreams.record_leaving(entry)
    {
        info!(gateway.log, "upstream says that it leaves"; "upstream" => %entry.id,
            "started_ms" => entry.started_ms);
        drop(upstreams);
        gateway.metrics.count("upstream.said_leaving");
        gateway.apply_upstream_changes(vec![change]);
        return;
    }
    if let Some(duration) = metadata.back_off
        && let Some(until) = gateway.now().checked_add(duration)
    {
        upstreams.record_back_off(entry, until);
        gateway.metrics.count("upstream.backs_off");
        info!(gateway.log, "upstream backs off"; "upstream" => %entry.id,
            "ms" => duration.as_millis() as u64);
    }
}

/// Records the rate limit advertised by an upstream. Not called for responses to other
/// requests, whose limit may be outdated.
fn record_advertised_rate(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    request: &OutgoingRequest<'_>,
    metadata: &ResponseMetadata,
    sent_at: Instant,
) {
    if matches!(metadata.rate, RateLimitNotice::Limited(_)) {
        gateway.metrics.count("upstream.advertised_rate");
    }
    let now = gateway.now();
    let answer = RateAnswer {
        entry,
        notice: metadata.rate,
        sent_at,
    };
    let change = gateway.rates.borrow_mut().apply_answer(&answer, now);
    if let Some(change) = change {
        let age = now.saturating_duration_since(sent_at);
        let source = RateSource::Answer(&request.metadata.attempt_id, age);
        log_rate_change(gateway, entry, &change, source);
        gateway.gossip_notify.notify_one();
    }
}

/// Returns a connection to an upstream, and whether it has carried an earlier request.
async fn open_connection(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    is_retryable: bool,
) -> Result<(HttpConnection, bool), SendFailure> {
    let max_idle = if is_retryable {
        RETRYABLE_MAX_IDLE
    } else {
        NON_RETRYABLE_MAX_IDLE
    };
    let now = gateway.now();
    let kept = gateway.pool.borrow_mut().take(&entry.id, max_idle, now);
    if let Some(connection) = kept {
        gateway.metrics.count("upstream.connection_reused");
        return Ok((connection, true));
    }
    gateway.metrics.count("upstream.connection_opened");
    let stream = connect(entry.address, CONNECT_TIMEOUT, UNACKED_DATA_TIMEOUT).await?;
    let connection = HttpConnection::new(stream, entry.address, gateway.now());
    Ok((connection, false))
}
