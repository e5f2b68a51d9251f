//! Calls that may not be repeated, as far as this router began them.

use std::collections::HashMap;

use snipegate_ledger::CallOutcome;
use snipegate_types::RequestId;

/// Digest of a call, to tell a retry from another call with its key.
pub type CallDigest = [u8; 16];

/// Whether a call may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStart {
    /// It is not known here; its intent decides.
    New,
    /// It is in progress here.
    Running,
    /// It ended here, and the ledger may not know yet.
    Ended(CallOutcome),
    /// Its id was used for another call.
    Reused,
}

#[derive(Debug)]
struct KnownCall {
    digest: CallDigest,
    outcome: Option<CallOutcome>,
}

/// Calls from their beginning until the ledger holds their end.
///
/// The ledger takes a repeated intent of the same router for the first one, so
/// two calls with one id at this router have to be told apart here.
#[derive(Debug, Default)]
pub struct CallRegister {
    calls: HashMap<RequestId, KnownCall>,
}

impl CallRegister {
    /// Begins a call if it is not known.
    pub fn begin(&mut self, request: RequestId, digest: CallDigest) -> CallStart {
        match self.calls.get(&request) {
            None => {
                let call = KnownCall {
                    digest,
                    outcome: None,
                };
                self.calls.insert(request, call);
                CallStart::New
            }
            Some(known) if known.digest != digest => CallStart::Reused,
            Some(KnownCall { outcome: None, .. }) => CallStart::Running,
            Some(KnownCall {
                outcome: Some(outcome),
                ..
            }) => CallStart::Ended(outcome.clone()),
        }
    }

    /// Notes how a call ended.
    pub fn end(&mut self, request: RequestId, outcome: CallOutcome) {
        if let Some(known) = self.calls.get_mut(&request) {
            known.outcome = Some(outcome);
        }
    }

    /// Forgets a call whose end the ledger holds, or that was never claimed.
    pub fn forget(&mut self, request: RequestId) {
        self.calls.remove(&request);
    }

    /// Returns how many calls are known.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether no call is known.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
