//! Register of the non-repeatable calls that this router has started.

use std::collections::HashMap;

use snipegate_ledger::CallOutcome;
use snipegate_types::RequestId;

/// Digest of a call, which distinguishes a retry from a different call with the same key.
pub type CallDigest = [u8; 16];

/// Result of registering a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterResult {
    /// The call is not registered; whether it may run depends on its ledger intent.
    New,
    /// The call is in progress on this router.
    Running,
    /// The call ended on this router, but the ledger may not have its outcome yet.
    Ended(CallOutcome),
    /// The request id belongs to a different call.
    Reused,
}

#[derive(Debug)]
struct RegisteredCall {
    digest: CallDigest,
    outcome: Option<CallOutcome>,
}

/// Calls from their start until their outcome is in the ledger.
///
/// The ledger treats a second intent by the same router as a duplicate of the first,
/// so two calls with the same id on this router have to be distinguished here.
#[derive(Debug, Default)]
pub struct CallRegister {
    calls: HashMap<RequestId, RegisteredCall>,
}

impl CallRegister {
    /// Registers a call unless it is already registered.
    pub fn begin(&mut self, request: RequestId, digest: CallDigest) -> RegisterResult {
        match self.calls.get(&request) {
            None => {
                let call = RegisteredCall {
                    digest,
                    outcome: None,
                };
                self.calls.insert(request, call);
                RegisterResult::New
            }
            Some(call) if call.digest != digest => RegisterResult::Reused,
            Some(RegisteredCall { outcome: None, .. }) => RegisterResult::Running,
            Some(RegisteredCall {
                outcome: Some(outcome),
                ..
            }) => RegisterResult::Ended(outcome.clone()),
        }
    }

    /// Records the outcome of a call.
    pub fn end(&mut self, request: RequestId, outcome: CallOutcome) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.outcome = Some(outcome);
        }
    }

    /// Removes a call whose outcome is in the ledger, or that was never claimed.
    pub fn forget(&mut self, request: RequestId) {
        self.calls.remove(&request);
    }

    /// Returns the number of registered calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is registered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
