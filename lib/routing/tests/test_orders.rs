//! Orders to engines: two givers, lost replies, pauses, late sendings.

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

/// Longest time from the check of an order's validity to its effect.
const MAX_TRANSIT: Duration = Duration::from_secs(40);

const GIVERS: usize = 3;

fn action(giver: usize) -> OrderAction {
    OrderAction::LoadModel {
        model: "model".parse().unwrap(),
        version: giver.to_string(),
    }
}

fn giver(giver: usize) -> snipegate_types::IncarnationId {
    format!("vm{giver}/keeper/1").parse().unwrap()
}

fn times() -> OrderTimes {
    OrderTimes {
        validity: Duration::from_secs(10),
        max_transit: MAX_TRANSIT + Duration::from_secs(1),
        answer_timeout: Duration::from_secs(3),
    }
}

/// What is under way between a giver and the store or the engine.
enum Underway {
    Effect(usize, OrderEffect),
    Event(usize, OrderEvent),
    Arrives(usize, FencingToken, Instant),
}

/// A store, an engine and several givers.
struct OrderWorld {
    support: FencingSupport,
    plans: Vec<OrderPlan>,
    underway: Vec<Underway>,
    record: Option<(OrderRecord, RecordRevision)>,
    applied: Vec<FencingToken>,
    now: Instant,
}

impl OrderWorld {
    fn new(support: FencingSupport, times: OrderTimes) -> Self {
        let started = (0..GIVERS).map(|i| OrderPlan::new(action(i), giver(i), support, times));
        let (plans, effects): (Vec<_>, Vec<_>) = started.unzip();
        let underway = effects.into_iter().enumerate();
        Self {
            support,
            plans,
            underway: underway.map(|(i, e)| Underway::Effect(i, e)).collect(),
            record: None,
            applied: Vec::new(),
            now: Instant::now(),
        }
    }

    fn last(&self) -> FencingToken {
        self.applied.last().copied().unwrap_or_default()
    }

    /// Lets one thing under way happen, or time pass. A giver whose events wait
    /// is one that is paused.
    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.underway.is_empty() || u.ratio(1, 4)? {
            self.now += Duration::from_millis(u.int_in_range(0..=8_000)?);
            for i in 0..GIVERS {
                // A giver that hears nothing of it is paused.
                if u.ratio(3, 4)? {
                    self.happen(i, OrderEvent::Tick);
                }
            }
            return Ok(());
        }
        // What has been long under way arrives by then.
        let now = self.now;
        let overdue = |item: &Underway| matches!(item, Underway::Arrives(_, _, by) if *by <= now);
        let index = match self.underway.iter().position(overdue) {
            Some(index) => index,
            None => self.choose(u)?,
        };
        match self.underway.swap_remove(index) {
            Underway::Effect(i, effect) => self.carry_out(i, effect, u)?,
            Underway::Event(i, event) => self.happen(i, event),
            Underway::Arrives(i, fencing, _) => self.arrive(i, fencing, u)?,
        }
        Ok(())
    }

    fn happen(&mut self, i: usize, event: OrderEvent) {
        for effect in self.plans[i].step(event, self.now) {
            let item = match effect {
                // Sending begins at once; its arrival may take long.
                OrderEffect::Send { fencing, .. } => {
                    Underway::Arrives(i, fencing, self.now + MAX_TRANSIT)
                }
                effect => Underway::Effect(i, effect),
            };
            self.underway.push(item);
        }
    }

    /// Chooses what happens next; what was sent to the engine mostly comes late.
    fn choose(&self, u: &mut Unstructured<'_>) -> arbitrary::Result<usize> {
        let quick = |item: &Underway| !matches!(item, Underway::Arrives(..));
        let at_once: Vec<usize> = (0..self.underway.len())
            .filter(|&index| quick(&self.underway[index]))
            .collect();
        match at_once.is_empty() || u.ratio(1, 8)? {
            true => u.choose_index(self.underway.len()),
            false => Ok(*u.choose(&at_once)?),
        }
    }

    fn carry_out(
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
        self.underway.push(Underway::Event(i, event));
        Ok(())
    }

    fn arrive(
        &mut self,
        i: usize,
        fencing: FencingToken,
        u: &mut Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        let fenced = self.support == FencingSupport::Honoured && fencing < self.last();
        if !fenced {
            self.applied.push(fencing);
        }
        let event = match (u.ratio(1, 4)?, fenced) {
            (true, _) => OrderEvent::EngineNoAnswer,
            (false, true) => OrderEvent::EngineFenced(fencing),
            (false, false) => OrderEvent::EngineApplied(fencing),
        };
        self.underway.push(Underway::Event(i, event));
        Ok(())
    }

    fn is_in_order(&self) -> bool {
        self.applied.is_sorted()
    }
}

/// Runs one interleaving; tells whether orders took effect in their order.
fn orders_stay_in_order(support: FencingSupport, times: OrderTimes, seed: u64) -> bool {
    let mut in_order = true;
    arbtest::arbtest(|u| {
        let mut world = OrderWorld::new(support, times);
        while !u.is_empty() && world.is_in_order() {
            world.step(u)?;
        }
        in_order = world.is_in_order();
        Ok(())
    })
    .seed(4_000 | (seed << 32));
    in_order
}

#[test]
fn engine_that_honours_fencing_gets_orders_in_order() {
    for seed in 0..1_000 {
        assert!(
            orders_stay_in_order(FencingSupport::Honoured, times(), seed),
            "seed {seed}"
        );
    }
}

#[test]
fn engine_that_ignores_fencing_gets_orders_in_order() {
    for seed in 0..1_000 {
        assert!(
            orders_stay_in_order(FencingSupport::Ignored, times(), seed),
            "seed {seed}"
        );
    }
}

#[test]
fn without_waiting_out_an_old_order_overtakes() {
    let hasty = OrderTimes {
        max_transit: Duration::ZERO,
        ..times()
    };
    let in_order = |seed| orders_stay_in_order(FencingSupport::Ignored, hasty, seed);
    assert!(!(0..1_000).all(in_order));
}

#[test]
fn paused_giver_that_wakes_does_not_send() {
    let now = Instant::now();
    let (mut plan, _) = OrderPlan::new(action(0), giver(0), FencingSupport::Ignored, times());
    let effects = plan.step(OrderEvent::RecordRead(None), now);
    assert!(matches!(effects[..], [OrderEffect::Write { .. }]));
    let woken = now + times().validity;
    let effects = plan.step(OrderEvent::WriteSucceeded(RecordRevision(1)), woken);
    assert_eq!(effects, [OrderEffect::Read]);
}

#[test]
fn open_order_of_a_dead_giver_is_waited_out_for_its_transit() {
    let now = Instant::now();
    let (mut plan, _) = OrderPlan::new(action(0), giver(0), FencingSupport::Ignored, times());
    let open = OrderRecord {
        fencing: FencingToken(4),
        action: OrderAction::ChangeRole {
            role: EngineRole::Decode,
        },
        giver: giver(1),
        progress: OrderProgress::Intended,
    };
    let stored = Some((open, RecordRevision(9)));
    let effects = plan.step(OrderEvent::RecordRead(stored), now);
    assert_eq!(effects, [OrderEffect::QueryEngine]);
    assert!(plan.step(OrderEvent::IssuerDead(giver(2)), now).is_empty());
    assert!(plan.step(OrderEvent::IssuerDead(giver(1)), now).is_empty());
    // What the dead giver sent may be under way for so long, and no longer.
    let now = now + times().max_transit;
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
