//! Keeps prompt parts that crash upstreams from being sent.
//!
//! All VMs exchange what they notice by gossip, and each comes to the same conclusion. A
//! blamed set of parts is refused by this VM at once. After a time in which other VMs can
//! contradict it is quarantined, which all VMs and the store are told.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_types::PartId;
use snipegate_types::ResultCode;
use snipegate_types::VmId;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::CrashReport;
use crate::crash_evidence::PartAnswer;
use crate::crash_evidence::UpstreamRun;
use crate::crash_probe::PendingProbes;
use crate::gateway::Gateway;
use crate::gossip::gossip_spacing;
use crate::metadata::PromptPart;
use crate::metadata::PromptShape;
use crate::part_set::PartSet;
use crate::quarantine::ActiveQuarantine;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineState;
use crate::quarantine::QuarantineTable;
use crate::refusal::Refusal;
use crate::upstream::UpstreamEntry;

/// Time beyond two rounds of gossip in which other VMs can contradict a blame.
const OBJECTION_SLACK: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of a refused prompt.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long a request waits for the claim of a trial.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// What a VM knows of prompt parts that crash upstreams.
#[derive(Default)]
pub struct PartGuard {
    /// Crashes and answers from which parts are blamed.
    pub evidence: RefCell<CrashEvidence>,
    /// Sets of parts that are blamed by this VM now, with the time from which they are
    /// quarantined.
    blamed: RefCell<Vec<(PartSet, Instant)>>,
    /// Sets of parts that are quarantined.
    pub quarantine: RefCell<QuarantineTable>,
    /// Notified when the quarantine has changed.
    pub quarantine_changed: Notify,
    /// Whether the stored quarantine has been read.
    pub is_quarantine_known: Cell<bool>,
    /// Trials that wait to be claimed in the store.
    pub trial_claims: RefCell<Vec<TrialClaim>>,
    /// Upstreams that are being probed after a connection broke.
    pub pending_probes: RefCell<PendingProbes>,
}

/// Claim of a trial of quarantined parts; only one VM's claim succeeds.
pub struct TrialClaim {
    /// The record that has to be in force, in the store too.
    pub record: QuarantineRecord,
    /// Receives whether the claim succeeded.
    pub outcome: oneshot::Sender<bool>,
}

/// What a VM tells the others of prompt parts that crash upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartNews {
    /// The sender.
    pub sender: VmId,
    /// Crashes that the sender noticed.
    pub crashes: Vec<CrashReport>,
    /// Suspected parts of which the sender knows an answer.
    pub answers: Vec<PartAnswer>,
    /// Changes of the quarantine.
    pub quarantine: Vec<QuarantineRecord>,
}

/// How a VM learned of a change of the quarantine.
#[derive(Clone, Copy, Debug)]
pub enum QuarantineSource<'a> {
    /// From its own conclusion, of this many crashes.
    Crashes(usize),
    /// From an answer to a request of its own.
    Answer,
    /// From another VM.
    Vm(&'a VmId),
    /// From the store.
    Store,
    /// It claimed a trial.
    Trial,
}

impl QuarantineSource<'_> {
    fn label(self) -> &'static str {
        match self {
            QuarantineSource::Crashes(_) => "crashes",
            QuarantineSource::Answer => "answer",
            QuarantineSource::Vm(_) => "vm",
            QuarantineSource::Store => "store",
            QuarantineSource::Trial => "trial",
        }
    }
}

/// Returns the refusal of a prompt whose parts are blamed or quarantined, if they are.
pub fn refuse_parts(gateway: &Gateway, request: &str, prompt: &PromptShape) -> Option<Refusal> {
    let shared = prompt.shared_parts();
    let active = gateway.parts.quarantine.borrow().find(shared);
    let (parts, until) = match active {
        Some(active) => (active.record.parts, active.trial_at),
        None => find_blamed(gateway, shared)?,
    };
    let wait = until.saturating_duration_since(gateway.now());
    info!(gateway.log, "prompt parts refused"; "request" => request, "parts" => %parts,
        "retry_ms" => wait.as_millis() as u64);
    let wait = wait.max(MIN_RETRY_AFTER);
    Some(Refusal::retryable(ResultCode::PromptQuarantined, wait))
}

