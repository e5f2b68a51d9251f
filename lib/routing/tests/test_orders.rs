//! Orders to engines with several issuers, lost replies, pauses and late delivery.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use snipegate_routing::EngineRole;
use snipegate_routing::FencingSupport;
use snipegate_routing::FencingToken;
use snipegate_routing::OrderAction;
use snipegate_routing::OrderEffect;
use snipegate_routing::OrderEvent;
use snipegate_routing::OrderPlan;
use snipegate_routing::OrderProgress;
use snipegate_routing::OrderRecord;
use snipegate_routing::OrderResult;
use snipegate_routing::OrderTimes;
use snipegate_routing::RecordRevision;

/// Maximum time from the check of an order's validity until it takes effect.
const MAX_TRANSIT: Duration = Duration::from_secs(40);

const ISSUERS: usize = 3;

fn action(issuer: usize) -> OrderAction {
    OrderAction::LoadModel {
        model: "model".parse().unwrap(),
        version: issuer.to_string(),
    }
}

fn issuer(issuer: usize) -> snipegate_types::IncarnationId {
    format!("vm{issuer}/keeper/1").parse().unwrap()
}

fn times() -> OrderTimes {
    OrderTimes {
        validity: Duration::from_secs(10),
        transit: MAX_TRANSIT + Duration::from_secs(1),
        answer_timeout: Duration::from_secs(3),
    }
}

/// A message or effect in transit between an issuer and the store or the engine.
enum InTransit {
    Effect(usize, OrderEffect),
    Event(usize, OrderEvent),
    OrderArrival(usize, FencingToken, Instant),
}

/// A store, an engine and several issuers.
struct OrderSimulation {
    support: FencingSupport,
    plans: Vec<OrderPlan>,
    in_transit: Vec<InTransit>,
    record: Option<(OrderRecord, RecordRevision)>,
    applied: Vec<FencingToken>,
    now: Instant,
}

impl OrderSimulation {
    fn new(support: FencingSupport, times: OrderTimes) -> Self {
        let started = (0..ISSUERS).map(|i| OrderPlan::new(action(i), issuer(i), support, times));
        let (plans, effects): (Vec<_>, Vec<_>) = started.unzip();
        let in_transit = effects.into_iter().enumerate();
        Self {
            support,
            plans,
            in_transit: in_transit.map(|(i, e)| InTransit::Effect(i, e)).collect(),
            record: None,
            applied: Vec::new(),
            now: Instant::now(),
        }
    }

    fn last(&self) -> FencingToken {
        self.applied.last().copied().unwrap_or_default()
    }

    /// Processes one item in transit or advances the time. An issuer whose events stay in
    /// transit models a paused process.
    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.in_transit.is_empty() || u.ratio(1, 4)? {
            self.now += Duration::from_millis(u.int_in_range(0..=8_000)?);
            for i in 0..ISSUERS {
                // An issuer that receives no tick is paused.
                if u.ratio(3, 4)? {
                    self.deliver(i, OrderEvent::Tick);
                }
            }
            return Ok(());
        }
        // An order arrives at the latest after the maximum transit time.
        let now = self.now;
        let overdue =
            |item: &InTransit| matches!(item, InTransit::OrderArrival(_, _, by) if *by <= now);
        let index = match self.in_transit.iter().position(overdue) {
            Some(index) => index,
            None => self.choose(u)?,
        };
        match self.in_transit.swap_remove(index) {
            InTransit::Effect(i, effect) => self.perform(i, effect, u)?,
            InTransit::Event(i, event) => self.deliver(i, event),
            InTransit::OrderArrival(i, fencing, _) => self.apply_at_engine(i, fencing, u)?,
        }
        Ok(())
    }

    fn deliver(&mut self, i: usize, event: OrderEvent) {
        for effect in self.plans[i].step(event, self.now) {
            let item = match effect {
                // The order is sent immediately but may arrive much later.
                OrderEffect::Send { fencing, .. } => {
                    InTransit::OrderArrival(i, fencing, self.now + MAX_TRANSIT)
                }
                effect => InTransit::Effect(i, effect),
            };
            self.in_transit.push(item);
        }
    }

    /// Chooses the next item to process. Orders sent to the engine are mostly delayed.
    fn choose(&self, u: &mut Unstructured<'_>) -> arbitrary::Result<usize> {
        let is_immediate = |item: &InTransit| !matches!(item, InTransit::OrderArrival(..));
        let immediate: Vec<usize> = (0..self.in_transit.len())
            .filter(|&index| is_immediate(&self.in_transit[index]))
            .collect();
        match immediate.is_empty() || u.ratio(1, 8)? {
            true => u.choose_index(self.in_transit.len()),
            false => Ok(*u.choose(&immediate)?),
        }
    }

    fn perform(
        &mut self,
        i: usize,
        effect: OrderEffect,
        u: &mut Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        let event = match effect {
            OrderEffect::Read => OrderEvent::RecordRead(self.record.clone()),
            OrderEffect::QueryEngine => OrderEvent::EngineLastApplied(self.last()),
            OrderEffect::Finish(_) | OrderEffect::Send { .. } => return Ok(()),
            OrderEffect::Write { expected, record } => {
                let revision = self.record.as_ref().map(|stored| stored.1);
                if revision != expected {
                    OrderEvent::WriteConflicted
                } else {
                    let next = RecordRevision(revision.map_or(1, |r| r.0 + 1));
                    self.record = Some((record, next));
                    match u.ratio(1, 5)? {
                        true => OrderEvent::WriteOutcomeUnknown,
                        false => OrderEvent::WriteSucceeded(next),
                    }
                }
            }
        };
        self.in_transit.push(InTransit::Event(i, event));
        Ok(())
    }

    fn apply_at_engine(
        &mut self,
        i: usize,
        fencing: FencingToken,
        u: &mut Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        let rejected = self.support == FencingSupport::Honoured && fencing < self.last();
        if !rejected {
            self.applied.push(fencing);
        }
        let event = match (u.ratio(1, 4)?, rejected) {
            (true, _) => OrderEvent::EngineNoAnswer,
            (false, true) => OrderEvent::EngineFenced(fencing),
            (false, false) => OrderEvent::EngineApplied(fencing),
        };
        self.in_transit.push(InTransit::Event(i, event));
        Ok(())
    }

    fn is_in_order(&self) -> bool {
        self.applied.is_sorted()
    }
}

