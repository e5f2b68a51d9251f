//! Moves grants between the budgets' records in the store and this VM.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::admission::Admission;
use crate::budget_record::BudgetRecord;
use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::gossip::SCARCE_LIFE;
use crate::purse::BudgetPurse;
use crate::purse::PurseRefusal;
use crate::refusal::Refusal;
use crate::relay::spread;
use crate::terms::RequestTerms;

/// Longest pause between two looks at the grants.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest pause between two looks at the grants.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// Pause after a call that the store did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Longest time that a request waits for a grant.
const GRANT_WAIT: Duration = Duration::from_millis(250);

/// Part of the time left that a request waits for a grant at most.
const GRANT_WAIT_PART: f64 = 0.1;

/// When to come back while other VMs hold what is left of a budget.
const HELD_RETURN: Duration = Duration::from_millis(600);

/// When to come back while the store is out of reach.
const OUTAGE_RETURN: Duration = Duration::from_millis(1500);

/// Keeps the grants of all workspaces until the process ends.
pub async fn keep_budgets<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    loop {
        let _ = timeout(LOOK_INTERVAL, gateway.grant_due.notified()).await;
        if adopt_workspaces(&gateway)
            && let Err(error) = read_records(&gateway, &*store).await
        {
            info!(gateway.log, "budgets not read"; "error" => %error);
        }
        let workspaces: Vec<WorkspaceId> = gateway.purses.borrow().keys().cloned().collect();
        let mut failed = false;
        for workspace in workspaces {
            failed |= keep_budget(&gateway, &*store, &workspace).await.is_err();
        }
        gateway.grant_changed.notify_waiters();
        let pause = if failed {
            FAILURE_PAUSE
        } else {
            MIN_LOOK_INTERVAL
        };
        sleep(pause).await;
    }
}

/// Reads the records of all budgets at once.
async fn read_records<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let prefix = gateway.dialect.layout().budget_prefix;
    let mut after: Option<String> = None;
    loop {
        let result = store.list(prefix, after.as_deref()).await;
        gateway.note_store(result.as_ref().err());
        let listing = result?;
        for (key, stored) in listing.entries {
            let name = key.strip_prefix(prefix).unwrap_or_default();
            if let Ok(workspace) = name.parse() {
                take_record(gateway, &workspace, Some(stored));
            }
        }
        after = listing.more_after;
        if after.is_none() {
            break;
        }
    }
    let mut purses = gateway.purses.borrow_mut();
    for purse in purses.values_mut().filter(|purse| !purse.is_known()) {
        purse.set_record(BudgetRecord::default(), StoreRevision(0));
    }
    Ok(())
}

/// Makes purses for new workspaces and passes on what they have bought; tells
/// whether any record is not known yet.
fn adopt_workspaces(gateway: &Gateway) -> bool {
    let Some(config) = gateway.current_config() else {
        return false;
    };
    let now = gateway.now();
    let vm = hash_name(gateway.settings.vm.as_str());
    let mut purses = gateway.purses.borrow_mut();
    for (workspace, rule) in &config.workspaces {
        let Some(prepaid) = rule.prepaid else {
            continue;
        };
        purses
            .entry(workspace.clone())
            .or_insert_with(|| BudgetPurse::new(vm, gateway.incarnation, prepaid, now))
            .set_prepaid(prepaid);
    }
    purses.values().any(|purse| !purse.is_known())
}

/// Reads or writes one budget's record as far as that is needed.
async fn keep_budget<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    workspace: &WorkspaceId,
) -> Result<(), StoreError> {
    let key = budget_key(gateway, workspace);
    let now = gateway.now();
    let is_scarce = is_scarce_elsewhere(gateway, workspace, now);
    let vms = gateway.vm_count();
    let planned = {
        let mut purses = gateway.purses.borrow_mut();
        let Some(purse) = purses.get_mut(workspace) else {
            return Ok(());
        };
        if !purse.is_known() || purse.is_check_due() {
            None
        } else {
            match purse.plan_write(vms, is_scarce, now) {
                Some(record) => Some(record),
                None => return Ok(()),
            }
        }
    };
    match planned {
        Some(record) => write_record(gateway, store, workspace, &key, record).await,
        None => read_record(gateway, store, workspace, &key).await,
    }
}

