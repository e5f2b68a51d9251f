//! Checks the configuration that processes use.

use std::time::Duration;

use indexmap::IndexMap;

use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::violation::Violation;

/// Checks that no process reverts to an older configuration and that every
/// serving process uses each change within `allowed` after it was accepted.
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
        let outdated = accepted.iter().find(|(at_us, accepted)| {
            let age = Duration::from_micros(event.at_us.saturating_sub(*at_us));
            accepted > revision && age > allowed
        });
        if let Some((at_us, accepted)) = outdated {
            violations.push(Violation::ConfigOutdated {
                process: process.clone(),
                accepted: *accepted,
                seen: *revision,
                after_ms: (event.at_us - at_us) / 1_000,
            });
        }
    }
}
