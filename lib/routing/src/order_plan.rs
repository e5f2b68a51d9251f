//! State machine that issues an order to an engine.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::IncarnationId;

use crate::order::FencingNumber;
use crate::order::FencingSupport;
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
    Written(RecordRevision),
    /// The write was rejected because the record has changed.
    WriteConflicted,
    /// The outcome of the write is unknown.
    WriteLost,
    /// The engine applied the order.
    EngineDone(FencingNumber),
    /// The engine rejected the order because it has already applied a newer one.
    EngineFenced(FencingNumber),
    /// The engine cannot apply the order.
    EngineRefused(FencingNumber),
    /// The engine did not answer.
    EngineUnknown,
    /// The latest order that the engine reports as applied.
    EngineState(FencingNumber),
    /// The incarnation is known to be dead.
    GiverDead(IncarnationId),
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
        fencing: FencingNumber,
        /// The requested action.
        action: OrderAction,
    },
    /// Ask the engine for the latest order that it applied.
    AskEngine,
    /// The state machine has finished.
    Finish(OrderResult),
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine applied the order.
    Done,
    /// The engine cannot apply the order.
    Refused,
    /// An order of another issuer replaced this one.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderPhase {
    Reading,
    /// The record with the intent is being written.
    Writing {
        record: OrderRecord,
        begun: Instant,
    },
    /// An order of another issuer may still reach the engine.
    WaitingOut {
        previous: OrderRecord,
        revision: RecordRevision,
        until: Instant,
        asked: Instant,
    },
    /// The record is durable and the order was sent.
    Sent {
        record: OrderRecord,
        revision: RecordRevision,
        send_before: Instant,
        asked: Instant,
    },
    /// The record with the result is being written.
    Concluding {
        result: OrderResult,
    },
    Ended,
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
    giver: IncarnationId,
    support: FencingSupport,
    times: OrderTimes,
    /// The latest fencing token that this state machine wrote.
    written: Option<FencingNumber>,
    phase: OrderPhase,
}

impl OrderPlan {
    /// Starts an order and returns the first effect to perform.
    pub fn new(
        action: OrderAction,
        giver: IncarnationId,
        support: FencingSupport,
        times: OrderTimes,
    ) -> (Self, OrderEffect) {
        let plan = Self {
            action,
            giver,
            support,
            times,
            written: None,
            phase: OrderPhase::Reading,
        };
        (plan, OrderEffect::Read)
    }

