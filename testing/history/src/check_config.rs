//! Checks of the configuration that processes act on.

use std::time::Duration;

use indexmap::IndexMap;

use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::violation::Violation;

/// Checks that no process goes back, and that each change is in force within
/// `allowed` on every process that serves.
pub(crate) fn check_config(
    events: &[HistoryEvent],
    allowed: Duration,
    violations: &mut Vec<Violation>,
) {
    let accepted: Vec<(u64, u64)> = events
        .iter()
        .filter_map(|event| match &event.what {
            EventKind::ConfigAccepted { revision } => Some((event.at_us, *revision)),
            _ => None,
        })
        .collect();
    let mut highest: IndexMap<&str, u64> = IndexMap::new();
    for event in events {
        let EventKind::ConfigSeen {
            process,
            revision,
            serving,
        } = &event.what
        else {
            continue;
        };
        let last = highest.entry(process).or_default();
        if *revision < *last {
            violations.push(Violation::ConfigReverted {
                process: process.clone(),
                from: *last,
                to: *revision,
            });
        }
        *last = (*last).max(*revision);
        if !serving {
            continue;
        }
        let late = accepted.iter().find(|(at_us, accepted)| {
            let age = Duration::from_micros(event.at_us.saturating_sub(*at_us));
            accepted > revision && age > allowed
        });
        if let Some((at_us, accepted)) = late {
            violations.push(Violation::ConfigLate {
                process: process.clone(),
                accepted: *accepted,
                seen: *revision,
                after_ms: (event.at_us - at_us) / 1_000,
            });
        }
    }
}