async fn read_record<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    workspace: &WorkspaceId,
    key: &str,
) -> Result<(), StoreError> {
    let began = gateway.now();
    let result = store.read(key).await;
    gateway.note_store(result.as_ref().err());
    let stored = result?;
    take_record(gateway, workspace, stored);
    if let Some(purse) = gateway.purses.borrow_mut().get_mut(workspace) {
        purse.note_checked(began);
    }
    Ok(())
}

async fn write_record<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    workspace: &WorkspaceId,
    key: &str,
    record: BudgetRecord,
) -> Result<(), StoreError> {
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            info!(gateway.log, "budget record not encoded"; "error" => %error);
            return Err(StoreError::BadReply);
        }
    };
    let Some(expected) = with_purse(gateway, workspace, |purse| {
        purse.write_sent(&record);
        expected_version(purse.revision())
    }) else {
        return Ok(());
    };
    let result = store.swap(key, expected, bytes, None).await;
    gateway.note_store(result.as_ref().err());
    let outcome = match &result {
        Ok(SwapOutcome::Swapped(_)) => "granted",
        Ok(SwapOutcome::Conflict(_)) => "conflict",
        Err(error) if error.may_have_applied() => "unknown",
        Err(_) => "not_written",
    };
    with_purse(gateway, workspace, |purse| match &result {
        Err(error) if error.may_have_applied() => purse.write_unknown(),
        _ => purse.write_answered(),
    });
    match result? {
        SwapOutcome::Swapped(revision) => {
            with_purse(gateway, workspace, |purse| {
                purse.set_record(record, revision)
            });
        }
        SwapOutcome::Conflict(stored) => take_record(gateway, workspace, stored),
    }
    log_grant(gateway, workspace, outcome);
    Ok(())
}

fn log_grant(gateway: &Gateway, workspace: &WorkspaceId, outcome: &str) {
    gateway.metrics.count_reason("budget.write", outcome);
    with_purse(gateway, workspace, |purse| {
        info!(gateway.log, "budget grant"; "workspace" => %workspace, "outcome" => outcome,
            "granted" => purse.granted().0, "free" => purse.free().0,
            "unassigned" => purse.unassigned().0, "revision" => purse.revision().0);
    });
}

fn take_record(gateway: &Gateway, workspace: &WorkspaceId, stored: Option<StoredValue>) {
    let (record, revision) = match stored {
        None => (BudgetRecord::default(), StoreRevision(0)),
        Some(stored) => match BudgetRecord::decode(&stored.value) {
            Ok(record) => (record, stored.revision),
            Err(error) => {
                // Without a readable record nothing more is granted.
                info!(gateway.log, "budget record not decoded"; "workspace" => %workspace,
                    "revision" => stored.revision.0, "error" => %error);
                return;
            }
        },
    };
    with_purse(gateway, workspace, |purse| {
        purse.set_record(record, revision)
    });
}

fn with_purse<T>(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    act: impl FnOnce(&mut BudgetPurse) -> T,
) -> Option<T> {
    gateway.purses.borrow_mut().get_mut(workspace).map(act)
}

fn expected_version(revision: StoreRevision) -> ExpectedVersion {
    match revision {
        StoreRevision(0) => ExpectedVersion::Absent,
        revision => ExpectedVersion::At(revision),
    }
}

fn budget_key(gateway: &Gateway, workspace: &WorkspaceId) -> String {
    format!("{}{workspace}", gateway.dialect.layout().budget_prefix)
}

fn is_scarce_elsewhere(gateway: &Gateway, workspace: &WorkspaceId, now: Instant) -> bool {
    let hash = hash_name(workspace.as_str());
    gateway
        .scarce_elsewhere
        .borrow()
        .get(&hash)
        .is_some_and(|at| now.saturating_duration_since(*at) < SCARCE_LIFE)
}

