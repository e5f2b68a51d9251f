//! The faults of a run, drawn from its seed.

use std::time::Duration;

use fastrand::Rng;
use snipegate_standin_site::RunnerScript;
use snipegate_standin_site::StoreFault;
use snipegate_types::RequestRate;

use crate::link::LinkFault;

/// Number of planned faults per second, without rate limits.
const FAULTS_PER_SECOND: f64 = 0.9;

/// Shortest and longest duration of a fault.
const FAULT_DURATIONS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2500));

/// Time after its entry in the store changes until a leaving upstream must get no new
/// requests.
pub const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time after the first response that advertises a rate limit until the limit applies to
/// the whole fleet.
pub const RATE_LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of rate limits drawn per second.
const RATE_LIMITS_PER_SECOND: f64 = 0.25;

/// How long an upstream advertises a rate limit after [`RATE_LIMIT_PROPAGATION_TIME`] has
/// passed.
const RATE_LIMIT_DURATION: Duration = Duration::from_secs(5);

/// Mixed into the seed for rate limits. Their separate generator leaves the draws of the
/// other faults unchanged.
const RATE_LIMIT_SEED_MASK: u64 = 0x7261_7465;

/// Mixed into the seed for the returns of the store from an older copy.
const STORE_RETURN_SEED_MASK: u64 = 0x7265_7475;

/// Maximum number of these returns.
const MAX_STORE_RETURNS: usize = 2;

/// Mixed into the seed for the faults while prompts crash upstreams.
const CRASH_PHASE_SEED_MASK: u64 = 0x6372_6173;

/// Maximum number of these faults.
const CRASH_PHASE_FAULTS: usize = 4;

/// An injected fault or an operator's action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// A process is killed, and restarted at the end.
    Kill(usize),
    /// All processes are killed, and restarted at the end.
    KillAll,
    /// A process is paused until the end.
    Pause(usize),
    /// A process is stopped gracefully, and restarted once it has ended.
    Stop(usize),
    /// A VM's link to the store has a fault until the end.
    StoreLink(usize, LinkFault),
    /// A VM's connections to the store are reset.
    StoreReset(usize),
    /// The store has a fault until the end.
    Store(StoreFault),
    /// The store is copied, and comes back from the copy at the end.
    StoreReturn,
    /// The callers' connections to a VM are reset.
    CallerReset(usize),
    /// The callers' link to a VM has a fault until the end.
    CallerLink(usize, LinkFault),
    /// The link to an upstream has a fault until the end.
    UpstreamLink(usize, LinkFault),
    /// An upstream follows another script until the end.
    UpstreamScript(usize, RunnerScript),
    /// An upstream is draining until the end.
    Drain(usize),
    /// An upstream advertises a rate limit until the end. It applies to all VMs together.
    RateLimit(usize, RequestRate),
    /// The operator writes a new configuration.
    Config,
}

impl SoakFault {
    /// Returns whether this is planned work, which is no excuse for a violation.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Drain(_) | Self::RateLimit(..) | Self::Config
        )
    }

    /// Returns whether this restarts, pauses or cuts off VMs.
    pub fn interrupts_vms(self) -> bool {
        matches!(
            self,
            Self::Kill(_) | Self::KillAll | Self::Pause(_) | Self::StoreLink(..)
        )
    }

    /// Returns the affected VM, or `None` if all VMs are affected.
    pub fn vm(self) -> Option<usize> {
        match self {
            Self::Kill(vm) | Self::Pause(vm) | Self::Stop(vm) => Some(vm),
            Self::StoreLink(vm, _) | Self::CallerLink(vm, _) => Some(vm),
            Self::StoreReset(vm) | Self::CallerReset(vm) => Some(vm),
            _ => None,
        }
    }
}

/// A fault and its times, relative to the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// When it ends.
    pub until: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// The faults of a run, in the order in which they begin.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a run of this duration with this many VMs and upstreams.
    pub fn new(seed: u64, vms: usize, upstreams: usize, duration: Duration) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = (duration.as_secs_f64() * FAULTS_PER_SECOND) as usize;
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|_| {
                let at = duration.mul_f64(rng.f64());
                let length =
                    FAULT_DURATIONS.0 + (FAULT_DURATIONS.1 - FAULT_DURATIONS.0).mul_f64(rng.f64());
                let fault = draw_fault(&mut rng, vms, upstreams);
                let length = match fault {
                    // Leaves time to observe requests that are sent too late.
                    SoakFault::Drain(_) => length + DRAIN_PROPAGATION_TIME,
                    _ => length,
                };
                let until = (at + length).min(duration);
                PlannedFault { at, until, fault }
            })
            .collect();
        faults.extend(draw_rate_limits(seed, upstreams, duration));
        faults.extend(draw_store_returns(seed, duration));
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

