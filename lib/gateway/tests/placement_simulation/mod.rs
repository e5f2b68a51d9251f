//! Plays prompts at engines of uneven speed before VMs whose views of each other are delayed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_gateway::LoadTable;
use snipegate_gateway::PromptPart;
use snipegate_gateway::PromptShape;
use snipegate_gateway::SpeedSums;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::UpstreamPhase;
use snipegate_gateway::UpstreamReport;
use snipegate_gateway::placement::PlacementChoice;
use snipegate_gateway::placement::PlacementQuery;
use snipegate_gateway::placement::choose;
use snipegate_types::PartId;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

const VMS: usize = 48;
const GOSSIP_INTERVAL_US: u64 = 210_000;
const SPEED_NOTICE_INTERVAL_US: u64 = 1_000_000;
const SECOND_US: f64 = 1e6;

/// What is played.
pub struct Play {
    pub upstreams: usize,
    pub requests_per_second: f64,
    pub seconds: f64,
    /// Part of the long prompts with the same beginning.
    pub hot_share: f64,
    /// Whether placement is told of the prompts' parts.
    pub uses_parts: bool,
    /// Memory of an engine, in tokens.
    pub memory: u64,
    /// When the first upstream becomes slow and by which factor, if it does.
    pub slow: Option<(f64, f64)>,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            upstreams: 48,
            requests_per_second: 600.0,
            seconds: 8.0,
            hot_share: 0.0,
            uses_parts: true,
            memory: 519_653,
            slow: None,
        }
    }
}

/// A request that was answered.
pub struct Played {
    pub sent: f64,
    pub upstream: usize,
    pub first_event_ms: f64,
    pub goal_ms: f64,
    pub shared: u64,
    /// Shared tokens that were processed again though some upstream held them.
    pub missed: u64,
    pub is_hot: bool,
}

struct Request {
    vm: usize,
    sent: u64,
    shape: PromptShape,
    decode_us: f64,
    goal_ms: f64,
    shared: u64,
    missed: u64,
    is_hot: bool,
    at: usize,
    choice: PlacementChoice,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    busy_until: u64,
    running: u32,
    resident: u64,
    waiting: VecDeque<usize>,
    /// Tokens held by prefix, the least recently used first.
    held: IndexMap<Vec<u64>, u64>,
    held_total: u64,
}

impl Engine {
    fn held_tokens(&self, parts: &[PromptPart]) -> u64 {
        let ids: Vec<u64> = parts.iter().map(|part| part.id.0).collect();
        let count = (1..=ids.len()).take_while(|&count| self.held.contains_key(&ids[..count]));
        count.map(|count| parts[count - 1].tokens).sum()
    }

