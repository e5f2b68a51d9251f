//! Invariants of a route table under random sequences of events.

mod common;

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use common::engine;
use common::request;
use indexmap::IndexMap;
use snipegate_routing::AttemptId;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::BlockHash;
use snipegate_routing::CacheChange;
use snipegate_routing::CacheEvent;
use snipegate_routing::LoadReport;
use snipegate_routing::RequestPriority;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_routing::UpstreamSpec;
use snipegate_routing::UpstreamState;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

const ENGINES: usize = 5;

struct TableSimulation {
    table: RouteTable,
    specs: Vec<UpstreamSpec>,
    /// Attempts in progress with their upstreams.
    outstanding: Vec<(AttemptId, UpstreamId)>,
    now: Instant,
}

impl TableSimulation {
    fn new() -> Self {
        let now = Instant::now();
        let mut table = RouteTable::new(RoutePolicy::default(), 5);
        let specs: Vec<_> = (0..ENGINES).map(|i| engine(&format!("e{i}"), 3)).collect();
        table.set_upstreams(specs.clone(), now);
        Self {
            table,
            specs,
            outstanding: Vec::new(),
            now,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        self.now += Duration::from_millis(u.int_in_range(0..=400)?);
        match u.int_in_range(0..=9)? {
            0..=3 => self.choose(u)?,
            4..=6 => self.finish(u)?,
            7 => self.change_upstreams(u)?,
            8 => self.report(u)?,
            _ => self.apply_cache_event(u)?,
        }
        self.check();
        Ok(())
    }

    fn choose(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let first = u.int_in_range(0..=3_u64)? * 100;
        let priorities = [
            RequestPriority::Low,
            RequestPriority::Normal,
            RequestPriority::High,
        ];
        let request = RouteRequest {
            priority: *u.choose(&priorities)?,
            idempotent: u.arbitrary()?,
            prefix: (first..first + 6).map(BlockHash).collect::<Vec<_>>().into(),
            deadline: match u.arbitrary()? {
                true => Some(self.now + Duration::from_millis(u.int_in_range(0..=5_000)?)),
                false => None,
            },
            ..request()
        };
        match self.table.choose(&request, self.now) {
            Ok(choice) => {
                let spec = self.specs.iter().find(|spec| spec.id == choice.upstream);
                let state = spec.map(|spec| spec.state);
                assert_eq!(
                    state,
                    Some(UpstreamState::Up),
                    "upstream chosen that is not up"
                );
                assert!(choice.expected_cached <= request.prompt_tokens);
                self.outstanding.push((choice.attempt, choice.upstream));
            }
            Err(refusal) => assert_eq!(refusal.code, refusal.reason.code()),
        }
        Ok(())
    }

    fn finish(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.outstanding.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.outstanding.len())?;
        if u.arbitrary()? {
            self.table
                .record_first_byte(self.outstanding[index].0, self.now);
            return Ok(());
        }
        let outcomes = [
            AttemptOutcome::Completed {
                generated: TokenCount(u.int_in_range(0..=200)?),
                cached: Some(TokenCount(u.int_in_range(0..=600)?)),
            },
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotConnected,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::Silent,
        ];
        let (attempt, _) = self.outstanding.swap_remove(index);
        let outcome = *u.choose(&outcomes)?;
        self.table.finish_attempt(attempt, outcome, self.now);
        // A second report of the same attempt has no effect.
        self.table.finish_attempt(attempt, outcome, self.now);
        Ok(())
    }

    fn change_upstreams(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let index = u.int_in_range(0..=ENGINES - 1)?;
        let id = format!("e{index}");
        self.specs.retain(|spec| spec.id.as_str() != id);
        if u.ratio(3, 4)? {
            let mut spec = engine(&id, 3);
            if u.ratio(1, 3)? {
                spec.state = UpstreamState::Leaving;
            }
            self.specs.push(spec);
        } else {
            // An upstream that is added again later starts with no outstanding requests.
            self.outstanding
                .retain(|outstanding| outstanding.1.as_str() != id);
        }
        self.table.set_upstreams(self.specs.clone(), self.now);
        Ok(())
    }

    fn report(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let report = LoadReport {
            running: u.int_in_range(0..=4)?,
            queued: u.int_in_range(0..=4)?,
            prefill_backlog: TokenCount(0),
            age: Duration::from_millis(u.int_in_range(0..=9_000)?),
        };
        let id = format!("e{}", u.int_in_range(0..=ENGINES)?);
        self.table
            .record_load_report(&id.parse().unwrap(), &report, self.now);
        Ok(())
    }

    fn apply_cache_event(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let first = u.int_in_range(0..=3_u64)? * 100;
        let blocks: Vec<BlockHash> = (first..first + 6).map(BlockHash).collect();
        let change = match u.int_in_range(0..=4)? {
            0 => CacheChange::Cleared,
            1 => CacheChange::Removed(blocks),
            _ => CacheChange::Stored(blocks),
        };
        let sequence = u.int_in_range(0..=50)?;
        let id = format!("e{}", u.int_in_range(0..=ENGINES)?);
        let event = CacheEvent { sequence, change };
        self.table.apply_cache_event(&id.parse().unwrap(), &event);
        Ok(())
    }

    /// Checks that the outstanding count of each upstream equals its attempts in
    /// progress.
    fn check(&self) {
        let mut counts: IndexMap<&UpstreamId, u32> = IndexMap::new();
        for (_, upstream) in &self.outstanding {
            *counts.entry(upstream).or_default() += 1;
        }
        for status in self.table.pool().status(self.now) {
            let outstanding = counts.get(&status.id).copied().unwrap_or(0);
            assert_eq!(status.outstanding, outstanding, "{}", status.id);
            assert!(status.slowness.is_finite() && status.slowness >= 0.0);
        }
    }
}

#[test]
fn outstanding_requests_are_counted_and_leaving_upstreams_get_none() {
    for seed in 0..500 {
        arbtest::arbtest(|u| {
            let mut simulation = TableSimulation::new();
            while !u.is_empty() {
                simulation.step(u)?;
            }
            Ok(())
        })
        .seed(4_000 | (seed << 32));
    }
}
