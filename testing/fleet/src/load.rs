//! Load generator with concurrent callers that retry on any router.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ntex::rt::JoinHandle;
use ntex::rt::spawn;
use ntex::time::sleep;

use crate::caller::CallerRequest;
use crate::caller::FleetCaller;
use crate::caller::RequestKind;
use crate::caller::RequestOutcome;
use crate::caller::RouterTarget;
use crate::fleet::BOOKING_SERVICE;
use crate::fleet::MODEL;
use crate::fleet::TestFleet;
use crate::fleet::WORKSPACES;
use crate::fleet::workspace_api_key;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 40;

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Exclusive upper limit of the requested answer length, in tokens.
const MAX_ANSWER_TOKENS: u64 = 60;

/// On average, one request in this many is a booking.
const REQUESTS_PER_BOOKING: u32 = 4;

/// On average, one request in this many is run twice concurrently, usually on
/// different routers.
const REQUESTS_PER_DUPLICATE: u32 = 5;

/// Callers that send requests until they are stopped.
pub struct FleetLoad {
    shared: Rc<LoadState>,
    callers: Vec<JoinHandle<()>>,
}

struct LoadState {
    caller: FleetCaller,
    targets: RefCell<Vec<RouterTarget>>,
    answered: Cell<usize>,
    stopped: Cell<bool>,
}

impl FleetLoad {
    /// Starts callers whose random choices derive from the seed.
    pub async fn start(fleet: &TestFleet, seed: u64, callers: u64) -> Self {
        let shared = Rc::new(LoadState {
            caller: FleetCaller::new(fleet.recorder.clone()).await,
            targets: RefCell::new(fleet.router_targets()),
            answered: Cell::new(0),
            stopped: Cell::new(false),
        });
        let callers = (0..callers)
            .map(|number| spawn(run_caller(Rc::clone(&shared), seed, number)))
            .collect();
        Self { shared, callers }
    }

    /// Replaces the routers to which callers send requests.
    pub fn set_targets(&self, targets: Vec<RouterTarget>) {
        self.shared.targets.replace(targets);
    }

    /// Returns the number of complete answers received so far.
    pub fn answered(&self) -> usize {
        self.shared.answered.get()
    }

    /// Stops all callers and waits until their current requests have finished.
    pub async fn finish(self) {
        self.shared.stopped.set(true);
        for caller in self.callers {
            caller.await.expect("caller task does not panic");
        }
    }
}

async fn run_caller(state: Rc<LoadState>, seed: u64, number: u64) {
    let mut random = fastrand::Rng::with_seed(seed << 16 | number);
    let mut sequence = 0;
    while !state.stopped.get() {
        sequence += 1;
        let key = format!("s{seed}-c{number}-{sequence}");
        let request = random_request(&mut random, key);
        if random.u32(..REQUESTS_PER_DUPLICATE) == 0 {
            let duplicate = run_request(&state, &request, random.fork());
            let original = run_request(&state, &request, random.fork());
            futures_util::future::join(original, duplicate).await;
        } else {
            run_request(&state, &request, random.fork()).await;
        }
    }
}

fn random_request(random: &mut fastrand::Rng, idempotency_key: String) -> CallerRequest {
    let name = WORKSPACES[random.usize(..WORKSPACES.len())];
    let kind = if random.u32(..REQUESTS_PER_BOOKING) == 0 {
        RequestKind::Booking {
            service: BOOKING_SERVICE.to_owned(),
        }
    } else {
        RequestKind::Chat {
            model: MODEL.to_owned(),
            answer_tokens: random.u64(1..MAX_ANSWER_TOKENS),
            stream: random.bool(),
        }
    };
    CallerRequest {
        workspace: name.parse().expect("name is valid"),
        key: workspace_api_key(name),
        idempotency_key,
        kind,
    }
}

async fn run_request(state: &LoadState, request: &CallerRequest, mut random: fastrand::Rng) {
    for _ in 0..MAX_ATTEMPTS {
        let target = {
            let targets = state.targets.borrow();
            targets[random.usize(..targets.len())].clone()
        };
        let outcome = state.caller.attempt(request, &target).await;
        if let RequestOutcome::Answered { .. } = outcome {
            state.answered.set(state.answered.get() + 1);
        }
        if !outcome.is_retryable() {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}
