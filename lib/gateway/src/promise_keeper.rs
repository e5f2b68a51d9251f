//! Makes promises about this process's spending to its witness, and keeps those of others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use slog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::budget_keeper::plan_time;
use crate::gateway::Gateway;
use crate::gateway::duty_rendezvous_weight;
use crate::gateway::stable_hash;
use crate::gossip::PeerMessage;
use crate::spending_witness::PromiseQuery;
use crate::spending_witness::PromiseReceipt;
use crate::spending_witness::SpendingPromise;
use crate::spending_witness::SpendingTestimony;
use crate::spending_witness::WitnessRef;
use crate::token_request::answer_queue;
use crate::token_request::queued_tokens;

/// Maximum interval between two checks whether a promise is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The same while this VM holds no grants.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two promises.
const MIN_PROMISE_INTERVAL: Duration = Duration::from_millis(8);

/// Interval after which an unconfirmed promise is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which a witness that does not confirm a promise is replaced.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a witness that did not confirm is not chosen again.
const WITNESS_BACKOFF: Duration = Duration::from_secs(5);

/// Interval at which a witness is asked for the promises of an ended process.
const QUERY_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which the answer of a witness is awaited no longer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of budgets in one promise, so that it fits into a datagram.
const MAX_PROMISED: usize = 256;

/// A promise that the witness has not confirmed.
#[derive(Clone, Debug)]
struct SentPromise {
    promise: SpendingPromise,
    first_sent: Instant,
    last_sent: Instant,
}

/// This process's relation to its witness.
#[derive(Clone, Debug, Default)]
pub struct WitnessLink {
    current: Option<WitnessRef>,
    sent: Option<SentPromise>,
    /// Number of the last promise.
    number: u64,
    /// When witnesses last failed to confirm a promise.
    failed: IndexMap<SocketAddr, Instant>,
}

/// An earlier run of this VM whose spending had a witness.
#[derive(Clone, Debug)]
pub struct EarlierRun {
    /// Its incarnation.
    pub incarnation: u64,
    /// The witness that the record names.
    pub witness: WitnessRef,
    /// What the witness told; `None` if it has not answered.
    pub testimony: Option<SpendingTestimony>,
}

/// Makes promises until the process ends.
pub async fn make_promises(gateway: Rc<Gateway>) {
    if gateway.boot_timestamp().is_none() {
        // Without the clock of the boot no later process could use them.
        return;
    }
    loop {
        choose_witness(&gateway);
        let has_grants = promise_spending(&gateway);
        let pause = match has_grants {
            true => CHECK_INTERVAL,
            false => IDLE_CHECK_INTERVAL,
        };
        sleep(MIN_PROMISE_INTERVAL).await;
        let _ = timeout(pause, gateway.promise_notify.notified()).await;
    }
}

/// Keeps the witness, or chooses another one if it is gone or does not confirm.
fn choose_witness(gateway: &Gateway) {
    let now = gateway.now();
    let mut link = gateway.witness_link.borrow_mut();
    let is_overdue =
        |sent: &SentPromise| now.saturating_duration_since(sent.first_sent) >= WITNESS_TIMEOUT;
    if link.sent.as_ref().is_some_and(is_overdue) {
        link.sent = None;
        if let Some(witness) = link.current.take() {
            link.failed.insert(witness.address, now);
            gateway.metrics.count("budget.witness_failed");
            info!(gateway.log, "witness does not confirm"; "witness" => %witness.address);
        }
    }
    link.failed
        .retain(|_, at| now.saturating_duration_since(*at) < WITNESS_BACKOFF);
    let peers = gateway.peers.borrow();
    let live = peers.live_serving(now);
    let usable: Vec<_> = live
        .filter(|peer| !link.failed.contains_key(&peer.gossip))
        .collect();
    let is_current = |witness: WitnessRef| {
        let is_same =
            |address, incarnation| address == witness.address && incarnation == witness.incarnation;
        usable
            .iter()
            .any(|peer| is_same(peer.gossip, peer.incarnation))
    };
    if link.current.is_some_and(is_current) {
        return;
    }
    let own = stable_hash(gateway.settings.vm.as_str());
    let best = usable
        .iter()
        .max_by_key(|peer| duty_rendezvous_weight(&peer.vm, own));
    let chosen = best.map(|peer| WitnessRef {
        address: peer.gossip,
        incarnation: peer.incarnation,
        since: link.number,
    });
    if chosen == link.current {
        return;
    }
    link.current = chosen;
    link.sent = None;
    info!(gateway.log, "witness chosen"; "witness" => chosen.map(|chosen| chosen.address.to_string()));
    for holding in gateway.holdings.borrow_mut().values_mut() {
        holding.set_witness(chosen);
    }
    gateway.grant_notify.notify_one();
}

