//! How long recent streams lasted.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Time that one tally covers; the tally before it counts as well.
const TALLY_PERIOD: Duration = Duration::from_secs(30);

/// Maximum number of routes; routes that are new when it is reached are not tallied.
const MAX_ROUTES: usize = 256;

/// The longest streams of one route in two periods.
#[derive(Clone, Copy, Debug)]
struct RouteTally {
    since: Instant,
    longest: Duration,
    /// The longest of the period before.
    before: Option<Duration>,
}

/// The longest recent streams by the path prefix of their route.
#[derive(Debug, Default)]
pub struct StreamDurations {
    routes: IndexMap<Box<str>, RouteTally>,
}

impl StreamDurations {
    /// Records a complete stream.
    pub fn record(&mut self, route: &str, duration: Duration, now: Instant) {
        if let Some(tally) = self.routes.get_mut(route) {
            tally.record(duration, now);
        } else if self.routes.len() < MAX_ROUTES {
            let tally = RouteTally {
                since: now,
                longest: duration,
                before: None,
            };
            self.routes.insert(route.into(), tally);
        }
    }

    /// Returns how long the longest recent stream of a route lasted, if there was one.
    pub fn longest(&self, route: &str, now: Instant) -> Option<Duration> {
        let tally = self.routes.get(route)?;
        match tally.age(now) {
            0 => Some(tally.longest.max(tally.before.unwrap_or_default())),
            1 => Some(tally.longest),
            _ => None,
        }
    }
}

impl RouteTally {
    /// Returns the number of whole periods since the tally began.
    fn age(&self, now: Instant) -> u128 {
        now.saturating_duration_since(self.since).as_millis() / TALLY_PERIOD.as_millis()
    }

    fn record(&mut self, duration: Duration, now: Instant) {
        let age = self.age(now);
        if age == 0 {
            self.longest = self.longest.max(duration);
            return;
        }
        self.before = (age == 1).then_some(self.longest);
        self.since = now;
        self.longest = duration;
    }
}
