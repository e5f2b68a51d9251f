//! A small load of callers that retry on other routers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ntex::rt::JoinHandle;
use ntex::rt::spawn;
use ntex::time::sleep;

use crate::caller::CallEnd;
use crate::caller::CallerCall;
use crate::caller::CallerRequest;
use crate::caller::FleetCaller;
use crate::caller::RouterTarget;
use crate::fleet::BOOKING;
use crate::fleet::MODEL;
use crate::fleet::TestFleet;
use crate::fleet::WORKSPACES;
use crate::fleet::workspace_key;

/// Attempts of one request before its caller gives it up.
const MAX_ATTEMPTS: usize = 40;

/// Pause before a caller tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest answer that callers ask for, in tokens.
const MAX_ANSWER_TOKENS: u64 = 60;

/// One request in this many is a booking.
const BOOKING_SHARE: u32 = 4;

/// One request in this many is sent to two routers at once.
const DOUBLE_SHARE: u32 = 5;

/// Callers that go on until they are stopped.
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
    /// Starts callers with these seeds.
    pub async fn start(fleet: &TestFleet, seed: u64, callers: u64) -> Self {
        let shared = Rc::new(LoadState {
            caller: FleetCaller::new(fleet.recorder.clone()).await,
            targets: RefCell::new(fleet.targets()),
            answered: Cell::new(0),
            stopped: Cell::new(false),
        });
        let callers = (0..callers)
            .map(|number| spawn(run_caller(Rc::clone(&shared), seed, number)))
            .collect();
        Self { shared, callers }
    }

    /// Tells the callers which routers there are now.
    pub fn set_targets(&self, targets: Vec<RouterTarget>) {
        self.shared.targets.replace(targets);
    }

    /// Returns the number of whole answers so far.
    pub fn answered(&self) -> usize {
        self.shared.answered.get()
    }

    /// Lets every caller settle the request that it has, and ends.
    pub async fn finish(self) {
        self.shared.stopped.set(true);
        for caller in self.callers {
            caller.await.expect("caller ends");
        }
    }
}

async fn run_caller(state: Rc<LoadState>, seed: u64, number: u64) {
    let mut random = fastrand::Rng::with_seed(seed << 16 | number);
    let mut sequence = 0;
    while !state.stopped.get() {
        sequence += 1;
        let key = format!("s{seed}-c{number}-{sequence}");
        let request = draw_request(&mut random, key);
        if random.u32(..DOUBLE_SHARE) == 0 {
            let other = run_request(&state, &request, random.fork());
            let own = run_request(&state, &request, random.fork());
            futures_util::future::join(own, other).await;
        } else {
            run_request(&state, &request, random.fork()).await;
        }
    }
}

fn draw_request(random: &mut fastrand::Rng, idempotency_key: String) -> CallerRequest {
    let name = WORKSPACES[random.usize(..WORKSPACES.len())];
    let call = if random.u32(..BOOKING_SHARE) == 0 {
        CallerCall::Booking {
            service: BOOKING.to_owned(),
        }
    } else {
        CallerCall::Chat {
            model: MODEL.to_owned(),
            answer_tokens: random.u64(1..MAX_ANSWER_TOKENS),
            stream: random.bool(),
        }
    };
    CallerRequest {
        workspace: name.parse().expect("name is accepted"),
        key: workspace_key(name),
        idempotency_key,
        call,
    }
}

async fn run_request(state: &LoadState, request: &CallerRequest, mut random: fastrand::Rng) {
    for _ in 0..MAX_ATTEMPTS {
        let target = {
            let targets = state.targets.borrow();
            targets[random.usize(..targets.len())].clone()
        };
        let end = state.caller.attempt(request, &target).await;
        if let CallEnd::Answered { .. } = end {
            state.answered.set(state.answered.get() + 1);
        }
        if !end.is_retryable() {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}