/// Sends a promise if one is due, or the last one again; returns whether this VM has grants.
fn promise_spending(gateway: &Gateway) -> bool {
    let time = plan_time(gateway);
    let mut holdings = gateway.holdings.borrow_mut();
    let mut link = gateway.witness_link.borrow_mut();
    let Some((witness, set_at)) = link.current.zip(time.boot) else {
        return false;
    };
    if let Some(sent) = link.sent.as_mut() {
        if time.now.saturating_duration_since(sent.last_sent) >= RESEND_INTERVAL {
            sent.last_sent = time.now;
            let message = PeerMessage::SpendingPromise(Box::new(sent.promise.clone()));
            gateway.send_direct(witness.address, message);
        }
        return true;
    }
    let is_outage = gateway.store_contact.get().is_failing();
    let number = link.number + 1;
    let mut paces = Vec::new();
    let mut has_grants = false;
    for holding in holdings.values_mut() {
        // New holdings learn of the witness here.
        holding.set_witness(Some(witness));
        has_grants |= !holding.granted().is_zero();
        let workspace = holding.workspace();
        let queued = queued_tokens(gateway, workspace);
        let named = holding.named_witness();
        let is_named = named.is_some_and(|named| named.incarnation == witness.incarnation);
        if paces.len() < MAX_PROMISED && is_named && holding.needs_promise(queued, time.now) {
            let pace = holding.plan_promise(number, queued, is_outage, time);
            paces.extend(pace.map(|pace| (workspace, pace)));
        }
    }
    if paces.is_empty() {
        return has_grants;
    }
    let promise = SpendingPromise {
        vm: stable_hash(gateway.settings.vm.as_str()),
        incarnation: gateway.incarnation,
        witness: witness.incarnation,
        number,
        set_at,
        paces,
    };
    gateway.metrics.count("budget.promise");
    let message = PeerMessage::SpendingPromise(Box::new(promise.clone()));
    gateway.send_direct(witness.address, message);
    link.number = number;
    link.sent = Some(SentPromise {
        promise,
        first_sent: time.now,
        last_sent: time.now,
    });
    true
}

/// Keeps a promise of another VM and confirms it.
pub fn handle_promise(gateway: &Gateway, sender: SocketAddr, promise: &SpendingPromise) {
    if promise.witness != gateway.incarnation {
        return;
    }
    if !gateway.witness_log.borrow_mut().record(promise) {
        gateway.metrics.count("budget.promise_not_kept");
        return;
    }
    let receipt = PromiseReceipt {
        witness: gateway.incarnation,
        number: promise.number,
    };
    gateway.send_direct(sender, PeerMessage::PromiseReceipt(receipt));
}

/// Records that the witness has taken a promise.
pub fn handle_receipt(gateway: &Gateway, receipt: PromiseReceipt) {
    let mut link = gateway.witness_link.borrow_mut();
    let is_answered = |sent: &SentPromise| {
        sent.promise.number == receipt.number && sent.promise.witness == receipt.witness
    };
    if !link.sent.as_ref().is_some_and(is_answered) {
        return;
    }
    link.sent = None;
    drop(link);
    for holding in gateway.holdings.borrow_mut().values_mut() {
        holding.confirm_promise(receipt.witness, receipt.number);
    }
    answer_queue(gateway);
    gateway.grant_changed.notify_waiters();
    gateway.promise_notify.notify_one();
}

/// Tells what an ended process had promised.
pub fn handle_query(gateway: &Gateway, sender: SocketAddr, query: PromiseQuery) {
    if query.witness != gateway.incarnation {
        return;
    }
    let testimony = gateway.witness_log.borrow().testimony(&query);
    info!(gateway.log, "promises told"; "vm" => query.vm, "incarnation" => query.incarnation,
        "budgets" => testimony.paces.len());
    gateway.send_direct(sender, PeerMessage::SpendingTestimony(Box::new(testimony)));
}

/// Records what an earlier process of this VM had promised.
pub fn handle_testimony(gateway: &Gateway, testimony: SpendingTestimony) {
    let mut runs = gateway.earlier_runs.borrow_mut();
    let is_expected = |run: &&mut EarlierRun| {
        run.incarnation == testimony.incarnation
            && run.witness.incarnation == testimony.witness
            && run.witness.since == testimony.since
    };
    if let Some(run) = runs.iter_mut().find(is_expected) {
        run.testimony = Some(testimony);
    }
}

/// Asks the witnesses of earlier processes of this VM for what those promised, and waits a
/// short time for the answers.
pub async fn collect_testimonies(gateway: &Gateway, runs: Vec<EarlierRun>) {
    *gateway.earlier_runs.borrow_mut() = runs;
    let began = gateway.now();
    while gateway.now().saturating_duration_since(began) < QUERY_TIMEOUT {
        if !send_queries(gateway) {
            break;
        }
        sleep(QUERY_INTERVAL).await;
    }
    for run in gateway.earlier_runs.borrow().iter() {
        let testimony = run.testimony.as_ref();
        info!(gateway.log, "witness of an earlier run asked"; "incarnation" => run.incarnation,
            "witness" => %run.witness.address, "answered" => testimony.is_some(),
            "budgets" => testimony.map_or(0, |testimony| testimony.paces.len()));
    }
}

/// Asks all witnesses that have not answered; returns whether there are any.
fn send_queries(gateway: &Gateway) -> bool {
    let runs = gateway.earlier_runs.borrow();
    let open = runs.iter().filter(|run| run.testimony.is_none());
    let mut is_any = false;
    for run in open {
        is_any = true;
        let query = PromiseQuery {
            vm: stable_hash(gateway.settings.vm.as_str()),
            incarnation: run.incarnation,
            witness: run.witness.incarnation,
            since: run.witness.since,
        };
        gateway.send_direct(run.witness.address, PeerMessage::PromiseQuery(query));
    }
    is_any
}