/// Reserves `cost` tokens, waiting a little for a grant if need be.
///
/// # Errors
///
/// Refuses for good only what the newest record shows to be beyond the budget.
pub async fn reserve(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    cost: TokenCount,
    admission: &Admission,
    terms: &RequestTerms,
) -> Result<(), Refusal> {
    let began = gateway.now();
    let left = admission.deadline.saturating_duration_since(began);
    let wait_until = began + GRANT_WAIT.min(left.mul_f64(GRANT_WAIT_PART));
    adopt_workspaces(gateway);
    with_purse(gateway, workspace, |purse| purse.note_demand(cost, began));
    loop {
        let changed = gateway.grant_changed.notified();
        let verdict = with_purse(gateway, workspace, |purse| try_reserve(purse, cost, began));
        let refusal = match verdict {
            None => return Err(Refusal::come_back(ResultCode::BudgetUnknown, OUTAGE_RETURN)),
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let now = gateway.now();
        let waiting = wait_until.saturating_duration_since(now);
        let is_failing = gateway.contact.get().is_failing();
        if refusal == PurseRefusal::Exhausted || waiting.is_zero() || is_failing {
            return Err(describe_refusal(gateway, workspace, refusal, terms, cost));
        }
        gateway.grant_due.notify_one();
        let _ = timeout(waiting, changed).await;
    }
}

/// Reserves, or says why not; only a record read since `began` shows exhaustion.
fn try_reserve(
    purse: &mut BudgetPurse,
    cost: TokenCount,
    began: Instant,
) -> Result<(), PurseRefusal> {
    if purse.reserve(cost).is_ok() {
        return Ok(());
    }
    match purse.why_refused(cost) {
        PurseRefusal::NeedsGrant => Err(PurseRefusal::NeedsGrant),
        refusal if purse.is_checked_since(began) => Err(refusal),
        _ => {
            purse.ask_check();
            Err(PurseRefusal::NeedsGrant)
        }
    }
}

fn describe_refusal(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    refusal: PurseRefusal,
    terms: &RequestTerms,
    cost: TokenCount,
) -> Refusal {
    let now = gateway.now();
    let lost = gateway.contact.get().is_failing();
    with_purse(gateway, workspace, |purse| {
        info!(gateway.log, "budget refused"; "request" => &*terms.attempt_id,
            "workspace" => %workspace, "reason" => ?refusal, "cost" => cost.0,
            "free" => purse.free().0, "unassigned" => purse.unassigned().0,
            "revision" => purse.revision().0, "store_lost" => lost);
    });
    if !lost && refusal != PurseRefusal::NeedsGrant {
        gateway.scarce.borrow_mut().insert(workspace.clone(), now);
        gateway.gossip_due.notify_one();
    }
    match refusal {
        PurseRefusal::Exhausted if !lost => Refusal::fatal(ResultCode::BudgetExhausted),
        _ if lost => Refusal::come_back(ResultCode::BudgetUnreachable, spread(OUTAGE_RETURN)),
        _ => Refusal::come_back(ResultCode::BudgetUnreachable, spread(HELD_RETURN)),
    }
}

/// Gives back what is not used, at the end of the process.
pub async fn close_budgets<S: ConfigStore>(gateway: &Gateway, store: &S) {
    let workspaces: Vec<WorkspaceId> = gateway.purses.borrow().keys().cloned().collect();
    for workspace in workspaces {
        let planned = with_purse(gateway, &workspace, |purse| {
            let open = purse.is_known() && !purse.granted().is_zero();
            open.then(|| purse.plan_close())
        });
        let Some(Some(record)) = planned else {
            continue;
        };
        let key = budget_key(gateway, &workspace);
        if let Err(error) = write_record(gateway, store, &workspace, &key, record).await {
            info!(gateway.log, "budget not given back"; "workspace" => %workspace,
                "error" => %error);
        }
    }
}
