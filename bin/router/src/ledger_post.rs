//! Sends batches of ledger operations to the shard's keeper.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ntex::time::sleep;
use snipegate_fleet::FleetView;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;
use snipegate_types::TimeSource;

/// How long a keeper may take to answer a batch.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Pause before a batch is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Finds keepers and posts batches to them.
#[derive(Default)]
pub struct LedgerPost {
    client: MessageClient,
    /// Keepers that others named, until they turn out wrong.
    named: RefCell<HashMap<ShardId, IncarnationId>>,
}

impl LedgerPost {
    /// Makes a poster that knows no keepers yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn keeper(&self, view: &FleetView, shard: ShardId) -> Option<SocketAddr> {
        let named = self.named.borrow().get(&shard).cloned();
        named
            .and_then(|keeper| view.peer_address(&keeper))
            .or_else(|| Some(view.shard_owner(shard)?.record.peer()))
    }

    /// Sends a batch once; follows one hint to another keeper.
    ///
    /// # Errors
    ///
    /// Fails as the call does; without a known keeper nothing was sent.
    pub async fn post(
        &self,
        view: &FleetView,
        batch: &LedgerBatch,
    ) -> Result<LedgerAnswer, CallError> {
        let first = self.keeper(view, batch.shard).ok_or(CallError::NotSent)?;
        let answer = self.send(first, batch).await;
        match &answer {
            Ok(LedgerAnswer::NotKeeper { keeper }) => {
                self.named.borrow_mut().remove(&batch.shard);
                let Some(named) = keeper else { return answer };
                let Some(address) = view.peer_address(named) else {
                    return answer;
                };
                self.named.borrow_mut().insert(batch.shard, named.clone());
                self.send(address, batch).await
            }
            Err(_) => {
                self.named.borrow_mut().remove(&batch.shard);
                answer
            }
            Ok(_) => answer,
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        batch: &LedgerBatch,
    ) -> Result<LedgerAnswer, CallError> {
        self.client
            .call(address, LEDGER_PATH, batch, ANSWER_WAIT)
            .await
    }

    /// Sends a batch again and again until it has results or `until` has passed.
    ///
    /// Operations are idempotent, so a batch whose reply was lost is sent again
    /// as it is. Returns `None` where it stays open whether they take effect.
    pub async fn post_until(
        &self,
        view: impl Fn() -> std::sync::Arc<FleetView>,
        batch: &LedgerBatch,
        clock: &dyn TimeSource,
        until: Instant,
    ) -> Option<Vec<snipegate_ledger::OperationResult>> {
        loop {
            let pause = match self.post(&view(), batch).await {
                Ok(LedgerAnswer::Results(results)) => return Some(results),
                Ok(LedgerAnswer::Undecided { retry_after_ms }) => {
                    Duration::from_millis(retry_after_ms).max(RETRY_PAUSE)
                }
                Ok(LedgerAnswer::NotKeeper { .. }) | Err(_) => RETRY_PAUSE,
            };
            if clock.now() + pause >= until {
                return None;
            }
            sleep(pause).await;
        }
    }
}