/// Claims the trial of a prompt's quarantined parts if it is due. Returns whether the prompt
/// may be sent as the trial.
pub async fn claim_due_trial(gateway: &Gateway, request: &str, prompt: &PromptShape) -> bool {
    let active = gateway
        .parts
        .quarantine
        .borrow()
        .find(prompt.shared_parts());
    let Some(active) = active.filter(|active| active.trial_at <= gateway.now()) else {
        return false;
    };
    let is_claimed = claim_trial(gateway, &active).await;
    if is_claimed {
        info!(gateway.log, "quarantined parts tried"; "request" => request,
            "parts" => %active.record.parts, "trials" => active.record.trials + 1);
    }
    is_claimed
}

fn find_blamed(gateway: &Gateway, parts: &[PromptPart]) -> Option<(PartSet, Instant)> {
    let blamed = gateway.parts.blamed.borrow();
    blamed.iter().find(|(set, _)| set.is_within(parts)).cloned()
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
    gateway.parts.trial_claims.borrow_mut().push(claim);
    gateway.parts.quarantine_changed.notify_one();
    let claimed = timeout(TRIAL_CLAIM_TIMEOUT, claimed).await;
    matches!(claimed, Ok(Ok(true)))
}

/// Records that an upstream crashed. `parts` are the shared parts of this VM's requests that
/// it had not begun to answer.
pub fn record_crash(gateway: &Rc<Gateway>, entry: &UpstreamEntry, at: Instant, parts: Vec<PartId>) {
    let now = gateway.now();
    let run = UpstreamRun::of(entry);
    gateway.metrics.count("upstream.crashed");
    gateway
        .parts
        .evidence
        .borrow_mut()
        .record_own_crash(run, at, parts, now);
    gateway.gossip_notify.notify_one();
    update_blame(gateway, now);
}

/// Records that the answer to a prompt began at `at`, which clears its parts.
pub fn record_prompt_answer(
    gateway: &Rc<Gateway>,
    request: &str,
    prompt: &PromptShape,
    at: Instant,
) {
    let now = gateway.now();
    let parts = prompt.shared_parts();
    let mut cleared = false;
    for part in parts {
        let mut evidence = gateway.parts.evidence.borrow_mut();
        cleared |= evidence.record_own_answer(part.id, at, now);
    }
    let released = gateway
        .parts
        .quarantine
        .borrow_mut()
        .release(parts, at, now);
    for record in &released {
        log_quarantine(gateway, record, QuarantineSource::Answer, Some(request));
    }
    if cleared {
        update_blame(gateway, now);
    }
    if cleared || !released.is_empty() {
        gateway.gossip_notify.notify_one();
    }
    if !released.is_empty() {
        gateway.parts.quarantine_changed.notify_one();
    }
}

/// Derives from the evidence which sets of parts are blamed now, and schedules their
/// quarantine.
fn update_blame(gateway: &Rc<Gateway>, now: Instant) {
    let blamed_now = gateway.parts.evidence.borrow().blamed();
    let mut blamed = gateway.parts.blamed.borrow_mut();
    blamed.retain(|(set, _)| {
        let stays = blamed_now.iter().any(|(now, _)| now == set);
        if !stays {
            info!(gateway.log, "prompt parts cleared"; "parts" => %set);
        }
        stays
    });
    let delay = objection_time(gateway);
    for (set, crashes) in blamed_now {
        let is_known = blamed.iter().any(|(known, _)| *known == set);
        if is_known || gateway.parts.quarantine.borrow().covers(&set) {
            continue;
        }
        gateway.metrics.count("part.blamed");
        info!(gateway.log, "prompt parts blamed"; "parts" => %set, "crashes" => crashes,
            "suspected_parts" => gateway.parts.evidence.borrow().suspect_count(),
            "quarantined_in_ms" => delay.as_millis() as u64);
        blamed.push((set.clone(), now + delay));
        spawn_local(quarantine_unless_cleared(
            Rc::clone(gateway),
            set,
            crashes,
            delay,
        ));
    }
}