    fn hold(&mut self, parts: &[PromptPart], memory: u64) {
        let ids: Vec<u64> = parts.iter().map(|part| part.id.0).collect();
        // The last part first, so that it is evicted before those that it follows.
        for count in (1..=ids.len()).rev() {
            let tokens = parts[count - 1].tokens;
            self.held_total -= self.held.shift_remove(&ids[..count]).unwrap_or(0);
            self.held_total += tokens;
            self.held.insert(ids[..count].to_vec(), tokens);
        }
        while self.held_total + self.resident > memory
            && let Some((_, tokens)) = self.held.shift_remove_index(0)
        {
            self.held_total -= tokens;
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    PrefillEnd(usize),
    End(usize),
    Gossip(usize),
    Delivery(usize, usize, usize),
}

/// What a VM sends to the others.
struct Message {
    reports: Vec<(usize, UpstreamReport)>,
    placed: Vec<(usize, Vec<PromptPart>)>,
    speeds: Vec<(UpstreamId, SpeedSums)>,
}

const SLOTS: u32 = 48;
const PREFILL_TOKENS_PER_MS: f64 = 92.0;

/// Returns a prompt, its decoding time, its goal and whether it has the hot beginning.
fn prompt(number: u64, time_us: u64, hot_share: f64) -> (PromptShape, f64, f64, bool) {
    let kind = fastrand::u64(..691);
    let part = |id, tokens| PromptPart {
        id: PartId(id),
        tokens,
    };
    let is_hot = kind < 265 && fastrand::f64() < hot_share;
    // A beginning is replaced after some seconds by another one.
    let topic = match is_hot {
        true => 0,
        false => 1 + fastrand::u64(..24),
    };
    let topic = topic + 100 * (1 + (time_us + topic * 700_000) / 15_000_000);
    let own = 1_000_000 + number;
    let (parts, decode_ms, goal) = match kind {
        ..265 => {
            let group = 10 + topic % 4;
            let parts = vec![
                part(1, 900),
                part(group, 1400),
                part(topic, 4000),
                part(own, 2890),
            ];
            (parts, 500.0, 500.0)
        }
        265..588 => (
            vec![part(50_000 + topic, 568), part(own, 1800)],
            700.0,
            400.0,
        ),
        _ => (
            vec![part(70_000 + topic, 172), part(own, 543)],
            3000.0,
            400.0,
        ),
    };
    let input = TokenCount(parts.iter().map(|part| part.tokens).sum());
    let max_output = TokenCount(200);
    (
        PromptShape {
            input,
            max_output,
            parts,
        },
        decode_ms * 1e3,
        goal,
        is_hot,
    )
}

/// Returns the entries of a service's upstreams.
pub fn upstreams(count: usize) -> Vec<UpstreamEntry> {
    (0..count)
        .map(|number| UpstreamEntry {
            id: format!("u-{number}").parse().expect("a name"),
            service: "llm".into(),
            address: ([10, 0, 0, number as u8], 80).into(),
            data_centre: "z1".parse().expect("a name"),
            phase: UpstreamPhase::Ready,
            started_ms: None,
            slots: SLOTS,
            cold_left: Duration::ZERO,
        })
        .collect()
}

/// Returns a long prompt; those of the same topic have the same beginning.
pub fn long_prompt(topic: u64) -> PromptShape {
    let parts: Vec<PromptPart> = [(1, 2300), (100 + topic, 4000), (1_000_000, 2890)]
        .map(|(id, tokens)| PromptPart {
            id: PartId(id),
            tokens,
        })
        .to_vec();
    let input = TokenCount(parts.iter().map(|part| part.tokens).sum());
    PromptShape {
        input,
        max_output: TokenCount(200),
        parts,
    }
}

/// Places a prompt.
pub fn choose_for(
    table: &mut LoadTable,
    entries: &[UpstreamEntry],
    shape: &PromptShape,
    now: Instant,
) -> PlacementChoice {
    let query = PlacementQuery {
        prompt: Some(shape),
        tried: &[],
        rate_limited: &[],
        data_centre: &"z1".parse().expect("a name"),
    };
    choose(table, entries.iter(), &query, now).expect("one")
}

/// Plays the load and returns the answered requests.
pub fn play(what: &Play) -> Vec<Played> {
    fastrand::seed(11);
    let start = Instant::now();
    let entries = upstreams(what.upstreams);
    let position = |id: &UpstreamId| {
        entries
            .iter()
            .position(|entry| entry.id == *id)
            .expect("known")
    };
    let mut tables: Vec<LoadTable> = (0..VMS).map(|_| LoadTable::default()).collect();
    for table in &mut tables {
        for entry in &entries {
            table.set_cache_capacity(&entry.id, what.memory);
        }
    }
    let mut engines: Vec<Engine> = (0..what.upstreams)
        .map(|number| Engine {
            speed: 0.55 + 0.65 * (number * 7 % what.upstreams) as f64 / what.upstreams as f64,
            ..Engine::default()
        })
        .collect();
    let mut placed: Vec<Vec<(usize, Vec<PromptPart>)>> = vec![Vec::new(); VMS];
    let mut messages: Vec<Message> = Vec::new();
    let mut requests: Vec<Request> = Vec::new();
    let mut answered = Vec::new();
    let mut events = BinaryHeap::from([Reverse((0, Event::Arrival))]);
    for vm in 0..VMS {
        events.push(Reverse((
            fastrand::u64(..GOSSIP_INTERVAL_US),
            Event::Gossip(vm),
        )));
    }
    while let Some(Reverse((time, event))) = events.pop() {
        if time as f64 > what.seconds * SECOND_US {
            break;
        }
        let now = start + Duration::from_micros(time);
        let mut started = None;
        match event {
            Event::Arrival => {
                let gap = -fastrand::f64().max(1e-9).ln() / what.requests_per_second;
                events.push(Reverse((time + (gap * SECOND_US) as u64, Event::Arrival)));
                let (shape, decode_us, goal_ms, is_hot) =
                    prompt(requests.len() as u64, time, what.hot_share);
                let vm = fastrand::usize(..VMS);
                let unaware = PromptShape {
                    parts: Vec::new(),
                    ..shape.clone()
                };
                let known = if what.uses_parts { &shape } else { &unaware };
                let choice = choose_for(&mut tables[vm], &entries, known, now);
                tables[vm].record_prompt(&entries[0].service, shape.input.0);
                tables[vm].begin(&choice.id, choice.uncached_tokens, &shape.parts, now);
                let at = position(&choice.id);
                placed[vm].push((at, shape.parts.clone()));
                let shared = shape.shared_parts().iter().map(|part| part.tokens).sum();
                requests.push(Request {
                    vm,
                    sent: time,
                    shape,
                    decode_us,
                    goal_ms,
                    shared,
                    missed: 0,
                    is_hot,
                    at,
                    choice,
                });
                engines[at].waiting.push_back(requests.len() - 1);
                started = Some(at);
            }
            Event::PrefillEnd(number) => {
                let request = &requests[number];
                let waited = Duration::from_micros(time - request.sent);
                let table = &mut tables[request.vm];
                table.prefill_finished(&request.choice.id, request.choice.uncached_tokens);
                let queued = request.choice.queued_tokens;
                table.record_first_byte(&request.choice.id, queued, waited, now);
                table.record_speed(&entries[request.at], &request.choice, waited, now);
                answered.push(Played {
                    sent: request.sent as f64 / SECOND_US,
                    upstream: request.at,
                    first_event_ms: waited.as_secs_f64() * 1e3,
                    goal_ms: request.goal_ms,
                    shared: request.shared,
                    missed: request.missed,
                    is_hot: request.is_hot,
                });
                let decoded = time + (request.decode_us / engines[request.at].speed) as u64;
                events.push(Reverse((decoded, Event::End(number))));
            }
            Event::End(number) => {
                let request = &requests[number];
                let residence = Duration::from_micros(time - request.sent);
                tables[request.vm].end(&request.choice.id);
                tables[request.vm].record_residence(&entries[request.at].service, residence);
                engines[request.at].running -= 1;
                engines[request.at].resident -= request.shape.input.0;
                started = Some(request.at);
            }
            Event::Gossip(vm) => {
                let reports = tables[vm].own_reports(now);
                let reports = reports.filter(|(_, report)| report.is_worth_reporting());
                let reports = reports.map(|(id, report)| (position(id), report)).collect();
                let mut speeds = Vec::new();
                if time % SPEED_NOTICE_INTERVAL_US < GOSSIP_INTERVAL_US {
                    speeds = tables[vm].take_speed_news();
                }
                let placed = std::mem::take(&mut placed[vm]);
                messages.push(Message {
                    reports,
                    placed,
                    speeds,
                });
                for to in (0..VMS).filter(|to| *to != vm) {
                    let delay = fastrand::u64(60_000..350_000);
                    let delivery = Event::Delivery(vm, to, messages.len() - 1);
                    events.push(Reverse((time + delay, delivery)));
                }
                events.push(Reverse((time + GOSSIP_INTERVAL_US, Event::Gossip(vm))));
            }
            Event::Delivery(from, to, number) => {
                let message = &messages[number];
                let table = &mut tables[to];
                table.forget_peer(from as u64);
                for (at, report) in &message.reports {
                    table.record_peer_report(&entries[*at].id, from as u64, *report, now);
                }
                for (id, sums) in &message.speeds {
                    table.record_peer_speed(id, from as u64, *sums, now);
                }
                for (at, parts) in &message.placed {
                    table.record_placed(&entries[*at].id, parts, now);
                }
            }
        }
        let Some(at) = started else { continue };
        while engines[at].running < SLOTS
            && let Some(number) = engines[at].waiting.pop_front()
        {
            let shared = requests[number].shape.shared_parts().to_vec();
            let known = engines
                .iter()
                .map(|engine| engine.held_tokens(&shared))
                .max();
            let request = &mut requests[number];
            let engine = &mut engines[at];
            let held = engine.held_tokens(&shared);
            request.missed = known.unwrap_or(0).saturating_sub(held);
            engine.running += 1;
            engine.resident += request.shape.input.0;
            engine.hold(&shared, what.memory);
            let slowdown = match what.slow {
                Some((from, factor)) if at == 0 && time as f64 > from * SECOND_US => factor,
                _ => 1.0,
            };
            let tokens = (request.shape.input.0 - held) as f64;
            let prefill_us = tokens / PREFILL_TOKENS_PER_MS / engine.speed * slowdown * 1e3;
            engine.busy_until = engine.busy_until.max(time) + prefill_us as u64;
            events.push(Reverse((engine.busy_until, Event::PrefillEnd(number))));
        }
    }
    answered
}
