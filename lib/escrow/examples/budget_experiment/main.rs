//! Compares the escrow with three baseline policies in a simulation.
//!
//! `cargo run -p snipegate-escrow --example budget_experiment -- [SEED]...` prints a JSON
//! document with the overspend and false refusals of each policy in each scenario, and
//! those of the escrow for several grant horizons.

mod baseline;
mod escrowed;
mod outcome;
mod workload;

use std::time::Duration;

use serde::Serialize;
use snipegate_escrow::EscrowPolicy;
use snipegate_escrow::EscrowSettings;
use strum::IntoEnumIterator;

use crate::baseline::Baseline;
use crate::outcome::OutcomeFigures;
use crate::workload::Scenario;
use crate::workload::Workload;

/// Grant horizons to compare, in seconds.
const HORIZONS: [u64; 6] = [30, 600, 1800, 3600, 7200, 14_400];

/// Results of several policies in one scenario with one seed.
#[derive(Debug, Serialize)]
struct ScenarioFigures {
    scenario: Scenario,
    seed: u64,
    policies: Vec<OutcomeFigures>,
}

/// The output of the experiment.
#[derive(Debug, Serialize)]
struct ExperimentFigures {
    policies: Vec<ScenarioFigures>,
    horizons: Vec<ScenarioFigures>,
}

fn compare_policies(scenario: Scenario, seed: u64) -> ScenarioFigures {
    let workload = Workload::new(scenario, seed);
    let escrows = [EscrowPolicy::AvoidRefusals, EscrowPolicy::AvoidOverspend].map(|policy| {
        let name = format!("escrow_{policy}");
        escrowed::run(&name, EscrowSettings::for_policy(policy), &workload, seed)
    });
    let baselines = Baseline::iter().map(|baseline| baseline::run(baseline, &workload));
    ScenarioFigures {
        scenario,
        seed,
        policies: escrows.into_iter().chain(baselines).collect(),
    }
}

fn compare_horizons(scenario: Scenario, seed: u64) -> ScenarioFigures {
    let workload = Workload::new(scenario, seed);
    let run = |seconds: u64| {
        let settings = EscrowSettings {
            grant_horizon: Duration::from_secs(seconds),
            ..EscrowSettings::default()
        };
        escrowed::run(&format!("horizon_{seconds}_s"), settings, &workload, seed)
    };
    ScenarioFigures {
        scenario,
        seed,
        policies: HORIZONS.into_iter().map(run).collect(),
    }
}

fn main() {
    let seeds: Vec<u64> = std::env::args()
        .skip(1)
        .map(|text| text.parse().expect("seed should be a number"))
        .collect();
    let seeds = match seeds.is_empty() {
        true => vec![1],
        false => seeds,
    };
    let policies = Scenario::iter().flat_map(|scenario| {
        seeds
            .iter()
            .map(move |&seed| compare_policies(scenario, seed))
    });
    let horizons = [Scenario::Carnaval, Scenario::Partition]
        .into_iter()
        .flat_map(|scenario| {
            seeds
                .iter()
                .map(move |&seed| compare_horizons(scenario, seed))
        });
    let figures = ExperimentFigures {
        policies: policies.collect(),
        horizons: horizons.collect(),
    };
    let text = serde_json::to_string_pretty(&figures).expect("figures should serialize to JSON");
    println!("{text}");
}
