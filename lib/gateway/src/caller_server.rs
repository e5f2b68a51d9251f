//! Accepts callers' connections, reads their requests and serves them.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use slog::info;
use snipegate_http1::BodyDecoder;
use snipegate_http1::BodyFraming;
use snipegate_http1::DecodeStep;
use snipegate_http1::HeadError;
use snipegate_http1::RequestHead;
use snipegate_http1::configure_socket;
use snipegate_http1::parse_request_head;
use snipegate_http1::read_available;
use snipegate_http1::request_framing;
use snipegate_http1::write_all;
use snipegate_types::ByteCount;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::admission::Admission;
use crate::admission::admit;
use crate::caller::CallerDisconnected;
use crate::caller::CallerWriter;
use crate::caller::ResponseState;
use crate::config::CallerLimits;
use crate::feature_guard::claim_due_trial;
use crate::feature_guard::refuse_features;
use crate::gateway::Gateway;
use crate::local_response::jitter;
use crate::local_response::pick_service;
use crate::local_response::refuse;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;
use crate::relay::CallerRequest;
use crate::relay::Relay;
use crate::relay::RelayFeatures;
use crate::request_digest::digest_request;
use crate::request_feature::RequestFeature;
use crate::request_feature::request_features;
use crate::request_guards::ActiveRequestGuard;
use crate::request_guards::Reservation;
use crate::reserve::reserve;
use crate::stage::VmStage;
use crate::stop_plan::LateRequest;

/// Limits in force until a configuration is loaded.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    head: ByteCount(16 * 1024),
    body: ByteCount(4 << 20),
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// How long a caller may leave sent data unacknowledged or keep-alive probes unanswered.
const UNACKED_DATA_TIMEOUT: Duration = Duration::from_secs(5);

/// `Retry-After` of a request refused while the process starts or stops or its route has no
/// service.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes of pipelined requests that are buffered while a request is being served.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Accepts callers' connections until the gateway shuts down.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_shutdown(&gateway) => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                info!(gateway.log, "failed to accept connection"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if gateway.connections.get() >= gateway.settings.caller_connections {
            gateway.metrics.count("caller.connection_refused");
            continue;
        }
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            gateway.connections.set(gateway.connections.get() + 1);
            serve_connection(&gateway, stream).await;
            gateway.connections.set(gateway.connections.get() - 1);
        });
    }
}

/// The result of reading a request.
enum ReadOutcome {
    /// A complete request.
    Request(RequestHead, Bytes),
    /// An invalid request; it is refused and the connection closes.
    Refused(Refusal),
    /// The connection is closed, or idle for too long.
    Closed,
}

/// A caller's connection and the bytes read ahead from it.
struct CallerConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

async fn serve_connection(gateway: &Rc<Gateway>, stream: TcpStream) {
    if configure_socket(&stream, UNACKED_DATA_TIMEOUT).is_err() {
        return;
    }
    let mut connection = CallerConnection {
        stream,
        buffer: BytesMut::new(),
    };
    loop {
        let limits = gateway
            .current_config()
            .map_or(INITIAL_LIMITS, |config| config.limits);
        if !connection.wait_for_request(gateway, &limits).await {
            return;
        }
        // Counted from its first byte: a closing process ends once none is active.
        let _active = ActiveRequestGuard::new(gateway);
        match connection.read_request(&limits).await {
            ReadOutcome::Closed => return,
            ReadOutcome::Refused(refusal) => {
                let mut caller = CallerWriter::new(&connection.stream, true, false);
                let metadata = RequestMetadata::default();
                let _ = refuse(gateway, &mut caller, &metadata, &refusal).await;
                return;
            }
            ReadOutcome::Request(head, body) => {
                if connection.serve_request(gateway, head, body).await.is_err() {
                    return;
                }
            }
        }
    }
}

