//! Arrivals and faults of one scenario, the same for every policy.

use std::time::Duration;

use fastrand::Rng;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Routers, two in each data centre.
pub const ROUTERS: usize = 6;

/// Data centres.
pub const PLACES: usize = 3;

/// Workspaces, each with one budget.
pub const BUDGETS: usize = 10;

/// Requests in one run.
const REQUESTS: u64 = 100_000;

/// Hosts that send a workspace's requests, each near one data centre.
const HOSTS: usize = 4;

/// Time for which a host keeps the address of one router.
const ADDRESS_KEPT: Duration = Duration::from_secs(600);

/// Share of the requests that come from the first budget, in percent.
const LARGE_PERCENT: u8 = 30;

/// Share of them during the Carnaval peak.
const PEAK_PERCENT: u8 = 75;

const MINUTE: Duration = Duration::from_secs(60);

/// What happens besides the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// Nothing, for an hour.
    Steady,
    /// One workspace has most of the load for 20 minutes of an hour.
    Carnaval,
    /// The third data centre is cut off for an hour out of 80 minutes.
    Partition,
    /// The configuration store is out for 10 minutes of an hour.
    StoreOutage,
    /// Every VM is stopped and replaced in turn, two minutes apart.
    Restarts,
}

impl Scenario {
    pub fn length(self) -> Duration {
        match self {
            Scenario::Partition => 80 * MINUTE,
            _ => 60 * MINUTE,
        }
    }

    /// Returns whether the third data centre is cut off at `time`.
    pub fn is_split(self, time: Duration) -> bool {
        self == Scenario::Partition && (10 * MINUTE..70 * MINUTE).contains(&time)
    }

    /// Returns whether the store is out at `time`.
    pub fn is_store_out(self, time: Duration) -> bool {
        self == Scenario::StoreOutage && (20 * MINUTE..30 * MINUTE).contains(&time)
    }

    /// Returns the router that is replaced at `time`, if one is.
    pub fn restarted(self, before: Duration, time: Duration) -> Option<usize> {
        let turn = |router: usize| (10 + 2 * router as u32) * MINUTE;
        (self == Scenario::Restarts)
            .then(|| (0..ROUTERS).find(|&router| before < turn(router) && turn(router) <= time))
            .flatten()
    }

    fn is_peak(self, time: Duration) -> bool {
        self == Scenario::Carnaval && (20 * MINUTE..40 * MINUTE).contains(&time)
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub router: usize,
    pub budget: usize,
    pub worst_case: u64,
    pub used: u64,
    pub runs: Duration,
}

/// Tokens added to a budget.
#[derive(Clone, Copy, Debug)]
pub struct Purchase {
    pub at: Duration,
    pub budget: usize,
    pub amount: u64,
}

/// All that a policy has to deal with.
#[derive(Clone, Debug)]
pub struct Workload {
    pub scenario: Scenario,
    pub arrivals: Vec<Arrival>,
    pub purchases: Vec<Purchase>,
}

impl Workload {
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
                    *until = at + ADDRESS_KEPT.mul_f64(0.5 + rng.f64());
                    *router = Some(host % PLACES + PLACES * rng.usize(0..ROUTERS / PLACES));
                }
                let prompt = rng.u64(50..800);
                let most = [128, 256, 512, 1024][rng.usize(0..4)];
                Arrival {
                    at,
                    router: router.unwrap_or_default(),
                    budget,
                    worst_case: prompt + most,
                    used: prompt + rng.u64(most / 8..=most),
                    runs: Duration::from_millis(rng.u64(300..6000)),
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

fn choose_budget(scenario: Scenario, at: Duration, rng: &mut Rng) -> usize {
    let large = match scenario.is_peak(at) {
        true => PEAK_PERCENT,
        false => LARGE_PERCENT,
    };
    match rng.u8(0..100) < large {
        true => 0,
        false => rng.usize(1..BUDGETS),
    }
}

/// Buys for each budget three quarters at the start and the rest later: most
/// get twice what they use, and the last three run dry at 90, 60 and 40 parts
/// of a hundred of their use.
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
