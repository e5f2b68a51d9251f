//! What all VMs together, and this VM, may send to a cold upstream.

use snipegate_types::RequestRate;

use crate::config::ColdRule;
use crate::config::ColdTolerance;
use crate::rate_share::ShareView;
use crate::rate_share::own_share_among;
use crate::send_pacer::PacedShare;

/// Fraction of its share of the rate that a partition uses if it is too small to have one of the
/// senders. Each small partition has a sender of its own, and these are not coordinated.
const ISOLATED_RATE_FRACTION: f64 = 0.5;

/// Limit on the requests that all VMs together send to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Rate that is divided among the VMs.
    pub rate: RequestRate,
    /// Maximum number of VMs that send.
    pub senders: usize,
    /// Maximum number of requests in any one second.
    pub bound: f64,
}

impl ColdLimit {
    /// Returns the limit for a service.
    ///
    /// In one second, k senders of a rate L send up to L + k requests. A second sender for
    /// each is allowed for, since senders may change before all VMs agree on them.
    pub fn new(rule: &ColdRule, tolerance: &ColdTolerance) -> Self {
        let bound = rule.rate.0 * tolerance.overrun + tolerance.slack;
        let senders = (((bound - rule.rate.0) / 2.0).max(1.0) as usize).max(1);
        let rate = rule
            .rate
            .0
            .min((bound - 2.0 * senders as f64).max(bound / 4.0));
        Self {
            rate: RequestRate(rate),
            // A bound below 1 permits no request.
            senders: if bound < 1.0 { 0 } else { senders },
            bound,
        }
    }
}

/// Returns this VM's share of a limit, or `None` if other VMs send.
///
/// `phase` is a value from 0 to 1, different for each VM. VMs that hear fewer others than the
/// number of senders allows for share no sender with the rest of the fleet. They send at a
/// lower rate, and begin at different times, since they may all have been cut off at once.
pub fn cold_share(limit: &ColdLimit, view: ShareView, phase: f64) -> Option<PacedShare> {
    if limit.senders == 0 {
        return None;
    }
    let known = view.known.max(view.live);
    let senders = limit.senders * view.live / known;
    let is_majority = view.live * 2 > known;
    if senders == 0 && !is_majority {
        let rate = RequestRate(limit.rate.0 * ISOLATED_RATE_FRACTION);
        return own_share_among(rate, view, 1).map(|rate| PacedShare { rate, phase });
    }
    let rate = own_share_among(limit.rate, view, senders.max(1))?;
    Some(PacedShare { rate, phase: 1.0 })
}
