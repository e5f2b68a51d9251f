//! Callers' attempts, put together from their events.

use indexmap::IndexMap;
use snipegate_types::RequestId;
use snipegate_types::RunState;

use crate::event::AnswerUsage;
use crate::event::AttemptId;
use crate::event::EventKind;
use crate::event::HistoryEvent;
use crate::event::RequestNature;
use crate::violation::Violation;

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallAttempt {
    pub request: RequestId,
    pub router: String,
    pub nature: RequestNature,
    pub sent_us: u64,
    pub end: Option<(u64, AttemptEnd)>,
}

/// How an attempt ended, as its caller saw it.
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
    /// Tells whether the caller knows that this attempt ran nothing.
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

/// Puts attempts together; notes those that ended twice.
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
        let Some((attempt, end)) = read_end(&event.what) else {
            continue;
        };
        if let Some(call) = attempts.get_mut(&attempt)
            && call.end.replace((event.at_us, end)).is_some()
        {
            violations.push(Violation::EndedTwice { attempt });
        }
    }
    attempts
}

fn read_end(what: &EventKind) -> Option<(AttemptId, AttemptEnd)> {
    match what {
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
