//! Decides operations on non-repeatable calls.

use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::UpstreamId;

use crate::decide::Decision;
use crate::decide::RecordingLedger;
use crate::operation::CallOutcome;
use crate::operation::OperationRefusal;
use crate::operation::OperationResult;
use crate::record::SegmentRecord;

impl RecordingLedger<'_> {
    /// Claims a call.
    ///
    /// A claimant that repeats its claim after a lost answer is told again that
    /// it may execute the call, so it must itself ensure a single execution.
    pub(crate) fn intend(
        &mut self,
        sender: &IncarnationId,
        request: RequestId,
        attempt: OperationId,
        upstream: &UpstreamId,
        digest: [u8; 16],
    ) -> Decision {
        if let Some(intent) = self.ledger.intents.get(&request) {
            let outcome = intent.outcome.as_ref().map(|(outcome, _)| outcome.clone());
            let own = self.ledger.holder_number(sender) == Some(intent.claimant)
                && intent.attempt == attempt;
            let is_void = outcome == Some(CallOutcome::NotRun);
            if own && outcome.is_none() {
                self.check_sender(sender)?;
                return Ok(OperationResult::Intended);
            }
            if !is_void {
                return Ok(OperationResult::AlreadyIntended {
                    claimant: self.incarnation(intent.claimant),
                    upstream: intent.upstream.clone(),
                    digest: intent.digest,
                    outcome,
                });
            }
        }
        self.check_sender(sender)?;
        let claimant = self.open_holder(sender);
        self.record(SegmentRecord::Intend {
            request,
            claimant,
            attempt,
            upstream: upstream.clone(),
            digest,
        });
        Ok(OperationResult::Intended)
    }

    pub(crate) fn conclude(
        &mut self,
        sender: &IncarnationId,
        request: RequestId,
        attempt: OperationId,
        outcome: &CallOutcome,
    ) -> Decision {
        let claimant = self.ledger.holder_number(sender);
        let intent = self.ledger.intents.get(&request);
        // A delayed outcome of an earlier claim must not conclude the current one.
        let intent =
            intent.filter(|intent| Some(intent.claimant) == claimant && intent.attempt == attempt);
        let intent = intent.ok_or(OperationRefusal::IntentUnknown)?;
        match &intent.outcome {
            Some((recorded, _)) if recorded == outcome => return Ok(OperationResult::Concluded),
            // The claimant may learn the outcome of its call later.
            Some((CallOutcome::Unknown, _)) | None => {}
            Some(_) => return Err(OperationRefusal::IdReused),
        }
        self.check_sender(sender)?;
        self.record(SegmentRecord::Conclude {
            request,
            outcome: outcome.clone(),
        });
        Ok(OperationResult::Concluded)
    }
}
