//! Takes callers' connections and reads their requests.

use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use slog::info;
use snipegate_http1::BodyDecoder;
use snipegate_http1::BodyFraming;
use snipegate_http1::BodyStep;
use snipegate_http1::HeadError;
use snipegate_http1::RequestHead;
use snipegate_http1::parse_request;
use snipegate_http1::prepare_socket;
use snipegate_http1::read_some;
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
use crate::caller::AnswerState;
use crate::caller::CallerGone;
use crate::caller::CallerWriter;
use crate::config::CallerLimits;
use crate::gateway::Gateway;
use crate::own_answer::pick_service;
use crate::own_answer::refuse;
use crate::own_answer::spread;
use crate::refusal::Refusal;
use crate::relay::CallerRequest;
use crate::relay::RelayRun;
use crate::reserve::reserve;
use crate::stage::VmStage;
use crate::terms::RequestTerms;
use crate::ticket::ActiveGuard;
use crate::ticket::Reservation;

/// Limits before a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head: ByteCount(16 * 1024),
    body: ByteCount(4 << 20),
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Longest time that a caller may leave data unacknowledged.
const CALLER_SILENCE: Duration = Duration::from_secs(5);

/// When to come back while the process starts.
const START_RETURN: Duration = Duration::from_millis(300);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a later request that are read while one is being answered.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Takes callers' connections until the process closes.
pub async fn serve_front(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_closing(&gateway) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                info!(gateway.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
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

/// How reading a request ended.
enum ReadEnd {
    /// A whole request.
    Request(RequestHead, Bytes),
    /// A request that gets a refusal, after which the connection closes.
    Refused(Refusal),
    /// Nothing more comes.
    Closed,
}

/// A caller's connection.
struct CallerConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

async fn serve_connection(gateway: &Rc<Gateway>, stream: TcpStream) {
    if prepare_socket(&stream, CALLER_SILENCE).is_err() {
        return;
    }
    let mut connection = CallerConnection {
        stream,
        buffer: BytesMut::new(),
    };
    loop {
        let limits = gateway
            .current_config()
            .map_or(FIRST_LIMITS, |config| config.limits);
        match connection.read_request(gateway, &limits).await {
            ReadEnd::Closed => return,
            ReadEnd::Refused(refusal) => {
                let mut caller = CallerWriter::new(&connection.stream, true, false);
                let terms = RequestTerms::default();
                let _ = refuse(gateway, &mut caller, &terms, &refusal).await;
                return;
            }
            ReadEnd::Request(head, body) => {
                if connection.answer(gateway, head, body).await.is_err() {
                    return;
                }
            }
        }
    }
}

impl CallerConnection {
    /// Reads the next request.
    async fn read_request(&mut self, gateway: &Gateway, limits: &CallerLimits) -> ReadEnd {
        if self.buffer.is_empty() {
            let idle = timeout(
                limits.idle_timeout,
                read_some(&self.stream, &mut self.buffer),
            );
            let read = tokio::select! {
                read = idle => read,
                () = wait_for_closing(gateway) => return ReadEnd::Closed,
            };
            if !matches!(read, Ok(Ok(1..))) {
                return ReadEnd::Closed;
            }
        }
        let read = timeout(limits.head_timeout, self.read_head_and_body(limits));
        match read.await {
            Ok(end) => end,
            Err(_) => ReadEnd::Refused(Refusal::fatal(ResultCode::SenderTooSlow)),
        }
    }

    async fn read_head_and_body(&mut self, limits: &CallerLimits) -> ReadEnd {
        let head = loop {
            match parse_request(&self.buffer) {
                Ok(Some((head, length))) => {
                    let _ = self.buffer.split_to(length);
                    break head;
                }
                Ok(None) if self.buffer.len() as u64 > limits.head.0 => {
                    return ReadEnd::Refused(Refusal::fatal(ResultCode::HeadTooLarge));
                }
                Ok(None) => {}
                Err(HeadError::TooManyHeaders) => {
                    return ReadEnd::Refused(Refusal::fatal(ResultCode::HeadTooLarge));
                }
                Err(HeadError::Malformed) => {
                    return ReadEnd::Refused(Refusal::fatal(ResultCode::MalformedRequest));
                }
            }
            if !matches!(read_some(&self.stream, &mut self.buffer).await, Ok(1..)) {
                return ReadEnd::Closed;
            }
        };
        let Ok(framing) = request_framing(&head) else {
            return ReadEnd::Refused(Refusal::fatal(ResultCode::MalformedRequest));
        };
        if !is_plain(&head) {
            return ReadEnd::Refused(Refusal::fatal(ResultCode::MalformedRequest));
        }
        self.read_body(head, framing, limits).await
    }

    async fn read_body(
        &mut self,
        head: RequestHead,
        framing: BodyFraming,
        limits: &CallerLimits,
    ) -> ReadEnd {
        if matches!(framing, BodyFraming::Length(length) if length > limits.body.0) {
            return ReadEnd::Refused(Refusal::fatal(ResultCode::BodyTooLarge));
        }
        if framing != BodyFraming::Empty
            && head.headers.has_token("expect", "100-continue")
            && write_all(&self.stream, b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return ReadEnd::Closed;
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(BodyStep::Data(data)) => body.extend_from_slice(&data),
                Ok(BodyStep::End) => return ReadEnd::Request(head, body.freeze()),
                Ok(BodyStep::NeedMore) => {
                    if !matches!(read_some(&self.stream, &mut self.buffer).await, Ok(1..)) {
                        return ReadEnd::Closed;
                    }
                }
                Err(_) => {
                    return ReadEnd::Refused(Refusal::fatal(ResultCode::MalformedRequest));
                }
            }
            if body.len() as u64 > limits.body.0 {
                return ReadEnd::Refused(Refusal::fatal(ResultCode::BodyTooLarge));
            }
        }
    }

    /// Answers a request; fails when the connection has to close.
    async fn answer(
        &mut self,
        gateway: &Rc<Gateway>,
        head: RequestHead,
        body: Bytes,
    ) -> Result<(), CallerGone> {
        let _active = ActiveGuard::new(gateway);
        let leaving = gateway.stage.get() == VmStage::Leaving;
        let close = leaving || head.wants_close();
        let terms = gateway.dialect.decode_request(&head);
        let request = CallerRequest {
            terms,
            received: gateway.now(),
            body,
            head,
        };
        let Self { stream, buffer } = self;
        let mut caller = CallerWriter::new(stream, close, request.head.minor_version == 0);
        let result = tokio::select! {
            biased;
            result = serve_request(gateway, &request, &mut caller) => result,
            () = watch_for_close(stream, buffer) => {
                note_caller_gone(gateway, &request);
                Err(CallerGone)
            }
        };
        result?;
        match caller.close || caller.state() != AnswerState::Whole {
            true => Err(CallerGone),
            false => Ok(()),
        }
    }
}

fn note_caller_gone(gateway: &Gateway, request: &CallerRequest) {
    gateway.metrics.count("caller.left");
    let span = gateway.now().saturating_duration_since(request.received);
    info!(gateway.log, "caller left"; "request" => &*request.terms.attempt_id,
        "ms" => span.as_millis() as u64);
}

/// Waits until the peer closes or resets; keeps bytes of a later request.
async fn watch_for_close(stream: &TcpStream, buffer: &mut BytesMut) {
    loop {
        if buffer.len() > MAX_READ_AHEAD {
            std::future::pending::<()>().await;
        }
        let read: io::Result<usize> = read_some(stream, buffer).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
    }
}

async fn wait_for_closing(gateway: &Gateway) {
    let notified = gateway.closing.notified();
    if gateway.is_closing.get() {
        return;
    }
    notified.await;
}

/// Tells whether a head names one host and a plain path.
fn is_plain(head: &RequestHead) -> bool {
    let hosts = head
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"))
        .count();
    hosts == 1 && head.target.starts_with('/')
}

async fn serve_request(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    caller: &mut CallerWriter<'_>,
) -> Result<(), CallerGone> {
    let admission = match admit_request(gateway, request) {
        Ok(admission) => admission,
        Err(refusal) => return refuse_early(gateway, request, caller, &refusal).await,
    };
    let Some(service) = pick_service(&admission, &request.terms) else {
        let refusal = Refusal::come_back(ResultCode::NoUpstream, spread(START_RETURN));
        return refuse_early(gateway, request, caller, &refusal).await;
    };
    let reservation = match reserve_budget(gateway, request, &admission, &service).await {
        Ok(reservation) => reservation,
        Err(refusal) => return refuse_early(gateway, request, caller, &refusal).await,
    };
    let mut run = RelayRun::new(gateway, request, &admission, service, reservation.as_ref());
    run.run(caller).await
}

fn admit_request(gateway: &Gateway, request: &CallerRequest) -> Result<Admission, Refusal> {
    let starting = gateway.stage.get() == VmStage::Starting;
    let config = match gateway.current_config() {
        Some(config) if !starting => config,
        _ => {
            let after = spread(START_RETURN);
            return Err(Refusal::come_back(ResultCode::ConfigMissing, after));
        }
    };
    let current = gateway.contact.get().is_current(gateway.now());
    admit(
        &config,
        &request.head,
        &request.terms,
        current,
        request.received,
    )
}

/// Reserves the greatest cost of a generation, where its workspace has a budget.
async fn reserve_budget(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    admission: &Admission,
    service: &str,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(workspace), Some(prompt)) = (&admission.workspace, &request.terms.prompt) else {
        return Ok(None);
    };
    let rule = admission.config.workspaces.get(workspace);
    if rule.is_none_or(|rule| rule.prepaid.is_none()) {
        return Ok(None);
    }
    let cost: TokenCount = prompt.greatest_cost();
    reserve(gateway, workspace, cost, admission, &request.terms).await?;
    let engine = admission
        .config
        .services
        .get(service)
        .and_then(|rule| rule.engine);
    let event_tokens = engine.map_or(u64::MAX, |engine| engine.event_tokens);
    Ok(Some(Reservation::new(
        gateway,
        workspace,
        &request.terms.attempt_id,
        prompt,
        event_tokens,
    )))
}

async fn refuse_early(
    gateway: &Gateway,
    request: &CallerRequest,
    caller: &mut CallerWriter<'_>,
    refusal: &Refusal,
) -> Result<(), CallerGone> {
    let waited: Instant = request.received;
    info!(gateway.log, "request refused"; "request" => &*request.terms.attempt_id,
        "code" => refusal.code.number(), "reason" => %refusal.code, "run" => %refusal.run,
        "config" => gateway.config_version(), "sends" => 0,
        "ms" => gateway.now().saturating_duration_since(waited).as_millis() as u64);
    refuse(gateway, caller, &request.terms, refusal).await
}
