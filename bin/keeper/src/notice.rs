//! Metrics and log lines for the notices of shard keepers.

use slog::info;
use slog::warn;
use snipegate_ledger::KeeperNotice;
use snipegate_service::DaemonContext;
use snipegate_types::ShardId;

/// Counts a notice, and logs it unless it is a commit.
pub(crate) fn report_notice(context: &DaemonContext, shard: ShardId, notice: &KeeperNotice) {
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
        KeeperNotice::SteppedDown => info!(logger, "shard released"; "shard" => shard),
        KeeperNotice::StoreFailed { .. } => {
            warn!(logger, "call to the store failed"; "shard" => shard);
        }
        KeeperNotice::StoreRecovered => info!(logger, "store available again"; "shard" => shard),
        KeeperNotice::LogUnreadable => {
            warn!(logger, "shard log is incomplete or corrupt"; "shard" => shard);
        }
        KeeperNotice::Reclaimed { holder } => {
            info!(logger, "holdings of closing holder reclaimed";
                "shard" => shard, "holder" => holder.to_string());
        }
        KeeperNotice::Snapshotted { through, bytes } => {
            info!(logger, "snapshot written";
                "shard" => shard, "through" => through.0, "bytes" => *bytes);
        }
    }
}
