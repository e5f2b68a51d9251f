//! Reconstructs callers' attempts from their events.

use indexmap::IndexMap;
use snipegate_types::RequestId;
use snipegate_types::RunState;

use crate::event::AnswerUsage;
use crate::event::AttemptId;
use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::RequestNature;
use crate::violation::Violation;

/// An attempt by a caller to get a request answered.
#[derive(Clone, Debug)]
pub(crate) struct CallAttempt {
    pub request: RequestId,
    pub router: String,
    pub nature: RequestNature,
    pub sent_us: u64,
    pub end: Option<(u64, AttemptEnd)>,
}

/// Outcome of an attempt as observed by its caller.
#[derive(Clone, Debug)]
pub(crate) enum AttemptEnd {
    Answered {
        usage: Option<AnswerUsage>,
        text: String,
    },
    Refused(RunState),
    Broken,
    GaveUp,
    NotConnected,
}

impl CallAttempt {
    /// Returns whether the caller was told that the attempt was not run, or could
    /// not connect.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.end,
            Some((
                _,
                AttemptEnd::Refused(RunState::NotRun) | AttemptEnd::NotConnected
            ))
        )
    }
}

/// Collects the attempts and reports those that ended more than once.
pub(crate) fn collect_attempts(
    events: &[HistoryEvent],
    violations: &mut Vec<Violation>,
) -> IndexMap<AttemptId, CallAttempt> {
    let mut attempts = IndexMap::new();
    for event in events {
        if let EventKind::Sent {
            attempt,
            request,
            router,
            nature,
        } = &event.what
        {
            let call = CallAttempt {
                request: *request,
                router: router.clone(),
                nature: nature.clone(),
                sent_us: event.at_us,
                end: None,
            };
            attempts.insert(*attempt, call);
        }
    }
    for event in events {
        let Some((attempt, end)) = attempt_end(&event.what) else {
            continue;
        };
        if let Some(call) = attempts.get_mut(&attempt)
            && call.end.replace((event.at_us, end)).is_some()
        {
            violations.push(Violation::AttemptEndedTwice { attempt });
        }
    }
    attempts
}

/// Returns the outcome that an event records, with its attempt.
fn attempt_end(kind: &EventKind) -> Option<(AttemptId, AttemptEnd)> {
    match kind {
        EventKind::Answered {
            attempt,
            usage,
            text,
        } => {
            let text = text.clone();
            Some((
                *attempt,
                AttemptEnd::Answered {
                    usage: *usage,
                    text,
                },
            ))
        }
        EventKind::Refused { attempt, run, .. } => Some((*attempt, AttemptEnd::Refused(*run))),
        EventKind::Broken { attempt } => Some((*attempt, AttemptEnd::Broken)),
        EventKind::GaveUp { attempt } => Some((*attempt, AttemptEnd::GaveUp)),
        EventKind::NotConnected { attempt } => Some((*attempt, AttemptEnd::NotConnected)),
        _ => None,
    }
}
