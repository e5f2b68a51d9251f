//! Counts and logs what shard keepers report.

use slog::info;
use slog::warn;
use snipegate_ledger::KeeperNotice;
use snipegate_service::DaemonContext;
use snipegate_types::ShardId;

/// Counts a notice, and logs it where it is a change of state.
pub(crate) fn report(context: &DaemonContext, shard: ShardId, notice: &KeeperNotice) {
    let kind: &'static str = notice.into();
    context.metrics.count_tagged("ledger.notice", kind);
    let logger = &context.logger;
    let shard = shard.to_string();
    match notice {
        KeeperNotice::Committed {
            bytes, operations, ..
        } => {
            context.metrics.add("ledger.segment.bytes", *bytes as i64);
            context
                .metrics
                .add("ledger.segment.operations", *operations as i64);
        }
        KeeperNotice::TookOver { sequence } => {
            info!(logger, "shard taken over"; "shard" => shard, "sequence" => sequence.0);
        }
        KeeperNotice::LostShard { writer } => {
            warn!(logger, "shard taken by another keeper";
                "shard" => shard, "writer" => writer.to_string());
        }
        KeeperNotice::SteppedDown => info!(logger, "shard let go"; "shard" => shard),
        KeeperNotice::StoreFailed { .. } => {
            warn!(logger, "store failed"; "shard" => shard);
        }
        KeeperNotice::StoreRecovered => info!(logger, "store recovered"; "shard" => shard),
        KeeperNotice::LogUnreadable => {
            warn!(logger, "shard's log not readable"; "shard" => shard);
        }
        KeeperNotice::Reclaimed { holder } => {
            info!(logger, "holder reclaimed";
                "shard" => shard, "holder" => holder.to_string());
        }
        KeeperNotice::Snapshotted { through, bytes } => {
            info!(logger, "snapshot written";
                "shard" => shard, "through" => through.0, "bytes" => *bytes);
        }
    }
}