/// Returns how long other VMs have to tell of an answer to blamed parts: they must hear of
/// the crashes, and this VM of their answers.
fn objection_time(gateway: &Gateway) -> Duration {
    2 * gossip_spacing(gateway.vm_count()) + OBJECTION_SLACK
}

async fn quarantine_unless_cleared(
    gateway: Rc<Gateway>,
    set: PartSet,
    crashes: usize,
    delay: Duration,
) {
    sleep(delay).await;
    let mut blamed = gateway.parts.blamed.borrow_mut();
    let Some(index) = blamed.iter().position(|(known, _)| *known == set) else {
        return;
    };
    blamed.swap_remove(index);
    drop(blamed);
    let now = gateway.now();
    let imposed = gateway.parts.quarantine.borrow_mut().impose(&set, now);
    if let Some(record) = imposed {
        log_quarantine(&gateway, &record, QuarantineSource::Crashes(crashes), None);
        gateway.gossip_notify.notify_one();
        gateway.parts.quarantine_changed.notify_one();
    }
}

/// Returns this VM's news for the next message; `None` if there is none.
pub fn build_part_news(gateway: &Gateway, now: Instant) -> Option<PartNews> {
    let mut evidence = gateway.parts.evidence.borrow_mut();
    let news = PartNews {
        sender: gateway.settings.vm.clone(),
        crashes: evidence.report_announcements(now),
        answers: evidence.answer_announcements(now),
        quarantine: gateway.parts.quarantine.borrow().announcements(now),
    };
    let is_empty = news.crashes.is_empty() && news.answers.is_empty() && news.quarantine.is_empty();
    (!is_empty).then_some(news)
}

/// Announces all that this VM knows again, for a VM that may know nothing.
pub fn announce_part_news(gateway: &Gateway, now: Instant) {
    gateway.parts.evidence.borrow_mut().announce_all(now);
    gateway.parts.quarantine.borrow_mut().announce_all(now);
}

/// Applies another VM's news.
pub fn apply_part_news(gateway: &Rc<Gateway>, news: PartNews) {
    if news.sender == gateway.settings.vm {
        return;
    }
    let now = gateway.now();
    let mut evidence = gateway.parts.evidence.borrow_mut();
    for answer in &news.answers {
        evidence.apply_answer(answer, now);
    }
    for report in &news.crashes {
        evidence.apply_report(report, now);
    }
    drop(evidence);
    let source = QuarantineSource::Vm(&news.sender);
    merge_quarantine(gateway, news.quarantine, source);
    update_blame(gateway, now);
}

/// Merges records of another VM or of the store.
pub fn merge_quarantine(
    gateway: &Gateway,
    records: Vec<QuarantineRecord>,
    source: QuarantineSource<'_>,
) {
    let now = gateway.now();
    for record in records {
        let merged = gateway
            .parts
            .quarantine
            .borrow_mut()
            .merge(record.clone(), now);
        if merged {
            if record.state == QuarantineState::Released {
                let mut evidence = gateway.parts.evidence.borrow_mut();
                evidence.record_release(record.parts.parts(), now);
            }
            log_quarantine(gateway, &record, source, None);
            gateway.parts.quarantine_changed.notify_one();
        }
    }
}

fn log_quarantine(
    gateway: &Gateway,
    record: &QuarantineRecord,
    source: QuarantineSource<'_>,
    request: Option<&str>,
) {
    let (crashes, peer) = match source {
        QuarantineSource::Crashes(crashes) => (Some(crashes), None),
        QuarantineSource::Vm(vm) => (None, Some(vm.as_str())),
        QuarantineSource::Answer | QuarantineSource::Store | QuarantineSource::Trial => {
            (None, None)
        }
    };
    let event = match record.state {
        QuarantineState::Active => "prompt parts quarantined",
        QuarantineState::Released => "prompt parts released",
    };
    gateway
        .metrics
        .count_tagged("part.quarantine_changed", source.label());
    info!(gateway.log, "{}", event; "parts" => %record.parts, "source" => source.label(),
        "changes" => record.changes, "trials" => record.trials, "crashes" => crashes,
        "peer" => peer, "request" => request);
}