    /// Returns whether the order has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == OrderPhase::Ended
    }

    /// Handles an event and returns the effects to perform, in order.
    pub fn step(&mut self, event: OrderEvent, now: Instant) -> Vec<OrderEffect> {
        match self.phase.clone() {
            OrderPhase::Reading => match event {
                OrderEvent::RecordRead(stored) => self.record_read(stored, now),
                _ => Vec::new(),
            },
            OrderPhase::Writing { record, begun } => self.writing(record, begun, event, now),
            OrderPhase::WaitingOut {
                previous,
                revision,
                until,
                asked,
            } => self.waiting_out(&previous, revision, until, asked, event, now),
            OrderPhase::Sent {
                record,
                revision,
                send_before,
                asked,
            } => self.sent(record, revision, (send_before, asked), event, now),
            OrderPhase::Concluding { result } => self.concluding(result, &event),
            OrderPhase::Ended => Vec::new(),
        }
    }

    fn record_read(
        &mut self,
        stored: Option<(OrderRecord, RecordRevision)>,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let Some((previous, revision)) = stored else {
            return self.write(FencingNumber::default(), None, now);
        };
        let open = previous.progress == OrderProgress::Intended;
        // The record is read again only if the order in it was not sent or can no longer
        // arrive.
        let own = previous.giver == self.giver && Some(previous.fencing) == self.written;
        if !open || own || self.support == FencingSupport::Honoured {
            return self.write(previous.fencing, Some(revision), now);
        }
        self.phase = OrderPhase::WaitingOut {
            previous,
            revision,
            until: now + self.times.validity + self.times.transit,
            asked: now,
        };
        vec![OrderEffect::AskEngine]
    }

    fn write(
        &mut self,
        last: FencingNumber,
        expected: Option<RecordRevision>,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let record = OrderRecord {
            fencing: last.next(),
            action: self.action.clone(),
            giver: self.giver.clone(),
            progress: OrderProgress::Intended,
        };
        self.written = Some(record.fencing);
        self.phase = OrderPhase::Writing {
            record: record.clone(),
            begun: now,
        };
        vec![OrderEffect::Write { expected, record }]
    }

    fn read_again(&mut self) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Reading;
        vec![OrderEffect::Read]
    }

    fn writing(
        &mut self,
        record: OrderRecord,
        begun: Instant,
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        match event {
            OrderEvent::Written(revision) => {
                let send_before = begun + self.times.validity;
                self.send(record, revision, send_before, now)
            }
            OrderEvent::WriteConflicted | OrderEvent::WriteLost => self.read_again(),
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
        send_before: Instant,
        now: Instant,
    ) -> Vec<OrderEffect> {
        if now >= send_before {
            return self.read_again();
        }
        let effect = OrderEffect::Send {
            fencing: record.fencing,
            action: record.action.clone(),
        };
        self.phase = OrderPhase::Sent {
            record,
            revision,
            send_before,
            asked: now,
        };
        vec![effect]
    }

    fn waiting_out(
        &mut self,
        previous: &OrderRecord,
        revision: RecordRevision,
        until: Instant,
        asked: Instant,
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let confirmed = matches!(event, OrderEvent::EngineState(last) if last >= previous.fencing);
        if confirmed || now >= until {
            return self.write(previous.fencing, Some(revision), now);
        }
        // A dead issuer sends nothing more, but orders that it sent before may still
        // arrive.
        let until = match event {
            OrderEvent::GiverDead(dead) if dead == previous.giver => {
                until.min(now + self.times.transit)
            }
            _ => until,
        };
        let due = now >= asked + self.times.answer_timeout;
        self.phase = OrderPhase::WaitingOut {
            previous: previous.clone(),
            revision,
            until,
            asked: if due { now } else { asked },
        };
        match due {
            true => vec![OrderEffect::AskEngine],
            false => Vec::new(),
        }
    }

    fn sent(
        &mut self,
        record: OrderRecord,
        revision: RecordRevision,
        (send_before, asked): (Instant, Instant),
        event: OrderEvent,
        now: Instant,
    ) -> Vec<OrderEffect> {
        let own = record.fencing;
        match event {
            OrderEvent::EngineDone(fencing) if fencing == own => {
                self.conclude(record, revision, OrderResult::Done)
            }
            OrderEvent::EngineRefused(fencing) if fencing == own => {
                self.conclude(record, revision, OrderResult::Refused)
            }
            OrderEvent::EngineFenced(fencing) if fencing == own => {
                self.finish(OrderResult::Superseded)
            }
            OrderEvent::EngineState(last) if last == own => {
                self.conclude(record, revision, OrderResult::Done)
            }
            OrderEvent::EngineState(last) if last > own => self.finish(OrderResult::Superseded),
            OrderEvent::EngineState(_) if self.support == FencingSupport::Honoured => {
                self.send(record, revision, send_before, now)
            }
            _ if now >= send_before + self.times.transit => self.read_again(),
            OrderEvent::EngineUnknown => vec![OrderEffect::AskEngine],
            OrderEvent::Tick if now >= asked + self.times.answer_timeout => {
                self.phase = OrderPhase::Sent {
                    record,
                    revision,
                    send_before,
                    asked: now,
                };
                vec![OrderEffect::AskEngine]
            }
            _ => Vec::new(),
        }
    }

    fn conclude(
        &mut self,
        record: OrderRecord,
        revision: RecordRevision,
        result: OrderResult,
    ) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Concluding { result };
        let progress = match result {
            OrderResult::Done => OrderProgress::Confirmed,
            OrderResult::Refused | OrderResult::Superseded => OrderProgress::Refused,
        };
        vec![OrderEffect::Write {
            expected: Some(revision),
            record: OrderRecord { progress, ..record },
        }]
    }

    fn concluding(&mut self, result: OrderResult, event: &OrderEvent) -> Vec<OrderEffect> {
        match event {
            OrderEvent::Written(_) => self.finish(result),
            OrderEvent::WriteConflicted => self.finish(OrderResult::Superseded),
            // The engine has answered, so the next issuer can learn the result by
            // querying it.
            OrderEvent::WriteLost => self.finish(result),
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, result: OrderResult) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Ended;
        vec![OrderEffect::Finish(result)]
    }
}
