//! The outcome of attempts and requests: statistics, retry decisions, and the response to a
//! request that no upstream answered.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_types::RequestRate;
use snipegate_types::ResultCode;
use snipegate_types::UpstreamId;

use super::Relay;
use super::SendOutcome;
use crate::attempt::SendFailure;
use crate::caller::CallerDisconnected;
use crate::caller::CallerWriter;
use crate::caller::ResponseState;
use crate::crash_probe::RunningProbe;
use crate::crash_probe::UnansweredRequest;
use crate::crash_probe::may_be_crash;
use crate::crash_probe::record_broken_request;
use crate::expectation::log_return_share;
use crate::feature_guard::record_answer_begun;
use crate::feature_guard::refuse_features;
use crate::local_response::jitter;
use crate::local_response::refuse;
use crate::local_response::strip_hop_by_hop_fields;
use crate::placement::PlacementChoice;
use crate::refusal::Refusal;
use crate::request_guards::LoadGuard;
use crate::upstream::UpstreamEntry;

/// `Retry-After` of a request that upstreams refused or that ran out of time unsent, and
/// the shortest one while upstreams back off.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `Retry-After` while a service has no upstream, and the longest one while upstreams back
/// off.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Number of events after which an upstream is known to answer a prompt without crashing.
const EVENTS_OF_SOUND_ANSWER: u64 = 2;

