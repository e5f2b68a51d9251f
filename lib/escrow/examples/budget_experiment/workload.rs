//! Scenarios and their workloads, which are the same for every policy.

use std::time::Duration;

use fastrand::Rng;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Number of routers, two in each data centre.
pub const ROUTERS: usize = 6;

/// Number of data centres.
pub const DATA_CENTRES: usize = 3;

/// Number of workspaces, each with one budget.
pub const BUDGETS: usize = 10;

/// Number of requests in one run.
const REQUESTS: u64 = 100_000;

/// Number of hosts that send a workspace's requests, each near one data centre.
const HOSTS: usize = 4;

/// Mean time for which a host keeps using the address of one router.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(600);

/// Share of requests on the first budget, in percent.
const FIRST_BUDGET_PERCENT: u8 = 30;

/// Share of requests on the first budget during the Carnaval peak, in percent.
const PEAK_PERCENT: u8 = 75;

const MINUTE: Duration = Duration::from_secs(60);

/// The load peak or fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// One hour without faults.
    Steady,
    /// One hour, in which one workspace causes most of the load for 20 minutes.
    Carnaval,
    /// 80 minutes, in which the third data centre is partitioned off for one hour.
    Partition,
    /// One hour, in which the configuration store is unavailable for 10 minutes.
    StoreOutage,
    /// One hour, in which every VM is stopped and replaced in turn, two minutes apart.
    Restarts,
}

impl Scenario {
    /// Returns the length of the run.
    pub fn length(self) -> Duration {
        match self {
            Scenario::Partition => 80 * MINUTE,
            _ => 60 * MINUTE,
        }
    }

    /// Returns whether the third data centre is partitioned off at `time`.
    pub fn is_partitioned(self, time: Duration) -> bool {
        self == Scenario::Partition && (10 * MINUTE..70 * MINUTE).contains(&time)
    }

    /// Returns whether the store is unavailable at `time`.
    pub fn is_store_down(self, time: Duration) -> bool {
        self == Scenario::StoreOutage && (20 * MINUTE..30 * MINUTE).contains(&time)
    }

    /// Returns the router that is replaced after `previous` and until `time`, if any.
    pub fn restarted(self, previous: Duration, time: Duration) -> Option<usize> {
        let restart_time = |router: usize| (10 + 2 * router as u32) * MINUTE;
        (self == Scenario::Restarts)
            .then(|| {
                (0..ROUTERS)
                    .find(|&router| previous < restart_time(router) && restart_time(router) <= time)
            })
            .flatten()
    }

    /// Returns whether `time` is within the Carnaval peak.
    fn is_peak(self, time: Duration) -> bool {
        self == Scenario::Carnaval && (20 * MINUTE..40 * MINUTE).contains(&time)
    }
}

/// The arrival of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub router: usize,
    pub budget: usize,
    pub worst_case: u64,
    pub used: u64,
    pub duration: Duration,
}

/// A purchase of tokens for a budget.
#[derive(Clone, Copy, Debug)]
pub struct Purchase {
    pub at: Duration,
    pub budget: usize,
    pub amount: u64,
}

/// The requests and purchases of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    pub scenario: Scenario,
    pub arrivals: Vec<Arrival>,
    pub purchases: Vec<Purchase>,
}

impl Workload {
    /// Generates the workload of a scenario from a seed.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let step = scenario.length() / REQUESTS as u32;
        let mut addresses = vec![(Duration::ZERO, None); BUDGETS * HOSTS];
        let arrivals: Vec<Arrival> = (0..REQUESTS)
            .map(|number| {
                let at = step * number as u32;
                let budget = choose_budget(scenario, at, &mut rng);
                let host = budget * HOSTS + rng.usize(0..HOSTS);
                let (until, router) = &mut addresses[host];
                if router.is_none() || at >= *until {
                    *until = at + ADDRESS_LIFETIME.mul_f64(0.5 + rng.f64());
                    *router = Some(
                        host % DATA_CENTRES + DATA_CENTRES * rng.usize(0..ROUTERS / DATA_CENTRES),
                    );
                }
                let prompt = rng.u64(50..800);
                let max_output = [128, 256, 512, 1024][rng.usize(0..4)];
                Arrival {
                    at,
                    router: router.unwrap_or_default(),
                    budget,
                    worst_case: prompt + max_output,
                    used: prompt + rng.u64(max_output / 8..=max_output),
                    duration: Duration::from_millis(rng.u64(300..6000)),
                }
            })
            .collect();
        let purchases = purchases(scenario, &arrivals);
        Self {
            scenario,
            arrivals,
            purchases,
        }
    }
}

/// Draws the budget of a request.
fn choose_budget(scenario: Scenario, at: Duration, rng: &mut Rng) -> usize {
    let first_percent = match scenario.is_peak(at) {
        true => PEAK_PERCENT,
        false => FIRST_BUDGET_PERCENT,
    };
    match rng.u8(0..100) < first_percent {
        true => 0,
        false => rng.usize(1..BUDGETS),
    }
}

/// Returns the purchases for all budgets.
///
/// Each budget gets three quarters of its tokens at the start and the rest later. Most
/// budgets get twice what they use. The last three get only 90, 60 and 40 percent of it,
/// so they are exhausted during the run.
fn purchases(scenario: Scenario, arrivals: &[Arrival]) -> Vec<Purchase> {
    let mut used = [0; BUDGETS];
    for arrival in arrivals {
        used[arrival.budget] += arrival.used;
    }
    let percent = |budget: usize| match budget {
        7 => 90,
        8 => 60,
        9 => 40,
        _ => 200,
    };
    (0..BUDGETS)
        .flat_map(|budget| {
            let quarter = used[budget] * percent(budget) / 400;
            let later = scenario.length() * 2 / 5;
            [(Duration::ZERO, 3 * quarter), (later, quarter)].map(|(at, amount)| Purchase {
                at,
                budget,
                amount,
            })
        })
        .collect()
}
