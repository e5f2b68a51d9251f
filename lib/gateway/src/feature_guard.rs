//! Keeps requests with features that crash upstreams from being sent: connects [`FeatureTable`]
//! with requests, the other VMs and the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_types::ResultCode;
use snipegate_types::VmId;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::crash_probe::PendingProbes;
use crate::feature_table::FeatureChange;
use crate::feature_table::FeatureNews;
use crate::feature_table::FeatureTable;
use crate::gateway::Gateway;
use crate::gossip::gossip_spacing;
use crate::known_crashes::EvidenceView;
use crate::known_crashes::UpstreamRun;
use crate::quarantine::ActiveQuarantine;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineState;
use crate::refusal::Refusal;
use crate::request_feature::RequestFeature;
use crate::upstream::UpstreamEntry;

/// Time beyond two rounds of gossip in which other VMs can tell of an answer to blamed features.
const OBJECTION_SLACK: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long a request waits for the claim of a trial.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a VM's protection from requests that crash upstreams.
#[derive(Default)]
pub struct FeatureGuard {
    /// What is known and refused.
    pub table: RefCell<FeatureTable>,
    /// Notified when the quarantine has changed or a trial is to be claimed.
    pub quarantine_changed: Notify,
    /// Whether the stored quarantine has been read.
    pub is_quarantine_known: Cell<bool>,
    /// Trials that wait to be claimed in the store.
    pub trial_claims: RefCell<Vec<TrialClaim>>,
    /// Upstreams that are being probed after a connection broke.
    pub pending_probes: RefCell<PendingProbes>,
}

/// Claim of a trial of quarantined features; only one VM's claim succeeds.
pub struct TrialClaim {
    /// The record that has to be in force, in the store too.
    pub record: QuarantineRecord,
    /// Receives whether the claim succeeded.
    pub outcome: oneshot::Sender<bool>,
}

/// What a change of the refused features follows from.
#[derive(Clone, Copy, Debug)]
pub enum FeatureSource<'a> {
    /// Crashes and answers that are known.
    Evidence,
    /// The answer to this request.
    Answer(&'a str),
    /// News of another VM.
    Vm(&'a VmId),
    /// The store.
    Store,
    /// The claim of a trial.
    Trial,
}

impl FeatureSource<'_> {
    fn label(self) -> &'static str {
        match self {
            FeatureSource::Evidence => "evidence",
            FeatureSource::Answer(_) => "answer",
            FeatureSource::Vm(_) => "vm",
            FeatureSource::Store => "store",
            FeatureSource::Trial => "trial",
        }
    }
}

/// Returns the refusal of a request whose features are refused.
pub fn refuse_features(
    gateway: &Gateway,
    request: &str,
    features: &[RequestFeature],
) -> Option<Refusal> {
    let table = gateway.crash_features.table.borrow();
    let (refused, until) = table.refused(features)?;
    let wait = until.saturating_duration_since(gateway.now());
    info!(gateway.log, "features refused"; "request" => request, "features" => %refused,
        "retry_ms" => wait.as_millis() as u64);
    let wait = wait.max(MIN_RETRY_AFTER);
    let code = match refused.is_whole_request() {
        true => ResultCode::RequestQuarantined,
        false => ResultCode::PromptQuarantined,
    };
    Some(Refusal::retryable(code, wait))
}

/// Claims the trial of a request's quarantined features if it is due. Returns whether the
/// request may be sent as the trial.
pub async fn claim_due_trial(
    gateway: &Gateway,
    request: &str,
    features: &[RequestFeature],
) -> bool {
    let now = gateway.now();
    let due = gateway
        .crash_features
        .table
        .borrow()
        .due_trial(features, now);
    let Some(active) = due else {
        return false;
    };
    let is_claimed = claim_trial(gateway, &active).await;
    gateway
        .metrics
        .count_tagged("part.trial", if is_claimed { "claimed" } else { "refused" });
    info!(gateway.log, "trial of quarantined features"; "request" => request,
        "features" => %active.record.features, "trials" => active.record.trials,
        "claimed" => is_claimed);
    is_claimed
}

async fn claim_trial(gateway: &Gateway, active: &ActiveQuarantine) -> bool {
    if gateway.store_contact.get().is_failing() {
        return false;
    }
    let (outcome, claimed) = oneshot::channel();
    let claim = TrialClaim {
        record: active.record.clone(),
        outcome,
    };
    gateway.crash_features.trial_claims.borrow_mut().push(claim);
    gateway.crash_features.quarantine_changed.notify_one();
    let claimed = timeout(TRIAL_CLAIM_TIMEOUT, claimed).await;
    matches!(claimed, Ok(Ok(true)))
}

/// Records that an upstream crashed. `features` are the features of this VM's requests that
/// it had not begun to answer, if any.
pub fn record_crash(
    gateway: &Rc<Gateway>,
    entry: &UpstreamEntry,
    at: Instant,
    features: Vec<RequestFeature>,
) {
    gateway.metrics.count("upstream.crashed");
    let run = UpstreamRun::of(entry);
    let now = gateway.now();
    let mut table = gateway.crash_features.table.borrow_mut();
    table.record_crash(run, at, features, now);
    drop(table);
    gateway.gossip_notify.notify_one();
    review(gateway);
}