impl Relay<'_> {
    /// Records the time to the first byte of a response.
    pub(super) fn record_first_byte(
        &self,
        entry: &UpstreamEntry,
        choice: &PlacementChoice,
        load_guard: &LoadGuard,
    ) {
        load_guard.record_prefill_finished();
        let now = self.gateway.now();
        let elapsed = now.saturating_duration_since(load_guard.placed_at);
        let mut loads = self.gateway.loads.borrow_mut();
        loads.record_first_byte(&entry.id, choice.queued_tokens, elapsed, now);
        let change = loads.record_speed(entry, choice, elapsed, now);
        drop(loads);
        log_return_share(self.gateway, &entry.id, change, "own");
        self.gateway.metrics.record_timing("first_byte", elapsed);
    }

    /// Counts events of the attempt in progress. The second one proves that the upstream
    /// answers the prompt; the first may be what it crashes on.
    pub(super) fn record_attempt_events(&mut self, events: u64) {
        let before = self.attempt_events;
        self.attempt_events += events;
        if events > 0 {
            self.first_event_at.get_or_insert(self.gateway.now());
        }
        if let Some(at) = self.first_event_at
            && before < EVENTS_OF_SOUND_ANSWER
            && self.attempt_events >= EVENTS_OF_SOUND_ANSWER
        {
            self.record_sound_answer(at);
        }
    }

    /// Records that an upstream began to answer the request at `at`, and went on.
    pub(super) fn record_sound_answer(&self, at: Instant) {
        let id = &self.request.metadata.attempt_id;
        record_answer_begun(self.gateway, id, self.features.features, at);
    }

    /// Looks into a request that broke off. If its answer had not begun, it may have crashed
    /// the upstream, and the probe that tells is returned.
    pub(super) fn record_broken(
        &self,
        entry: &UpstreamEntry,
        outcome: &SendOutcome,
    ) -> Option<RunningProbe> {
        let SendOutcome::Broken(failure) = outcome else {
            return None;
        };
        if !may_be_crash(*failure) {
            return None;
        }
        let unanswered =
            (self.attempt_events < EVENTS_OF_SOUND_ANSWER).then_some(UnansweredRequest {
                digest: self.features.digest,
                features: self.features.features,
            });
        let probe = record_broken_request(self.gateway, entry, unanswered);
        unanswered.is_some().then_some(probe)
    }

    /// Returns the refusal of a request whose features crash upstreams.
    pub(super) fn refuse_crashing_features(&self) -> Option<Refusal> {
        if self.features.is_trial {
            return None;
        }
        let id = &self.request.metadata.attempt_id;
        let refusal = refuse_features(self.gateway, id, self.features.features)?;
        Some(match self.may_have_run {
            true => Refusal::may_have_run(ResultCode::UpstreamFailed),
            false => refusal,
        })
    }

    /// Records a completed request.
    pub(super) fn record_answered(&self, id: &UpstreamId, elapsed: Duration) {
        self.gateway.metrics.count("request.answered");
        self.gateway.metrics.record_timing("request.time", elapsed);
        info!(self.gateway.log, "request answered";
            "request" => &*self.request.metadata.attempt_id, "upstream" => %id,
            "sends" => self.sends, "ms" => elapsed.as_millis() as u64);
    }

    /// Records the outcome of an attempt, which later placements consider.
    pub(super) fn record_outcome(&self, id: &UpstreamId, outcome: &SendOutcome) {
        let (good, reason) = match outcome {
            SendOutcome::Answered => (Some(true), None),
            SendOutcome::Failed(head, _) => (Some(false), Some(format!("status_{}", head.status))),
            SendOutcome::NotRun => (Some(false), Some("not_run".to_owned())),
            // Not counted as a failure: the upstream gets no requests from this VM for a while,
            // but may still serve other VMs.
            SendOutcome::BackOff => (None, Some("back_off".to_owned())),
            SendOutcome::Broken(failure) => (Some(false), Some(failure.to_string())),
        };
        if let Some(good) = good {
            let now = self.gateway.now();
            let mut loads = self.gateway.loads.borrow_mut();
            loads.record_outcome(id, good, now);
            let change = (!good)
                .then(|| loads.judge_failures(&self.service, id, now))
                .flatten();
            drop(loads);
            log_return_share(self.gateway, id, change, "failures");
            self.gateway.gossip_notify.notify_one();
        }
        let Some(reason) = reason else {
            return;
        };
        if let (SendOutcome::NotRun | SendOutcome::BackOff, Some(reservation)) =
            (outcome, self.reservation)
            && !self.may_have_run
        {
            reservation.record_not_run();
        }
        self.gateway.metrics.count_tagged("send.failed", &reason);
        info!(self.gateway.log, "send failed"; "request" => &*self.request.metadata.attempt_id,
            "upstream" => %id, "reason" => reason, "sends" => self.sends,
            "events" => self.attempt_events);
    }

    /// Records a failed attempt if the deadline passed before its response began.
    pub(super) fn record_timeout(&self, caller: &CallerWriter<'_>) {
        if let Some(id) = &self.current
            && caller.state() == ResponseState::NotStarted
        {
            self.record_outcome(id, &SendOutcome::Broken(SendFailure::Silent));
        }
    }

    /// Decides whether to make another attempt; it is counted against the retry budget.
    pub(super) fn may_send_again(&self, caller: &CallerWriter<'_>) -> bool {
        let route = &self.admission.route;
        let response_begun = caller.state() != ResponseState::NotStarted;
        let allowed = match (self.may_have_run, response_begun) {
            (false, _) => true,
            (true, false) => route.retry_safety.is_retryable(),
            (true, true) => {
                route.retry_safety.is_retryable()
                    && route.retry_safety.is_stream()
                    && self.progress.last_event.is_some()
            }
        };
        if !allowed || self.sends >= route.max_attempts {
            return false;
        }
        let now = self.gateway.now();
        let vms = self.gateway.vm_count();
        let mut retry_budget = self.gateway.retry_budget.borrow_mut();
        let taken = self.sends == 0 || retry_budget.try_take_retry(&self.service, vms, now);
        let reason = if taken { "allowed" } else { "budget_spent" };
        self.gateway.metrics.count_tagged("send.again", reason);
        taken
    }

    /// Ends a request that no upstream answered successfully.
    ///
    /// If the response has begun, the connection closes. Otherwise the last error response of
    /// an upstream is forwarded, except for a status that promises that the request has not
    /// run, or the refusal is written.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or the connection has to close.
    pub(super) async fn finish_refused(
        &mut self,
        caller: &mut CallerWriter<'_>,
        refusal: Refusal,
    ) -> Result<(), CallerDisconnected> {
        if caller.state() != ResponseState::NotStarted {
            self.log_refusal("stream broken off", &refusal);
            caller.close = true;
            return Err(CallerDisconnected);
        }
        if let Some((head, body)) = self.fallback.take()
            && !matches!(head.status, 408 | 421 | 429 | 503)
        {
            self.gateway.metrics.count("request.failure_passed_on");
            return caller
                .write_response(strip_hop_by_hop_fields(&head), &body)
                .await;
        }
        self.log_refusal("request refused", &refusal);
        refuse(self.gateway, caller, &self.request.metadata, &refusal).await
    }

    /// Logs a refused request or an interrupted stream.
    pub(super) fn log_refusal(&self, event: &str, refusal: &Refusal) {
        info!(self.gateway.log, "{}", event; "request" => &*self.request.metadata.attempt_id,
            "code" => refusal.code.number(), "reason" => %refusal.code,
            "run" => %refusal.run, "sends" => self.sends,
            "config" => self.admission.config.version.0);
    }

    /// Returns the refusal of a request that is not retried any more.
    pub(super) fn final_refusal(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::may_have_run(ResultCode::UpstreamFailed),
            false => Refusal::retryable(ResultCode::UpstreamsFull, jitter(UNAVAILABLE_RETRY_AFTER)),
        }
    }

    /// Returns the refusal of a request that can be placed on no upstream.
    pub(super) fn no_upstream_refusal(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::may_have_run(ResultCode::UpstreamFailed),
            false => self.unavailable_refusal(),
        }
    }

    /// Returns the refusal of a request while no upstream of its service accepts one.
    ///
    /// The request is retryable: an upstream's back-off applies to this VM only, and sends to
    /// a rate-limited upstream may be allocated to other VMs. The caller's retry may reach
    /// another VM.
    fn unavailable_refusal(&self) -> Refusal {
        let now = self.gateway.now();
        let upstreams = self.gateway.upstreams.borrow();
        let mut rates = self.gateway.rates.borrow_mut();
        for entry in upstreams.ready(&self.service) {
            rates.reserve_for(entry, self.admission.priority, now);
        }
        let next_available = upstreams
            .ready(&self.service)
            .filter_map(|entry| rates.next_send_at(entry, now))
            .chain(upstreams.next_available(&self.service, now))
            .min();
        let Some(next_available) = next_available else {
            return Refusal::retryable(ResultCode::NoUpstream, jitter(NO_UPSTREAM_RETRY_AFTER));
        };
        let wait = match rates.total_limit(upstreams.ready(&self.service)) {
            Some(total) => self.scheduled_retry_after(total, next_available, now),
            None => {
                let wait = next_available.saturating_duration_since(now);
                jitter(wait.clamp(UNAVAILABLE_RETRY_AFTER, NO_UPSTREAM_RETRY_AFTER))
            }
        };
        Refusal::retryable(ResultCode::UpstreamsFull, wait)
    }

    /// Returns the caller's scheduled retry delay, where all upstreams of the service accept
    /// `total` together. Refusals are distributed over the VMs, so each VM schedules retries at
    /// its share of that rate.
    fn scheduled_retry_after(&self, total: RequestRate, first: Instant, now: Instant) -> Duration {
        let mut schedules = self.gateway.retry_schedules.borrow_mut();
        let schedule = schedules.entry(self.service.clone()).or_default();
        let rate = RequestRate(total.0 / self.gateway.vm_count() as f64);
        schedule.next(rate, first, now)
    }

    /// Returns the refusal of a request whose deadline passed.
    pub(super) fn timeout_refusal(&self) -> Refusal {
        match self.may_have_run || self.sends > 0 {
            true => Refusal::may_have_run(ResultCode::DeadlinePassed),
            false => Refusal::retryable(
                ResultCode::DeadlineUnmeetable,
                jitter(UNAVAILABLE_RETRY_AFTER),
            ),
        }
    }
}
