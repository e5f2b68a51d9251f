//! Relays an admitted request to upstreams and the response back to the caller.

mod choice;
mod outcome;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_types::RequestDigest;
use snipegate_types::UpstreamId;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::admission::Admission;
use crate::attempt::OutgoingRequest;
use crate::attempt::SendFailure;
use crate::attempt::UpstreamResponse;
use crate::attempt::send_request;
use crate::caller::CallerDisconnected;
use crate::caller::CallerWriter;
use crate::caller::ResponseState;
use crate::config::ServiceName;
use crate::event_stream::EventSplitter;
use crate::gateway::Gateway;
use crate::local_response::strip_hop_by_hop_fields;
use crate::metadata::RequestMetadata;
use crate::placement::PlacementChoice;
use crate::refusal::Refusal;
use crate::request_feature::RequestFeature;
use crate::request_guards::LoadGuard;
use crate::request_guards::Reservation;
use crate::response_memory::MemoryReservation;
use crate::response_memory::ResponseOwner;
use crate::upstream::UpstreamEntry;
use crate::wire_format::ForwardMetadata;

/// Number of failed connections after which the next attempt follows at once, as nothing was
/// sent. After further ones the usual retry decision is made.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Fraction of the time left that an attempt waits for the response head, if another
/// upstream could be tried after it.
const RETRYABLE_WAIT_FRACTION: f64 = 0.45;

/// Status of a response that continues a stream.
const RESUMED_STATUS: u16 = 200;

/// Class of the least urgent generations.
const LEAST_URGENT_CLASS: u8 = 9;

/// Events that a stream may have beyond one for each token of the maximum output, such as an
/// end marker.
const EXTRA_EVENTS: u64 = 16;

/// Largest body of an error response, in bytes, that is kept while another upstream is tried.
const MAX_FALLBACK_BODY: usize = 64 << 10;

/// A request that was read completely.
pub struct CallerRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// The metadata decoded from the head.
    pub metadata: RequestMetadata,
    /// When reading ended.
    pub received: Instant,
}

/// What of a request may crash upstreams.
#[derive(Clone, Copy, Debug)]
pub struct RelayFeatures<'a> {
    /// The whole request.
    pub digest: RequestDigest,
    /// Its features.
    pub features: &'a [RequestFeature],
    /// Whether it may be sent though some of them are quarantined.
    pub is_trial: bool,
}

/// The outcome of one attempt.
enum SendOutcome {
    /// The complete response was written to the caller.
    Answered,
    /// The upstream returned an error response, which can be forwarded.
    Failed(ResponseHead, Bytes),
    /// The upstream states that the request has not run.
    NotRun,
    /// The same, and the upstream asks this VM to back off.
    BackOff,
    /// No complete, acceptable response came.
    Broken(SendFailure),
}

/// Progress of a stream that may be resumed at another upstream.
#[derive(Default)]
struct StreamProgress {
    /// Events that were received, over all attempts.
    events: u64,
    /// Id of the last event that was forwarded.
    last_event: Option<Box<str>>,
}

/// The state of relaying one request.
pub struct Relay<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a CallerRequest,
    admission: &'a Admission,
    service: ServiceName,
    features: RelayFeatures<'a>,
    reservation: Option<&'a Reservation>,
    tried: Vec<UpstreamId>,
    /// The upstream of the attempt in progress.
    current: Option<UpstreamId>,
    sends: u32,
    connect_failures: u32,
    /// Events received in the attempt in progress.
    attempt_events: u64,
    /// When the first event of the attempt in progress was received.
    first_event_at: Option<Instant>,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    progress: StreamProgress,
    /// The last error response, forwarded if no attempt succeeds.
    fallback: Option<(ResponseHead, Bytes)>,
}

