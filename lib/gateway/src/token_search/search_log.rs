//! Inputs of a search for tokens, for the log line of a refused request.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of inputs that are logged for one request.
const MAX_INPUTS: usize = 12;

/// One input of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SearchInput {
    vm: SocketAddr,
    outcome: &'static str,
    /// Time from the question to the answer, or age of an earlier answer.
    time: Duration,
    is_known: bool,
}

/// Whom a request asked for tokens, what each answered, and what was known before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchLog(Vec<SearchInput>);

impl SearchLog {
    /// Adds the answer of a VM that was asked.
    pub fn add_answer(&mut self, vm: SocketAddr, outcome: &'static str, waited: Duration) {
        self.add(vm, outcome, waited, false);
    }

    /// Adds an answer to an earlier request, for which a VM was not asked again.
    pub fn add_known(&mut self, vm: SocketAddr, outcome: &'static str, age: Duration) {
        let is_same = |input: &SearchInput| input.is_known && input.vm == vm;
        if !self.0.iter().any(is_same) {
            self.add(vm, outcome, age, true);
        }
    }

    fn add(&mut self, vm: SocketAddr, outcome: &'static str, time: Duration, is_known: bool) {
        if self.0.len() < MAX_INPUTS {
            self.0.push(SearchInput {
                vm,
                outcome,
                time,
                is_known,
            });
        }
    }
}

impl fmt::Display for SearchLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, input) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            let label = if input.is_known { "age" } else { "waited" };
            let (vm, outcome, ms) = (input.vm, input.outcome, input.time.as_millis());
            write!(f, "{separator}{vm}={outcome},{label}_ms={ms}")?;
        }
        Ok(())
    }
}
