//! State machine that issues an order to an engine.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::IncarnationId;

use crate::order::FencingSupport;
use crate::order::FencingToken;
use crate::order::OrderAction;
use crate::order::OrderProgress;
use crate::order::OrderRecord;
use crate::order::RecordRevision;

/// Time limits of issuing orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimes {
    /// How long an order may be sent after the write of its record was started.
    pub validity: Duration,
    /// Maximum time from the check of an order's validity until it takes effect. Only
    /// used for engines that ignore fencing tokens.
    pub transit: Duration,
    /// How long to wait for an answer before querying the engine.
    pub answer_timeout: Duration,
}

impl Default for OrderTimes {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(10),
            transit: Duration::from_secs(60),
            answer_timeout: Duration::from_secs(5),
        }
    }
}

/// An input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The record read from the store, if one exists.
    RecordRead(Option<(OrderRecord, RecordRevision)>),
    /// The write succeeded.
    WriteSucceeded(RecordRevision),
    /// The write was rejected because the record has changed.
    WriteConflicted,
    /// The outcome of the write is unknown.
    WriteOutcomeUnknown,
    /// The engine applied the order.
    EngineApplied(FencingToken),
    /// The engine rejected the order because it has already applied a newer one.
    EngineFenced(FencingToken),
    /// The engine cannot apply the order.
    EngineRefused(FencingToken),
    /// The engine did not answer.
    EngineNoAnswer,
    /// The latest order that the engine reports as applied.
    EngineLastApplied(FencingToken),
    /// The incarnation is known to be dead.
    IssuerDead(IncarnationId),
    /// Time has passed.
    Tick,
}

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// Read the record.
    Read,
    /// Write the record if it still has the expected revision.
    Write {
        /// The expected revision; `None` if no record may exist.
        expected: Option<RecordRevision>,
        /// The new record.
        record: OrderRecord,
    },
    /// Send the order immediately or not at all.
    Send {
        /// The fencing token.
        fencing: FencingToken,
        /// The requested action.
        action: OrderAction,
    },
    /// Ask the engine for the latest order that it applied.
    QueryEngine,
    /// The state machine has finished.
    Finish(OrderResult),
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine applied the order.
    Applied,
    /// The engine cannot apply the order.
    Refused,
    /// An order of another issuer replaced this one.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderPhase {
    Reading,
    /// The record with the intent is being written.
    WritingIntent {
        record: OrderRecord,
        started_at: Instant,
    },
    /// An order of another issuer may still reach the engine.
    AwaitingPrevious {
        previous: OrderRecord,
        revision: RecordRevision,
        until: Instant,
        queried_at: Instant,
    },
    /// The record is durable and the order was sent.
    Sent {
        record: OrderRecord,
        revision: RecordRevision,
        valid_until: Instant,
        queried_at: Instant,
    },
    /// The record with the result is being written.
    WritingResult {
        result: OrderResult,
    },
    Finished,
}

/// State machine that issues one order to one upstream.
///
/// An order is sent only after a record of the intent, with a new fencing token, is
/// stored as the upstream's record, and only for a limited time. An engine that honours
/// fencing tokens rejects late orders. For an engine that ignores them, each recorded
/// order is sent at most once, and the next record is written only after the engine has
/// applied the previous order or that order can no longer arrive.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    action: OrderAction,
    issuer: IncarnationId,
    support: FencingSupport,
    times: OrderTimes,
    /// The latest fencing token that this state machine wrote.
    last_written: Option<FencingToken>,
    phase: OrderPhase,
}

impl OrderPlan {
    /// Starts an order and returns the first effect to perform.
    pub fn new(
        action: OrderAction,
        issuer: IncarnationId,
        support: FencingSupport,
        times: OrderTimes,
    ) -> (Self, OrderEffect) {
        let plan = Self {
            action,
            issuer,
            support,
            times,
            last_written: None,
            phase: OrderPhase::Reading,
        };
        (plan, OrderEffect::Read)
    }