/// Runs one random interleaving and returns whether the engine applied the orders in the
/// order of their fencing tokens.
fn orders_are_applied_in_order(support: FencingSupport, times: OrderTimes, seed: u64) -> bool {
    let mut in_order = true;
    arbtest::arbtest(|u| {
        let mut simulation = OrderSimulation::new(support, times);
        while !u.is_empty() && simulation.is_in_order() {
            simulation.step(u)?;
        }
        in_order = simulation.is_in_order();
        Ok(())
    })
    .seed(4_000 | (seed << 32));
    in_order
}

#[test]
fn fencing_engine_applies_orders_in_order() {
    for seed in 0..1_000 {
        assert!(
            orders_are_applied_in_order(FencingSupport::Honoured, times(), seed),
            "seed {seed}"
        );
    }
}

#[test]
fn non_fencing_engine_applies_orders_in_order() {
    for seed in 0..1_000 {
        assert!(
            orders_are_applied_in_order(FencingSupport::Ignored, times(), seed),
            "seed {seed}"
        );
    }
}

#[test]
fn without_waiting_out_an_old_order_overtakes() {
    let no_wait = OrderTimes {
        transit: Duration::ZERO,
        ..times()
    };
    let in_order = |seed| orders_are_applied_in_order(FencingSupport::Ignored, no_wait, seed);
    assert!(!(0..1_000).all(in_order));
}

#[test]
fn paused_issuer_does_not_send_expired_order() {
    let now = Instant::now();
    let (mut plan, _) = OrderPlan::new(action(0), issuer(0), FencingSupport::Ignored, times());
    let effects = plan.step(OrderEvent::RecordRead(None), now);
    assert!(matches!(effects[..], [OrderEffect::Write { .. }]));
    let resumed_at = now + times().validity;
    let effects = plan.step(OrderEvent::WriteSucceeded(RecordRevision(1)), resumed_at);
    assert_eq!(effects, [OrderEffect::Read]);
}

#[test]
fn pending_order_of_dead_issuer_delays_next_by_max_transit() {
    let now = Instant::now();
    let (mut plan, _) = OrderPlan::new(action(0), issuer(0), FencingSupport::Ignored, times());
    let pending = OrderRecord {
        fencing: FencingToken(4),
        action: OrderAction::ChangeRole {
            role: EngineRole::Decode,
        },
        giver: issuer(1),
        progress: OrderProgress::Intended,
    };
    let stored = Some((pending, RecordRevision(9)));
    let effects = plan.step(OrderEvent::RecordRead(stored), now);
    assert_eq!(effects, [OrderEffect::QueryEngine]);
    assert!(plan.step(OrderEvent::IssuerDead(issuer(2)), now).is_empty());
    assert!(plan.step(OrderEvent::IssuerDead(issuer(1)), now).is_empty());
    // Orders that the dead issuer sent may arrive until the maximum transit time has
    // passed.
    let now = now + times().transit;
    let effects = plan.step(OrderEvent::Tick, now);
    let [OrderEffect::Write { expected, record }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(*expected, Some(RecordRevision(9)));
    assert_eq!(record.fencing, FencingToken(5));
    let effects = plan.step(OrderEvent::WriteSucceeded(RecordRevision(10)), now);
    assert!(matches!(effects[..], [OrderEffect::Send { .. }]));
    plan.step(OrderEvent::EngineApplied(FencingToken(5)), now);
    let effects = plan.step(OrderEvent::WriteSucceeded(RecordRevision(11)), now);
    assert_eq!(effects, [OrderEffect::Finish(OrderResult::Applied)]);
    assert!(plan.has_ended());
}
