//! The decisions of giving an engine an order.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::IncarnationId;

use crate::order::FencingNumber;
use crate::order::FencingSupport;
use crate::order::OrderAction;
use crate::order::OrderProgress;
use crate::order::OrderRecord;
use crate::order::RecordRevision;

/// Times of giving orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimes {
    /// How long after its record was begun an order may still be sent.
    pub validity: Duration,
    /// Longest time that an order can take from the check of its validity to
    /// its effect; matters only where the engine ignores fencing.
    pub transit: Duration,
    /// When to ask an engine that did not answer.
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

/// What the giver of an order learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The record as the store holds it.
    RecordRead(Option<(OrderRecord, RecordRevision)>),
    /// The write took effect.
    Written(RecordRevision),
    /// The write was refused since the record has changed.
    WriteConflicted,
    /// The write may or may not have taken effect.
    WriteLost,
    /// The engine carried the order out.
    EngineDone(FencingNumber),
    /// The engine carried out a newer order before.
    EngineFenced(FencingNumber),
    /// The engine cannot carry the order out.
    EngineRefused(FencingNumber),
    /// No answer came from the engine.
    EngineUnknown,
    /// The last order that the engine says it carried out.
    EngineState(FencingNumber),
    /// An incarnation is proven dead.
    GiverDead(IncarnationId),
    /// Time has passed.
    Tick,
}

/// What the giver of an order has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// Read the record.
    Read,
    /// Write the record if its revision is as expected.
    Write {
        /// The revision expected; `None` where no record may exist.
        expected: Option<RecordRevision>,
        /// What to write.
        record: OrderRecord,
    },
    /// Send the order at once, or not at all.
    Send {
        /// Its fencing number.
        fencing: FencingNumber,
        /// What it asks.
        action: OrderAction,
    },
    /// Ask the engine for the last order that it carried out.
    AskEngine,
    /// The order has ended.
    Finish(OrderResult),
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried it out and the record says so.
    Done,
    /// The engine cannot carry it out.
    Refused,
    /// Another giver's order took its place.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderPhase {
    Reading,
    /// The intent is being written.
    Writing {
        record: OrderRecord,
        begun: Instant,
    },
    /// Another giver's order may still arrive at the engine.
    WaitingOut {
        previous: OrderRecord,
        revision: RecordRevision,
        until: Instant,
        asked: Instant,
    },
    /// The intent is durable and the order was sent.
    Sent {
        record: OrderRecord,
        revision: RecordRevision,
        send_before: Instant,
        asked: Instant,
    },
    /// The result is being written.
    Concluding {
        result: OrderResult,
    },
    Ended,
}

/// Gives one order to one upstream.
///
/// An order is sent only after its intent, with a new fencing number, is the
/// upstream's record in the store, and only for a limited time. An engine that
/// honours fencing drops orders that come late. For one that ignores it, each
/// intent is sent once, and the next one is written only when the engine has
/// carried that sending out or it can no longer arrive.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    action: OrderAction,
    giver: IncarnationId,
    support: FencingSupport,
    times: OrderTimes,
    /// The last number that this plan wrote.
    written: Option<FencingNumber>,
    phase: OrderPhase,
}

impl OrderPlan {
    /// Starts an order; the effect is to be carried out.
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

    /// Tells whether the order has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == OrderPhase::Ended
    }

    /// Takes in an event and returns what to do next, in order.
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
        // A plan reads again only when what it wrote was not sent or cannot arrive.
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

    /// Sends the order if its time has not run out, as it has for a giver that
    /// was paused; the record then gets a new number first.
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
        // The dead send nothing, but what they sent may still be under way.
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
            // The engine has answered, so the next giver finds out by asking it.
            OrderEvent::WriteLost => self.finish(result),
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, result: OrderResult) -> Vec<OrderEffect> {
        self.phase = OrderPhase::Ended;
        vec![OrderEffect::Finish(result)]
    }
}