/// Draws the faults while prompts crash upstreams: of VMs, their links and the store only.
pub fn draw_crash_phase(seed: u64, vms: usize, duration: Duration) -> FaultPlan {
    let mut rng = Rng::with_seed(seed ^ CRASH_PHASE_SEED_MASK);
    let mut faults: Vec<PlannedFault> = (0..rng.usize(..=CRASH_PHASE_FAULTS))
        .map(|_| {
            let at = duration.mul_f64(0.6 * rng.f64());
            let length =
                FAULT_DURATIONS.0 + (FAULT_DURATIONS.1 - FAULT_DURATIONS.0).mul_f64(rng.f64());
            let vm = rng.usize(..vms);
            let fault = match rng.u32(..6) {
                0 | 1 => SoakFault::Kill(vm),
                2 => SoakFault::KillAll,
                3 => SoakFault::Pause(vm),
                4 => SoakFault::StoreLink(vm, draw_link_fault(&mut rng)),
                _ => SoakFault::Store(draw_store_fault(&mut rng)),
            };
            let until = at + length;
            PlannedFault { at, until, fault }
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    FaultPlan { faults }
}

/// Draws the rate limits of upstreams, at most one for each upstream.
fn draw_rate_limits(seed: u64, upstreams: usize, duration: Duration) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed ^ RATE_LIMIT_SEED_MASK);
    let count = (duration.as_secs_f64() * RATE_LIMITS_PER_SECOND) as usize;
    let mut planned: Vec<PlannedFault> = Vec::new();
    let mut limited: Vec<usize> = Vec::new();
    for _ in 0..count {
        let at = duration.mul_f64(rng.f64());
        let rate = RequestRate(rng.f64() * 6.0);
        let upstream = rng.usize(..upstreams);
        if limited.contains(&upstream) {
            continue;
        }
        limited.push(upstream);
        planned.push(PlannedFault {
            at,
            until: (at + RATE_LIMIT_PROPAGATION_TIME + RATE_LIMIT_DURATION).min(duration),
            fault: SoakFault::RateLimit(upstream, rate),
        });
    }
    planned
}

/// Draws the returns of the store from an older copy.
fn draw_store_returns(seed: u64, duration: Duration) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed ^ STORE_RETURN_SEED_MASK);
    let count = rng.usize(..=MAX_STORE_RETURNS);
    let (shortest, longest) = FAULT_DURATIONS;
    (0..count)
        .map(|_| {
            let at = duration.mul_f64(rng.f64());
            let age = shortest + (longest - shortest).mul_f64(rng.f64());
            PlannedFault {
                at,
                until: (at + age).min(duration),
                fault: SoakFault::StoreReturn,
            }
        })
        .collect()
}

fn draw_fault(rng: &mut Rng, vms: usize, upstreams: usize) -> SoakFault {
    let vm = rng.usize(..vms);
    let upstream = rng.usize(..upstreams);
    match rng.u32(..20) {
        0 | 1 => SoakFault::Kill(vm),
        2 => SoakFault::KillAll,
        3 | 4 => SoakFault::Pause(vm),
        5..=7 => SoakFault::Stop(vm),
        8 => SoakFault::StoreLink(vm, draw_link_fault(rng)),
        9 => SoakFault::StoreReset(vm),
        10 | 11 => SoakFault::Store(draw_store_fault(rng)),
        12 => SoakFault::CallerReset(vm),
        13 => SoakFault::CallerLink(vm, draw_link_fault(rng)),
        14 => SoakFault::UpstreamLink(upstream, draw_link_fault(rng)),
        15 | 16 => SoakFault::UpstreamScript(upstream, draw_script(rng)),
        17 | 18 => SoakFault::Drain(upstream),
        _ => SoakFault::Config,
    }
}

fn draw_link_fault(rng: &mut Rng) -> LinkFault {
    match rng.u32(..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.u64(5..150))),
        1 => LinkFault::DropToTarget,
        2 => LinkFault::DropToClient,
        _ => LinkFault::DropAll,
    }
}

fn draw_store_fault(rng: &mut Rng) -> StoreFault {
    match rng.u32(..7) {
        0 => StoreFault::Busy,
        1 => StoreFault::RateLimited,
        2 => StoreFault::Silent,
        3 => StoreFault::ResponseLost,
        4 => StoreFault::ExecuteLater(Duration::from_millis(rng.u64(50..1500))),
        5 => StoreFault::WatchSilent,
        _ => StoreFault::Compacted,
    }
}

fn draw_script(rng: &mut Rng) -> RunnerScript {
    match rng.u32(..8) {
        0 => RunnerScript::Truncate,
        1 => RunnerScript::Fail,
        2 => RunnerScript::Refuse,
        3 => RunnerScript::Misdirected,
        4 => RunnerScript::Close,
        5 => RunnerScript::Reset,
        6 => RunnerScript::Silent,
        _ => RunnerScript::TruncateStream(1),
    }
}
