//! Sends batches of ledger operations to the keeper of their shard.

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

/// Maximum time for a keeper to answer a batch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum delay before a batch is sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client that finds the keeper of a shard and posts batches to it.
#[derive(Default)]
pub struct LedgerClient {
    client: MessageClient,
    /// Keepers named in `NotKeeper` answers, kept until a call to them fails or is redirected.
    redirects: RefCell<HashMap<ShardId, IncarnationId>>,
}

impl LedgerClient {
    /// Creates a client that has received no redirects yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the address of the shard's keeper; a redirect takes precedence over the view.
    fn keeper_address(&self, view: &FleetView, shard: ShardId) -> Option<SocketAddr> {
        let redirect = self.redirects.borrow().get(&shard).cloned();
        redirect
            .and_then(|keeper| view.peer_address(&keeper))
            .or_else(|| Some(view.shard_owner(shard)?.record.peer()))
    }

    /// Sends a batch once and follows at most one redirect to another keeper.
    ///
    /// # Errors
    ///
    /// Fails if the call fails. If no keeper is known, nothing is sent.
    pub async fn post(
        &self,
        view: &FleetView,
        batch: &LedgerBatch,
    ) -> Result<LedgerAnswer, CallError> {
        let first = self
            .keeper_address(view, batch.shard)
            .ok_or(CallError::NotSent)?;
        let answer = self.send(first, batch).await;
        match &answer {
            Ok(LedgerAnswer::NotKeeper { keeper }) => {
                self.redirects.borrow_mut().remove(&batch.shard);
                let Some(keeper) = keeper else { return answer };
                let Some(address) = view.peer_address(keeper) else {
                    return answer;
                };
                self.redirects
                    .borrow_mut()
                    .insert(batch.shard, keeper.clone());
                self.send(address, batch).await
            }
            Err(_) => {
                self.redirects.borrow_mut().remove(&batch.shard);
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
            .call(address, LEDGER_PATH, batch, ANSWER_TIMEOUT)
            .await
    }

    /// Sends a batch repeatedly until it has results or the next retry would not start
    /// before `until`.
    ///
    /// Operations are idempotent, so a batch whose reply was lost is sent again unchanged.
    /// Returns `None` if it remains unknown whether the operations take effect.
    pub async fn post_until(
        &self,
        view: impl Fn() -> std::sync::Arc<FleetView>,
        batch: &LedgerBatch,
        clock: &dyn TimeSource,
        until: Instant,
    ) -> Option<Vec<snipegate_ledger::OperationResult>> {
        loop {
            let delay = match self.post(&view(), batch).await {
                Ok(LedgerAnswer::Results(results)) => return Some(results),
                Ok(LedgerAnswer::Undecided { retry_after_ms }) => {
                    Duration::from_millis(retry_after_ms).max(MIN_RETRY_DELAY)
                }
                Ok(LedgerAnswer::NotKeeper { .. }) | Err(_) => MIN_RETRY_DELAY,
            };
            if clock.now() + delay >= until {
                return None;
            }
            sleep(delay).await;
        }
    }
}
