//! Checks that callers got their own answers, complete.

use indexmap::IndexMap;

use crate::attempts::AttemptEnd;
use crate::attempts::CallAttempt;
use crate::event::AttemptId;
use crate::event::RequestNature;
use crate::violation::Violation;

/// Checks the tokens and the length of each chat answer.
pub(crate) fn check_answers(
    attempts: &IndexMap<AttemptId, CallAttempt>,
    violations: &mut Vec<Violation>,
) {
    for (&attempt, call) in attempts {
        let Some((_, AttemptEnd::Answered { text, .. })) = &call.end else {
            continue;
        };
        let RequestNature::Chat {
            marker,
            digest,
            tokens,
        } = &call.nature
        else {
            continue;
        };
        let mut came = 0;
        for token in text.split_whitespace() {
            if token != format!("{marker}/{came}/{digest}") {
                let token = token.to_owned();
                violations.push(Violation::UnexpectedToken { attempt, token });
                break;
            }
            came += 1;
        }
        if came != *tokens {
            violations.push(Violation::AnswerLengthMismatch {
                attempt,
                received: came,
                expected: *tokens,
            });
        }
    }
}
