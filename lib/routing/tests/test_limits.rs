//! Request limits of workspaces and profiles.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_routing::RateLimits;
use snipegate_routing::RefusalReason;
use snipegate_routing::RequestLimiter;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;

fn limiter(workspace: RateLimits, profile: RateLimits) -> RequestLimiter {
    let mut limiter = RequestLimiter::new();
    limiter.set_limits(
        IndexMap::from([("w".parse().unwrap(), workspace)]),
        IndexMap::from([("p".parse().unwrap(), profile)]),
    );
    limiter
}

fn names() -> (WorkspaceId, ProfileName) {
    ("w".parse().unwrap(), "p".parse().unwrap())
}

#[test]
fn rate_is_enforced_and_retry_after_suffices() {
    let start = Instant::now();
    let rate = RateLimits {
        requests_per_second: Some(10.0),
        burst: Some(5),
        concurrent: None,
    };
    let mut limiter = limiter(rate, RateLimits::default());
    let (workspace, profile) = names();
    let mut admitted = 0;
    for i in 0..1_000 {
        let now = start + Duration::from_millis(i);
        match limiter.admit(&workspace, &profile, now) {
            Ok(permit) => {
                admitted += 1;
                limiter.release(permit);
            }
            Err(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::WorkspaceRate);
                let retry_at = now + refusal.retry_after.unwrap() + Duration::from_micros(1);
                assert!(
                    limiter
                        .clone()
                        .admit(&workspace, &profile, retry_at)
                        .is_ok()
                );
            }
        }
    }
    assert_eq!(admitted, 14, "burst of 5 plus 10 per second");
}

#[test]
fn refused_request_does_not_consume_limits() {
    let now = Instant::now();
    let single_request = RateLimits {
        concurrent: Some(1),
        ..RateLimits::default()
    };
    let rate = RateLimits {
        requests_per_second: Some(1.0),
        burst: Some(2),
        concurrent: None,
    };
    let mut limiter = limiter(rate, single_request);
    let (workspace, profile) = names();
    let permit = limiter.admit(&workspace, &profile, now).unwrap();
    for _ in 0..10 {
        let refusal = limiter.admit(&workspace, &profile, now).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::ProfileConcurrency);
    }
    limiter.release(permit);
    assert!(limiter.admit(&workspace, &profile, now).is_ok());
}

#[test]
fn changing_limits_keeps_requests_in_progress() {
    let now = Instant::now();
    let mut limiter = RequestLimiter::new();
    let (workspace, profile) = names();
    let permit = limiter.admit(&workspace, &profile, now).unwrap();
    let one = RateLimits {
        concurrent: Some(1),
        ..RateLimits::default()
    };
    limiter.set_limits(IndexMap::from([(workspace.clone(), one)]), IndexMap::new());
    assert!(limiter.admit(&workspace, &profile, now).is_err());
    limiter.release(permit);
    assert!(limiter.admit(&workspace, &profile, now).is_ok());
}