/// Records that the answer to a request began at `at`, which clears its features.
pub fn record_answer_begun(
    gateway: &Rc<Gateway>,
    request: &str,
    features: &[RequestFeature],
    at: Instant,
) {
    let now = gateway.now();
    let mut table = gateway.crash_features.table.borrow_mut();
    let (changes, is_news) = table.record_answer(features, at, now);
    drop(table);
    if is_news {
        gateway.gossip_notify.notify_one();
        apply_changes(gateway, changes, FeatureSource::Answer(request));
        review(gateway);
    }
}

/// Applies another VM's news.
pub fn apply_feature_news(gateway: &Rc<Gateway>, news: FeatureNews) {
    if news.sender == gateway.settings.vm {
        return;
    }
    let now = gateway.now();
    let sender = news.sender.clone();
    let changes = gateway
        .crash_features
        .table
        .borrow_mut()
        .apply_news(news, now);
    apply_changes(gateway, changes, FeatureSource::Vm(&sender));
    review(gateway);
}

/// Merges records of the quarantine that the store holds, or that this VM has written.
pub fn merge_quarantine(
    gateway: &Gateway,
    records: Vec<QuarantineRecord>,
    source: FeatureSource<'_>,
) {
    let now = gateway.now();
    let changes = gateway
        .crash_features
        .table
        .borrow_mut()
        .merge(records, now);
    apply_changes(gateway, changes, source);
}

/// Reviews the blame, and again when a newly blamed set is to be quarantined.
fn review(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    // Other VMs must hear of the crashes, and this VM of their answers.
    let objection_time = 2 * gossip_spacing(gateway.vm_count()) + OBJECTION_SLACK;
    let view = evidence_view(gateway, now);
    let mut table = gateway.crash_features.table.borrow_mut();
    let changes = table.review(objection_time, view, now);
    drop(table);
    let is_blamed = |change: &FeatureChange| matches!(change, FeatureChange::Blamed(_));
    if changes.iter().any(is_blamed) {
        spawn_local(review_when_due(Rc::clone(gateway)));
    }
    apply_changes(gateway, changes, FeatureSource::Evidence);
}

fn evidence_view(gateway: &Gateway, now: Instant) -> EvidenceView {
    let peers = gateway.peers.borrow();
    let heard = peers.live_serving(now).count() + 1;
    match 2 * heard > peers.known_serving() {
        true => EvidenceView::Fleet,
        false => EvidenceView::Minority,
    }
}

/// Reviews the blame until no set waits to be quarantined.
async fn review_when_due(gateway: Rc<Gateway>) {
    loop {
        let next = gateway.crash_features.table.borrow().next_review_at();
        let Some(next) = next else {
            return;
        };
        sleep(next.saturating_duration_since(gateway.now())).await;
        review(&gateway);
    }
}

/// Logs changes, and has those of the quarantine sent and stored.
fn apply_changes(gateway: &Gateway, changes: Vec<FeatureChange>, source: FeatureSource<'_>) {
    for change in &changes {
        log_change(gateway, change, source);
    }
    if changes.iter().any(|change| change.record().is_some()) {
        gateway.gossip_notify.notify_one();
        gateway.crash_features.quarantine_changed.notify_one();
    }
}

fn log_change(gateway: &Gateway, change: &FeatureChange, source: FeatureSource<'_>) {
    match change {
        FeatureChange::Blamed(blamed) => {
            gateway.metrics.count("part.blamed");
            info!(gateway.log, "features blamed"; "features" => %blamed.features,
                "crashes" => blamed.crashes,
                "suspected_features" => gateway.crash_features.table.borrow().suspect_count());
        }
        FeatureChange::Cleared(features) => {
            gateway.metrics.count("part.cleared");
            info!(gateway.log, "features cleared"; "features" => %features);
        }
        FeatureChange::Quarantined(record, crashes) => {
            log_record(gateway, record, Some(*crashes), source);
        }
        FeatureChange::Merged(record) | FeatureChange::Released(record) => {
            log_record(gateway, record, None, source);
        }
    }
}

fn log_record(
    gateway: &Gateway,
    record: &QuarantineRecord,
    crashes: Option<usize>,
    source: FeatureSource<'_>,
) {
    let (request, peer) = match source {
        FeatureSource::Answer(request) => (Some(request), None),
        FeatureSource::Vm(vm) => (None, Some(vm.as_str())),
        FeatureSource::Evidence | FeatureSource::Store | FeatureSource::Trial => (None, None),
    };
    let event = match record.state {
        QuarantineState::Active => "features quarantined",
        QuarantineState::Released => "features released",
    };
    gateway
        .metrics
        .count_tagged("part.quarantine_changed", source.label());
    info!(gateway.log, "{}", event; "features" => %record.features, "source" => source.label(),
        "changes" => record.changes, "trials" => record.trials, "crashes" => crashes,
        "peer" => peer, "request" => request);
}