impl CallerConnection {
    /// Waits for the first bytes of the next request. Returns whether there are any; none are
    /// read once the gateway shuts down.
    async fn wait_for_request(&mut self, gateway: &Gateway, limits: &CallerLimits) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let idle = timeout(
            limits.idle_timeout,
            read_available(&self.stream, &mut self.buffer),
        );
        tokio::select! {
            biased;
            () = wait_for_shutdown(gateway) => false,
            read = idle => matches!(read, Ok(Ok(1..))),
        }
    }

    /// Reads a request whose first bytes were read.
    async fn read_request(&mut self, limits: &CallerLimits) -> ReadOutcome {
        let read = timeout(limits.head_timeout, self.read_head_and_body(limits));
        match read.await {
            Ok(end) => end,
            Err(_) => ReadOutcome::Refused(Refusal::permanent(ResultCode::SenderTooSlow)),
        }
    }

    async fn read_head_and_body(&mut self, limits: &CallerLimits) -> ReadOutcome {
        let head = loop {
            match parse_request_head(&self.buffer) {
                Ok(Some((head, length))) => {
                    let _ = self.buffer.split_to(length);
                    break head;
                }
                Ok(None) if self.buffer.len() as u64 > limits.head.0 => {
                    return ReadOutcome::Refused(Refusal::permanent(ResultCode::HeadTooLarge));
                }
                Ok(None) => {}
                Err(HeadError::TooManyHeaders) => {
                    return ReadOutcome::Refused(Refusal::permanent(ResultCode::HeadTooLarge));
                }
                Err(HeadError::Malformed) => {
                    return ReadOutcome::Refused(Refusal::permanent(ResultCode::MalformedRequest));
                }
            }
            if !matches!(
                read_available(&self.stream, &mut self.buffer).await,
                Ok(1..)
            ) {
                return ReadOutcome::Closed;
            }
        };
        let Ok(framing) = request_framing(&head) else {
            return ReadOutcome::Refused(Refusal::permanent(ResultCode::MalformedRequest));
        };
        if !has_host_and_origin_form(&head) {
            return ReadOutcome::Refused(Refusal::permanent(ResultCode::MalformedRequest));
        }
        self.read_body(head, framing, limits).await
    }

    async fn read_body(
        &mut self,
        head: RequestHead,
        framing: BodyFraming,
        limits: &CallerLimits,
    ) -> ReadOutcome {
        if matches!(framing, BodyFraming::Length(length) if length > limits.body.0) {
            return ReadOutcome::Refused(Refusal::permanent(ResultCode::BodyTooLarge));
        }
        if framing != BodyFraming::Empty
            && head.headers.has_token("expect", "100-continue")
            && write_all(&self.stream, b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return ReadOutcome::Closed;
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(DecodeStep::Data(data)) => body.extend_from_slice(&data),
                Ok(DecodeStep::End) => return ReadOutcome::Request(head, body.freeze()),
                Ok(DecodeStep::NeedMore) => {
                    if !matches!(
                        read_available(&self.stream, &mut self.buffer).await,
                        Ok(1..)
                    ) {
                        return ReadOutcome::Closed;
                    }
                }
                Err(_) => {
                    return ReadOutcome::Refused(Refusal::permanent(ResultCode::MalformedRequest));
                }
            }
            if body.len() as u64 > limits.body.0 {
                return ReadOutcome::Refused(Refusal::permanent(ResultCode::BodyTooLarge));
            }
        }
    }

    /// Serves a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection has to close.
    async fn serve_request(
        &mut self,
        gateway: &Rc<Gateway>,
        head: RequestHead,
        body: Bytes,
    ) -> Result<(), CallerDisconnected> {
        let leaving = gateway.stage.get() == VmStage::Leaving;
        let close = leaving || head.wants_close();
        let metadata = gateway.wire_format.decode_request(&head);
        let request = CallerRequest {
            metadata,
            received: gateway.now(),
            body,
            head,
        };
        let Self { stream, buffer } = self;
        let mut caller = CallerWriter::new(stream, close, request.head.minor_version == 0);
        let result = tokio::select! {
            biased;
            result = handle_request(gateway, &request, &mut caller) => result,
            () = wait_for_disconnect(stream, buffer) => {
                record_disconnect(gateway, &request);
                Err(CallerDisconnected)
            }
        };
        result?;
        match caller.close || caller.state() != ResponseState::Complete {
            true => Err(CallerDisconnected),
            false => Ok(()),
        }
    }
}

fn record_disconnect(gateway: &Gateway, request: &CallerRequest) {
    gateway.metrics.count("caller.left");
    let elapsed = gateway.now().saturating_duration_since(request.received);
    info!(gateway.log, "caller left"; "request" => &*request.metadata.attempt_id,
        "ms" => elapsed.as_millis() as u64);
}

/// Waits until the caller closes or resets the connection; bytes of pipelined requests are
/// buffered.
async fn wait_for_disconnect(stream: &TcpStream, buffer: &mut BytesMut) {
    loop {
        if buffer.len() > MAX_READ_AHEAD {
            std::future::pending::<()>().await;
        }
        let read: io::Result<usize> = read_available(stream, buffer).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
    }
}

async fn wait_for_shutdown(gateway: &Gateway) {
    let notified = gateway.closing.notified();
    if gateway.is_closing.get() {
        return;
    }
    notified.await;
}

/// Returns whether a head has exactly one `Host` field and a target in origin form.
fn has_host_and_origin_form(head: &RequestHead) -> bool {
    let hosts = head
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"))
        .count();
    hosts == 1 && head.target.starts_with('/')
}

