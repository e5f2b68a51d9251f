//! Compares the routing policy with baselines in a discrete-event simulation.
//!
//! Usage: `routing_experiment [--seeds N] [--scale N] [--json FILE]`. The same arguments
//! give the same results on every machine. `--scale` multiplies the numbers of routers
//! and engines and the request rates.

mod chooser;
mod engine;
mod load;
mod report;
mod world;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use snipegate_routing::RoutePolicy;
use strum::IntoEnumIterator;

use crate::chooser::PolicyName;
use crate::load::PromptKind;
use crate::load::arrivals;
use crate::report::RunReport;
use crate::report::round;
use crate::world::Condition;
use crate::world::Simulation;
use crate::world::SimulationSize;

const SPAN: Duration = Duration::from_secs(60);

/// Sizes at scale 1, close to those of one current deployment.
const ROUTERS: usize = 6;
const ENGINES: usize = 10;
const SLOTS: usize = 8;
const CACHE_BLOCKS: usize = 400;

/// Settings that all runs of one invocation share.
#[derive(Clone, Copy)]
struct Experiment {
    seeds: u64,
    scale: usize,
}

impl Experiment {
    fn size(self) -> SimulationSize {
        SimulationSize {
            routers: ROUTERS * self.scale,
            engines: ENGINES * self.scale,
            slots: SLOTS,
            cache_blocks: CACHE_BLOCKS,
        }
    }

    /// Returns the request rate of the whole fleet, in requests per second.
    fn rate(self, rate: f64) -> f64 {
        rate * self.scale as f64
    }
}

/// Share of requests that must be answered in time for a rate to be within capacity.
const CAPACITY_SHARE: f64 = 0.99;

/// Requests per second of the comparison with shared prefixes, about two thirds of the
/// capacity of the weaker policies.
const SHARED_RATE: f64 = 30.0;

/// Requests per second of the comparison without shared prefixes, chosen like
/// `SHARED_RATE`.
const UNSHARED_RATE: f64 = 36.0;

fn run(
    name: PolicyName,
    kind: PromptKind,
    condition: Condition,
    rate: f64,
    experiment: Experiment,
) -> RunReport {
    let policy = RoutePolicy::default();
    let size = experiment.size();
    let mut merged = RunReport::new(size.engines);
    for seed in 1..=experiment.seeds {
        let requests = arrivals(kind, experiment.rate(rate), SPAN, size.routers, seed);
        let simulation = Simulation::new(name, &policy, size, requests, condition, seed);
        merged.merge(simulation.run(SPAN));
    }
    merged
}

/// Finds the highest rate at which the required share of requests is answered in time.
fn find_capacity(name: PolicyName, kind: PromptKind, experiment: Experiment) -> f64 {
    let mut rate = 10.0;
    while run(name, kind, Condition::Normal, rate + 2.0, experiment).served_share()
        >= CAPACITY_SHARE
    {
        rate += 2.0;
    }
    rate
}

fn print_report(label: &str, report: &RunReport) {
    println!(
        "{label:44} goodput {:7.2}/s served {:6.3} first p50 {:8.1} p95 {:8.1} p99 {:8.1} ms hits {:5.3}",
        report.goodput(),
        report.served_share(),
        report.first_ms(0.5),
        report.first_ms(0.95),
        report.first_ms(0.99),
        report.hit_share(),
    );
}

fn compare(kind: PromptKind, rate: f64, experiment: Experiment) -> Value {
    let mut conditions = serde_json::Map::new();
    for condition in Condition::iter() {
        let mut policies = serde_json::Map::new();
        for name in PolicyName::iter() {
            let report = run(name, kind, condition, rate, experiment);
            print_report(&format!("{kind:?} {condition} {name}"), &report);
            policies.insert(name.to_string(), report.to_json());
        }
        conditions.insert(condition.to_string(), policies.into());
    }
    json!({ "rate_per_s": round(rate), "conditions": conditions })
}

fn overload(kind: PromptKind, rate: f64, experiment: Experiment) -> Value {
    let mut factors = serde_json::Map::new();
    for factor in [1.0, 1.5, 2.0, 3.0] {
        let mut policies = serde_json::Map::new();
        for name in [PolicyName::Snipegate, PolicyName::LeastOutstanding] {
            let report = run(name, kind, Condition::Normal, rate * factor, experiment);
            print_report(&format!("{kind:?} {factor} x capacity {name}"), &report);
            policies.insert(name.to_string(), report.to_json());
        }
        factors.insert(format!("{factor}"), policies.into());
    }
    factors.into()
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let value_of = |flag: &str| {
        let at = arguments.iter().position(|argument| argument == flag)?;
        arguments.get(at + 1).cloned()
    };
    let seeds =
        value_of("--seeds").map_or(5, |text| text.parse().expect("--seeds must be a number"));
    let scale =
        value_of("--scale").map_or(1, |text| text.parse().expect("--scale must be a number"));
    let experiment = Experiment { seeds, scale };
    let single_seed = Experiment { seeds: 1, scale };
    let mut results = serde_json::Map::new();
    for kind in [PromptKind::SharedPrefix, PromptKind::NoPrefix] {
        let capacity = find_capacity(PolicyName::Snipegate, kind, single_seed);
        let baseline = find_capacity(PolicyName::LeastOutstanding, kind, single_seed);
        println!("{kind:?}: capacity {capacity}/s, of least outstanding {baseline}/s");
        let rate = match kind {
            PromptKind::SharedPrefix => SHARED_RATE,
            PromptKind::NoPrefix => UNSHARED_RATE,
        };
        results.insert(
            format!("{kind:?}"),
            json!({
                "capacity_per_s": capacity,
                "capacity_least_outstanding_per_s": baseline,
                "comparison": compare(kind, rate, experiment),
                "overload": overload(kind, capacity, experiment),
            }),
        );
    }
    if let Some(path) = value_of("--json") {
        let output =
            json!({ "seeds": seeds, "scale": scale, "span_s": SPAN.as_secs(), "results": results });
        let text = serde_json::to_string_pretty(&output).expect("report must be serializable");
        std::fs::write(path, text + "\n").expect("failed to write the --json file");
    }
}