impl<'a> Relay<'a> {
    /// Prepares to relay a request to a service.
    pub fn new(
        gateway: &'a Rc<Gateway>,
        request: &'a CallerRequest,
        admission: &'a Admission,
        service: ServiceName,
        features: RelayFeatures<'a>,
        reservation: Option<&'a Reservation>,
    ) -> Self {
        Self {
            gateway,
            request,
            admission,
            service,
            features,
            reservation,
            tried: Vec::new(),
            current: None,
            sends: 0,
            connect_failures: 0,
            attempt_events: 0,
            first_event_at: None,
            may_have_run: false,
            progress: StreamProgress::default(),
            fallback: None,
        }
    }

    /// Relays the request until the caller has a final response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected, or if a response that was begun can't be completed.
    pub async fn run(&mut self, caller: &mut CallerWriter<'_>) -> Result<(), CallerDisconnected> {
        let now = self.gateway.now();
        self.gateway
            .retry_budget
            .borrow_mut()
            .count_request(&self.service, now);
        let deadline = tokio::time::Instant::from_std(self.admission.deadline);
        let gateway = self.gateway;
        let outcome = tokio::select! {
            biased;
            outcome = timeout_at(deadline, self.try_upstreams(caller)) => outcome.ok(),
            () = gateway.wait_for_drain_end() => None,
        };
        let outcome = match outcome {
            Some(outcome) => outcome?,
            None => {
                self.record_timeout(caller);
                Some(self.timeout_refusal())
            }
        };
        match outcome {
            None => Ok(()),
            Some(refusal) => self.finish_refused(caller, refusal).await,
        }
    }

    /// Tries upstreams until a response is complete; returns the refusal if none can be had.
    async fn try_upstreams(
        &mut self,
        caller: &mut CallerWriter<'_>,
    ) -> Result<Option<Refusal>, CallerDisconnected> {
        loop {
            if let Some(refusal) = self.refuse_crashing_features() {
                return Ok(Some(refusal));
            }
            let Some((entry, choice)) = self.choose() else {
                return Ok(Some(self.no_upstream_refusal()));
            };
            self.log_choice(&entry, &choice);
            self.current = Some(entry.id.clone());
            self.attempt_events = 0;
            self.first_event_at = None;
            self.drop_large_fallback();
            let outcome = self.send_once(caller, &entry, &choice).await?;
            self.current = None;
            self.record_outcome(&entry.id, &outcome);
            let probe = self.record_broken(&entry, &outcome);
            self.tried.push(entry.id.clone());
            match outcome {
                SendOutcome::Answered => return Ok(None),
                SendOutcome::Failed(head, body) => {
                    self.may_have_run = true;
                    self.fallback = Some((head, body));
                }
                SendOutcome::NotRun | SendOutcome::BackOff => {}
                SendOutcome::Broken(failure) if failure.is_unsent() => {
                    self.connect_failures += 1;
                    if self.connect_failures <= MAX_CONNECT_FAILURES {
                        continue;
                    }
                }
                SendOutcome::Broken(_) => self.may_have_run = true,
            }
            if !self.may_send_again(caller) {
                return Ok(Some(self.final_refusal()));
            }
            if let Some(probe) = probe {
                // The request may have crashed the upstream, and would crash the next one.
                probe.wait().await;
            }
        }
    }

    /// Drops a large error response before the next attempt, which would otherwise be kept for
    /// as long as that lasts.
    fn drop_large_fallback(&mut self) {
        let is_large = |(_, body): &(ResponseHead, Bytes)| body.len() > MAX_FALLBACK_BODY;
        if self.fallback.as_ref().is_some_and(is_large) {
            self.fallback = None;
        }
    }