/// Admits a request, reserves its budget and relays it to an upstream.
async fn handle_request(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    caller: &mut CallerWriter<'_>,
) -> Result<(), CallerDisconnected> {
    let admission = match admit_request(gateway, request) {
        Ok(admission) => admission,
        Err(refusal) => return refuse_unsent(gateway, request, caller, &refusal).await,
    };
    let Some(service) = pick_service(&admission, &request.metadata) else {
        let refusal = Refusal::retryable(ResultCode::NoUpstream, jitter(STARTING_RETRY_AFTER));
        return refuse_unsent(gateway, request, caller, &refusal).await;
    };
    if let Some(refusal) = refuse_late(gateway, &admission) {
        return refuse_unsent(gateway, request, caller, &refusal).await;
    }
    let workspace = admission.workspace.as_ref();
    let prompt = request.metadata.prompt.as_ref();
    let digest = digest_request(&request.head, workspace, prompt, &request.body);
    let features = request_features(digest, prompt);
    let is_trial = match check_features(gateway, request, &features).await {
        Ok(is_trial) => is_trial,
        Err(refusal) => return refuse_unsent(gateway, request, caller, &refusal).await,
    };
    let reserved = tokio::select! {
        biased;
        reserved = reserve_budget(gateway, request, &admission, &service) => reserved,
        () = gateway.wait_for_drain_end() => Err(stopping_refusal()),
    };
    let reservation = match reserved {
        Ok(reservation) => reservation,
        Err(refusal) => return refuse_unsent(gateway, request, caller, &refusal).await,
    };
    let reservation = reservation.as_ref();
    let features = RelayFeatures {
        digest,
        features: &features,
        is_trial,
    };
    let mut relay = Relay::new(gateway, request, &admission, service, features, reservation);
    relay.run(caller).await
}

/// Returns the refusal of a request that can't end before this process does.
fn refuse_late(gateway: &Gateway, admission: &Admission) -> Option<Refusal> {
    let plan = gateway.stop_plan.get()?;
    let late = LateRequest {
        route: &admission.route.prefix,
        is_stream: admission.route.retry_safety.is_stream(),
        deadline: admission.deadline,
    };
    let durations = gateway.stream_durations.borrow();
    let has_time = plan.has_time_for(&late, &durations, gateway.now());
    (!has_time).then(stopping_refusal)
}

fn stopping_refusal() -> Refusal {
    Refusal::retryable(ResultCode::Stopping, jitter(STARTING_RETRY_AFTER))
}

/// Refuses a request whose features crash upstreams; returns whether it is sent as the trial of
/// such features.
async fn check_features(
    gateway: &Gateway,
    request: &CallerRequest,
    features: &[RequestFeature],
) -> Result<bool, Refusal> {
    let id = &request.metadata.attempt_id;
    if claim_due_trial(gateway, id, features).await {
        return Ok(true);
    }
    match refuse_features(gateway, id, features) {
        Some(refusal) => Err(refusal),
        None => Ok(false),
    }
}

fn admit_request(gateway: &Gateway, request: &CallerRequest) -> Result<Admission, Refusal> {
    let starting = gateway.stage.get() == VmStage::Starting;
    let config = match gateway.current_config() {
        Some(config) if !starting => config,
        _ => {
            let after = jitter(STARTING_RETRY_AFTER);
            return Err(Refusal::retryable(ResultCode::ConfigMissing, after));
        }
    };
    let current = gateway.store_contact.get().is_current(gateway.now());
    admit(
        &config,
        &request.head,
        &request.metadata,
        current,
        request.received,
    )
}

/// Reserves the maximum cost of a generation if its workspace has a prepaid budget.
async fn reserve_budget(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    admission: &Admission,
    service: &str,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(workspace), Some(prompt)) = (&admission.workspace, &request.metadata.prompt) else {
        return Ok(None);
    };
    let rule = admission.config.workspaces.get(workspace);
    if rule.is_none_or(|rule| rule.prepaid.is_none()) {
        return Ok(None);
    }
    let cost: TokenCount = prompt.max_cost();
    reserve(gateway, workspace, cost, admission, &request.metadata).await?;
    let engine = admission
        .config
        .services
        .get(service)
        .and_then(|rule| rule.engine);
    let event_tokens = engine.map_or(u64::MAX, |engine| engine.event_tokens);
    Ok(Some(Reservation::new(
        gateway,
        workspace,
        &request.metadata.attempt_id,
        prompt,
        event_tokens,
    )))
}

/// Logs and refuses a request that was not sent to any upstream.
async fn refuse_unsent(
    gateway: &Gateway,
    request: &CallerRequest,
    caller: &mut CallerWriter<'_>,
    refusal: &Refusal,
) -> Result<(), CallerDisconnected> {
    let waited = gateway.now().saturating_duration_since(request.received);
    info!(gateway.log, "request refused"; "request" => &*request.metadata.attempt_id,
        "code" => refusal.code.number(), "reason" => %refusal.code, "run" => %refusal.run,
        "config" => gateway.config_version(), "sends" => 0,
        "ms" => waited.as_millis() as u64);
    refuse(gateway, caller, &request.metadata, refusal).await
}
