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
    limiter.limits_changed(
        IndexMap::from([("w".parse().unwrap(), workspace)]),
        IndexMap::from([("p".parse().unwrap(), profile)]),
    );
    limiter
}

fn names() -> (WorkspaceId, ProfileName) {
    ("w".parse().unwrap(), "p".parse().unwrap())
}

#[test]
fn rate_is_kept_and_the_time_to_come_back_is_right() {
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
                let back = now + refusal.retry_after.unwrap() + Duration::from_micros(1);
                assert!(limiter.clone().admit(&workspace, &profile, back).is_ok());
            }
        }
    }
    assert_eq!(admitted, 14, "five at once and ten a second");
}

#[test]
fn refused_request_uses_up_nothing() {
    let now = Instant::now();
    let one_at_once = RateLimits {
        concurrent: Some(1),
        ..RateLimits::default()
    };
    let rate = RateLimits {
        requests_per_second: Some(1.0),
        burst: Some(2),
        concurrent: None,
    };
    let mut limiter = limiter(rate, one_at_once);
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
fn change_of_limits_keeps_what_is_in_progress() {
    let now = Instant::now();
    let mut limiter = RequestLimiter::new();
    let (workspace, profile) = names();
    let permit = limiter.admit(&workspace, &profile, now).unwrap();
    let one = RateLimits {
        concurrent: Some(1),
        ..RateLimits::default()
    };
    limiter.limits_changed(IndexMap::from([(workspace.clone(), one)]), IndexMap::new());
    assert!(limiter.admit(&workspace, &profile, now).is_err());
    limiter.release(permit);
    assert!(limiter.admit(&workspace, &profile, now).is_ok());
}