    /// Makes one attempt at an upstream and relays the response.
    async fn send_once(
        &mut self,
        caller: &mut CallerWriter<'_>,
        entry: &UpstreamEntry,
        choice: &PlacementChoice,
    ) -> Result<SendOutcome, CallerDisconnected> {
        let load_guard = LoadGuard::new(
            self.gateway,
            entry,
            choice,
            self.request.metadata.prompt.as_ref(),
        );
        let response = match self.await_head(entry).await {
            Ok(response) => response,
            Err(failure) => return Ok(SendOutcome::Broken(failure)),
        };
        if response.metadata.not_run {
            let backs_off = response.metadata.back_off.is_some();
            response.discard_refusal(self.gateway, &entry.id).await;
            return Ok(match backs_off {
                true => SendOutcome::BackOff,
                false => SendOutcome::NotRun,
            });
        }
        let has_begun = caller.state() != ResponseState::NotStarted;
        if has_begun && response.head.status != RESUMED_STATUS {
            // The caller is within a stream, in which only events may follow.
            return Ok(SendOutcome::Broken(SendFailure::Malformed));
        }
        if response.head.is_success() && !response.metadata.signed {
            // Whatever follows, it is no response of the upstream.
            return Ok(SendOutcome::Broken(SendFailure::Malformed));
        }
        if self.admission.route.retry_safety.is_stream() && response.head.is_success() {
            return self
                .relay_stream(caller, entry, choice, &load_guard, response)
                .await;
        }
        self.relay_buffered(caller, entry, &load_guard, response)
            .await
    }

    /// Sends the request and waits for the response head; times out early if a retry is possible.
    async fn await_head(&mut self, entry: &UpstreamEntry) -> Result<UpstreamResponse, SendFailure> {
        let now = self.gateway.now();
        let time_left = self.admission.deadline.saturating_duration_since(now);
        let retry_safety = self.admission.route.retry_safety;
        let metadata = ForwardMetadata {
            upstream: &entry.id,
            workspace: self.admission.workspace.as_ref(),
            time_left,
            urgency: self.urgency(),
            resume_after: self.progress.last_event.as_deref(),
            body_length: self.request.body.len(),
        };
        let outgoing = OutgoingRequest {
            head: &self.request.head,
            metadata: &self.request.metadata,
            body: &self.request.body,
            is_retryable: retry_safety.is_retryable(),
        };
        let another =
            retry_safety.is_retryable() && self.sends + 1 < self.admission.route.max_attempts;
        let reservation = self.reservation;
        let sends = &mut self.sends;
        let before_send = || {
            *sends += 1;
            if let Some(reservation) = reservation {
                reservation.record_sent();
            }
        };
        let send = send_request(self.gateway, entry, &outgoing, &metadata, before_send);
        if !another {
            return send.await;
        }
        timeout(time_left.mul_f64(RETRYABLE_WAIT_FRACTION), send)
            .await
            .unwrap_or(Err(SendFailure::Silent))
    }

    /// Buffers the response and forwards it when it is complete.
    async fn relay_buffered(
        &mut self,
        caller: &mut CallerWriter<'_>,
        entry: &UpstreamEntry,
        load_guard: &LoadGuard,
        mut response: UpstreamResponse,
    ) -> Result<SendOutcome, CallerDisconnected> {
        let mut memory = self.reserve_memory(entry);
        let body = match response.read_body(&mut memory).await {
            Ok(body) => body,
            Err(failure) => return Ok(SendOutcome::Broken(failure)),
        };
        let head = response.head.clone();
        let is_framed = !response.ends_with_connection();
        response.release(self.gateway, &entry.id);
        if head.status >= 500 || matches!(head.status, 408 | 421 | 429) {
            return Ok(SendOutcome::Failed(head, body));
        }
        if let Some(reservation) = self.reservation {
            reservation.record_unmeasured_output();
        }
        let now = self.gateway.now();
        let elapsed = now.saturating_duration_since(load_guard.placed_at);
        if self.request.metadata.prompt.is_none() {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.record_service_time(&entry.id, elapsed, now);
        }
        if head.is_success() && is_framed {
            self.record_sound_answer(now);
        }
        let write = caller.write_response(strip_hop_by_hop_fields(&head), &body);
        unless_displaced(&memory, write).await?;
        self.record_answered(&entry.id, elapsed);
        Ok(SendOutcome::Answered)
    }

