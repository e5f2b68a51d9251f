//! Decides operations on calls that may not be repeated.

use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::UpstreamId;

use crate::decide::Decision;
use crate::decide::LedgerChange;
use crate::operation::CallOutcome;
use crate::operation::OperationRefusal;
use crate::operation::OperationResult;
use crate::record::SegmentRecord;

impl LedgerChange<'_> {
    /// Claims a call. The claimant may ask again after a lost answer, so it has
    /// to see to it itself that it runs the call once.
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
            let own =
                self.ledger.number_of(sender) == Some(intent.claimant) && intent.attempt == attempt;
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
        let claimant = self.ledger.number_of(sender);
        let intent = self.ledger.intents.get(&request);
        // An end of an earlier claim may come late, and must not end this one.
        let intent =
            intent.filter(|intent| Some(intent.claimant) == claimant && intent.attempt == attempt);
        let intent = intent.ok_or(OperationRefusal::IntentUnknown)?;
        match &intent.outcome {
            Some((recorded, _)) if recorded == outcome => return Ok(OperationResult::Concluded),
            // The claimant may learn later what became of its call.
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