    /// Returns whether the order has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == OrderPhase::Finished
    }

    /// Handles an event and returns the effects to perform, in order.
    pub fn step(&mut self, event: OrderEvent, now: Instant) -> Vec<OrderEffect> {
        match self.phase.clone() {
            OrderPhase::Reading => match event {
                OrderEvent::RecordRead(stored) => self.record_read(stored, now),
                _ => Vec::new(),
            },
            OrderPhase::WritingIntent { record, started_at } => {
                self.writing_intent(record, started_at, event, now)
            }
            OrderPhase::AwaitingPrevious {
                previous,
                revision,
                until,
                queried_at,
            } => self.awaiting_previous(&previous, revision, until, queried_at, event, now),
            OrderPhase::Sent {
                record,
                revision,
                valid_until,
                queried_at,
            } => self.sent(record, revision, (valid_until, queried_at), event, now),
            OrderPhase::WritingResult { result } => self.writing_result(result, &event),
            OrderPhase::Finished => Vec::new(),
        }
    }

    fn record_read(
        &mut self,
        stored: Option<(OrderRecord, RecordRevision)>,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let Some((previous, revision)) = stored else {
            return self.write_intent(FencingToken::default(), None, now);
        };
        let pending = previous.progress == OrderProgress::Intended;
        // The record is read again only if the order in it was not sent or can no longer
        // arrive.
        let own = previous.giver == self.issuer && Some(previous.fencing) == self.last_written;
        if !pending || own || self.support == FencingSupport::Honoured {
            return self.write_intent(previous.fencing, Some(revision), now);
        }
        self.phase = OrderPhase::AwaitingPrevious {
            previous,
            revision,
            until: now + self.times.validity + self.times.transit,
            queried_at: now,
        };
        vec![OrderEffect::QueryEngine]
    }

    fn write_intent(
        &mut self,
        last: FencingToken,
        expected: Option<RecordRevision>,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let record = OrderRecord {
            fencing: last.next(),
            action: self.action.clone(),
            giver: self.issuer.clone(),
            progress: OrderProgress::Intended,
        };
        self.last_written = Some(record.fencing);
        self.phase = OrderPhase::WritingIntent {
            record: record.clone(),
            started_at: now,
        };
        vec![OrderEffect::Write { expected, record }]
    }

    fn read_again(&mut self) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Reading;
        vec![OrderEffect::Read]
    }

    fn writing_intent(
        &mut self,
        record: OrderRecord,
        started_at: Instant,
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        match event {
            OrderEvent::WriteSucceeded(revision) => {
                let valid_until = started_at + self.times.validity;
                self.send(record, revision, valid_until, now)
            }
            OrderEvent::WriteConflicted | OrderEvent::WriteOutcomeUnknown => self.read_again(),
            _ => Vec::new(),
        }
    }

    /// Sends the order unless its validity has expired, for example because this process
    /// was paused. In that case the record is read again so that the order gets a new
    /// fencing token.
    fn send(
        &mut self,
        record: OrderRecord,
        revision: RecordRevision,
        valid_until: Instant,
        now: Instant,
    ) -> Vec<OrderEffect> {
        if now >= valid_until {
            return self.read_again();
        }
        let effect = OrderEffect::Send {
            fencing: record.fencing,
            action: record.action.clone(),
        };
        self.phase = OrderPhase::Sent {
            record,
            revision,
            valid_until,
            queried_at: now,
        };
        vec![effect]
    }

    fn awaiting_previous(
        &mut self,
        previous: &OrderRecord,
        revision: RecordRevision,
        until: Instant,
        queried_at: Instant,
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let confirmed =
            matches!(event, OrderEvent::EngineLastApplied(last) if last >= previous.fencing);
        if confirmed || now >= until {
            return self.write_intent(previous.fencing, Some(revision), now);
        }
        // A dead issuer sends nothing more, but orders that it sent before may still
        // arrive.
        let until = match event {
            OrderEvent::IssuerDead(dead) if dead == previous.giver => {
                until.min(now + self.times.transit)
            }
            _ => until,
        };
        let due = now >= queried_at + self.times.answer_timeout;
        self.phase = OrderPhase::AwaitingPrevious {
            previous: previous.clone(),
            revision,
            until,
            queried_at: if due { now } else { queried_at },
        };
        match due {
            true => vec![OrderEffect::QueryEngine],
            false => Vec::new(),
        }
    }

    fn sent(
        &mut self,
        record: OrderRecord,
        revision: RecordRevision,
        (valid_until, queried_at): (Instant, Instant),
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let own = record.fencing;
        match event {
            OrderEvent::EngineApplied(fencing) if fencing == own => {
                self.write_result(record, revision, OrderResult::Applied)
            }
            OrderEvent::EngineRefused(fencing) if fencing == own => {
                self.write_result(record, revision, OrderResult::Refused)
            }
            OrderEvent::EngineFenced(fencing) if fencing == own => {
                self.finish(OrderResult::Superseded)
            }
            OrderEvent::EngineLastApplied(last) if last == own => {
                self.write_result(record, revision, OrderResult::Applied)
            }
            OrderEvent::EngineLastApplied(last) if last > own => {
                self.finish(OrderResult::Superseded)
            }
            OrderEvent::EngineLastApplied(_) if self.support == FencingSupport::Honoured => {
                self.send(record, revision, valid_until, now)
            }
            _ if now >= valid_until + self.times.transit => self.read_again(),
            OrderEvent::EngineNoAnswer => vec![OrderEffect::QueryEngine],
            OrderEvent::Tick if now >= queried_at + self.times.answer_timeout => {
                self.phase = OrderPhase::Sent {
                    record,
                    revision,
                    valid_until,
                    queried_at: now,
                };
                vec![OrderEffect::QueryEngine]
            }
            _ => Vec::new(),
        }
    }

    fn write_result(
        &mut self,
        record: OrderRecord,
        revision: RecordRevision,
        result: OrderResult,
    ) -> Vec<OrderEffect> {
        self.phase = OrderPhase::WritingResult { result };
        let progress = match result {
            OrderResult::Applied => OrderProgress::Confirmed,
            OrderResult::Refused | OrderResult::Superseded => OrderProgress::Refused,
        };
        vec![OrderEffect::Write {
            expected: Some(revision),
            record: OrderRecord { progress, ..record },
        }]
    }

    fn writing_result(&mut self, result: OrderResult, event: &OrderEvent) -> Vec<OrderEffect> {
        match event {
            OrderEvent::WriteSucceeded(_) => self.finish(result),
            OrderEvent::WriteConflicted => self.finish(OrderResult::Superseded),
            // The engine has answered, so the next issuer can learn the result by
            // querying it.
            OrderEvent::WriteOutcomeUnknown => self.finish(result),
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, result: OrderResult) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Finished;
        vec![OrderEffect::Finish(result)]
    }
}