    /// Forwards the response event by event.
    async fn relay_stream(
        &mut self,
        caller: &mut CallerWriter<'_>,
        entry: &UpstreamEntry,
        choice: &PlacementChoice,
        load_guard: &LoadGuard,
        mut response: UpstreamResponse,
    ) -> Result<SendOutcome, CallerDisconnected> {
        let mut memory = self.reserve_memory(entry);
        let mut splitter = EventSplitter::default();
        let mut is_first_part = true;
        loop {
            let part = match response.read_part_into(&mut memory).await {
                Ok(Some(part)) => part,
                Ok(None) if splitter.has_partial() => {
                    return Ok(SendOutcome::Broken(SendFailure::Malformed));
                }
                // A crash before the first event looks like the end of an empty stream.
                Ok(None) if response.ends_with_connection() && self.attempt_events == 0 => {
                    return Ok(SendOutcome::Broken(SendFailure::Closed));
                }
                Ok(None) => break,
                Err(failure) => return Ok(SendOutcome::Broken(failure)),
            };
            if is_first_part {
                is_first_part = false;
                self.record_first_byte(entry, choice, load_guard);
            }
            if splitter.exceeds_limit() {
                return Ok(SendOutcome::Broken(SendFailure::TooLarge));
            }
            let Some(batch) = splitter.push(&part) else {
                continue;
            };
            self.progress.events += batch.events;
            self.record_attempt_events(batch.events);
            if self.progress.events > self.max_events() {
                return Ok(SendOutcome::Broken(SendFailure::Malformed));
            }
            if let Some(reservation) = self.reservation {
                reservation.record_events(batch.events);
            }
            match caller.state() {
                ResponseState::NotStarted => {
                    let head = strip_hop_by_hop_fields(&response.head);
                    let write = caller.begin_stream(head, &batch.bytes);
                    unless_displaced(&memory, write).await?;
                }
                _ => unless_displaced(&memory, caller.write_chunk(&batch.bytes)).await?,
            }
            memory.clear();
            if batch.last_id.is_some() {
                self.progress.last_event = batch.last_id;
            }
        }
        if caller.state() == ResponseState::NotStarted {
            let head = strip_hop_by_hop_fields(&response.head);
            caller.begin_stream(head, &[]).await?;
        }
        caller.finish_stream().await?;
        let now = self.gateway.now();
        // A connection may also end because of a crash.
        if !response.ends_with_connection() {
            self.record_sound_answer(self.first_event_at.unwrap_or(now));
        }
        response.release(self.gateway, &entry.id);
        let elapsed = now.saturating_duration_since(load_guard.placed_at);
        let route = &self.admission.route.prefix;
        let mut durations = self.gateway.stream_durations.borrow_mut();
        durations.record(route, elapsed, now);
        drop(durations);
        self.record_answered(&entry.id, elapsed);
        Ok(SendOutcome::Answered)
    }

    /// Reserves memory for a response of an upstream.
    fn reserve_memory(&self, entry: &UpstreamEntry) -> MemoryReservation {
        let owner = ResponseOwner {
            upstream: entry.id.clone(),
            service: entry.service.clone(),
            workspace: self.admission.workspace.clone(),
        };
        MemoryReservation::new(self.gateway, owner)
    }

    /// Returns the maximum number of events in a stream. Each carries at least one token, except
    /// for the extra ones.
    fn max_events(&self) -> u64 {
        let prompt = self.request.metadata.prompt.as_ref();
        prompt.map_or(u64::MAX, |prompt| {
            prompt.max_output.0.saturating_add(EXTRA_EVENTS)
        })
    }

    /// Returns the urgency class that is sent to the engine; `None` if the request is not a
    /// generation.
    fn urgency(&self) -> Option<u8> {
        let generation = self.request.metadata.prompt.is_some();
        generation.then(|| {
            self.admission
                .priority
                .saturating_mul(2)
                .min(LEAST_URGENT_CLASS)
        })
    }
}

/// Writes to the caller, unless the memory that the write holds is needed for others: a caller
/// that does not read ends without a complete response then.
async fn unless_displaced<T>(
    memory: &MemoryReservation,
    write: impl Future<Output = Result<T, CallerDisconnected>>,
) -> Result<T, CallerDisconnected> {
    tokio::select! {
        biased;
        result = write => result,
        () = memory.displaced() => Err(CallerDisconnected),
    }
}
