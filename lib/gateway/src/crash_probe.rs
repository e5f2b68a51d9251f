//! Confirms that an upstream crashed after a connection to it broke.
//!
//! A broken connection alone may have many causes. A crashed upstream refuses new
//! connections, so one connection attempt tells the cases apart.

use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::info;
use snipegate_http1::ConnectError;
use snipegate_http1::connect;
use snipegate_types::RequestDigest;
use strum::Display;
use strum::IntoStaticStr;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::attempt::SendFailure;
use crate::feature_guard::record_crash;
use crate::gateway::Gateway;
use crate::known_crashes::UpstreamRun;
use crate::request_feature::RequestFeature;
use crate::upstream::UpstreamEntry;

/// Delay before the connection attempt, in which the other connections to a crashed upstream
/// break as well.
const PROBE_DELAY: Duration = Duration::from_millis(5);

/// Timeout of the connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest time that a request which broke off waits for the probe before it is sent again.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(50);

/// Maximum number of requests in a log line.
const MAX_LOGGED_REQUESTS: usize = 16;

/// What a connection attempt says of an upstream to which a connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ProbeResult {
    /// It refuses connections, so its process has ended.
    Ended,
    /// It accepts connections.
    Running,
    /// The attempt failed in another way.
    Unknown,
}

/// Requests that broke off at one run of an upstream and are being looked into.
#[derive(Debug)]
pub struct BrokenRequests {
    at: Instant,
    requests: usize,
    /// Those whose answer had not begun.
    unanswered: Vec<RequestDigest>,
    /// Their features.
    features: IndexSet<RequestFeature>,
    /// Closed when the probe has ended.
    probe: Rc<Semaphore>,
}

/// A request that broke off before its answer began.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredRequest<'a> {
    /// The request.
    pub digest: RequestDigest,
    /// Its features.
    pub features: &'a [RequestFeature],
}

/// Broken requests by the run of the upstream, while its probe is pending.
pub type PendingProbes = IndexMap<UpstreamRun, BrokenRequests>;

/// Returns whether a failure may come from a crash of the upstream.
pub fn may_be_crash(failure: SendFailure) -> bool {
    match failure {
        SendFailure::Closed | SendFailure::Broken | SendFailure::Malformed => true,
        SendFailure::ConnectTimedOut
        | SendFailure::ConnectRefused
        | SendFailure::NothingSent
        | SendFailure::UnnamedRefusal
        | SendFailure::Silent
        | SendFailure::TooLarge
        | SendFailure::Displaced => false,
    }
}

/// A probe of an upstream that goes on.
pub struct RunningProbe(Rc<Semaphore>);

impl RunningProbe {
    /// Waits until it is known whether the upstream crashed, but no longer than a request is
    /// held for it.
    pub async fn wait(self) {
        let _ = timeout(MAX_PROBE_WAIT, self.0.acquire()).await;
    }
}

/// Looks into a request that broke off at an upstream. `unanswered` is the request if its answer
/// had not begun.
pub fn record_broken_request(
    gateway: &Rc<Gateway>,
    entry: &UpstreamEntry,
    unanswered: Option<UnansweredRequest<'_>>,
) -> RunningProbe {
    let run = UpstreamRun::of(entry);
    let mut pending = gateway.crash_features.pending_probes.borrow_mut();
    let broken = pending.entry(run).or_insert_with(|| {
        spawn_local(probe_upstream(Rc::clone(gateway), entry.clone()));
        BrokenRequests {
            at: gateway.now(),
            requests: 0,
            unanswered: Vec::new(),
            features: IndexSet::new(),
            probe: Rc::new(Semaphore::new(0)),
        }
    });
    broken.requests += 1;
    if let Some(request) = unanswered {
        broken.unanswered.push(request.digest);
        broken.features.extend(request.features);
    }
    RunningProbe(Rc::clone(&broken.probe))
}

async fn probe_upstream(gateway: Rc<Gateway>, entry: UpstreamEntry) {
    sleep(PROBE_DELAY).await;
    let result = match connect(entry.address, PROBE_TIMEOUT, PROBE_TIMEOUT).await {
        Ok(_) => ProbeResult::Running,
        Err(ConnectError::Refused(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ProbeResult::Ended
        }
        Err(_) => ProbeResult::Unknown,
    };
    let run = UpstreamRun::of(&entry);
    let pending = gateway
        .crash_features
        .pending_probes
        .borrow_mut()
        .swap_remove(&run);
    let Some(broken) = pending else {
        return;
    };
    let label: &'static str = result.into();
    gateway.metrics.count_tagged("upstream.probed", label);
    let age = gateway.now().saturating_duration_since(broken.at);
    info!(gateway.log, "upstream probed"; "upstream" => %entry.id, "result" => %result,
        "requests" => broken.requests, "features" => broken.features.len(),
        "unanswered" => format_digests(&broken.unanswered),
        "broken_ms_ago" => age.as_millis() as u64, "started_ms" => entry.started_ms);
    if result == ProbeResult::Ended {
        let features = broken.features.into_iter().collect();
        record_crash(&gateway, &entry, broken.at, features);
    }
    broken.probe.close();
}

fn format_digests(digests: &[RequestDigest]) -> String {
    let logged = digests.iter().take(MAX_LOGGED_REQUESTS);
    let texts: Vec<String> = logged.map(RequestDigest::to_string).collect();
    texts.join(",")
}
