//! Calls that crash upstreams, sent before the planned faults of a run.

use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use snipegate_standin_site::CrashCause;
use snipegate_standin_site::CrashTrigger;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::SoakRun;
use crate::callers::CRASHING_PART;
use crate::callers::CRASHING_PATH;
use crate::callers::CallKind;
use crate::callers::CallerState;
use crate::callers::send_crashing_calls;
use crate::check::Disturbance;
use crate::plan::draw_crash_phase;

/// How long calls that crash upstreams are sent before the plan.
const CRASH_PHASE: Duration = Duration::from_secs(9);

/// Time until an upstream begins to answer a call that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// How long an upstream is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);

impl SoakRun {
    /// Sends calls that crash upstreams beside faults that the seed draws: prompts with a common
    /// part, or the same booking.
    pub(super) async fn execute_crash_phase(
        &self,
        seed: u64,
        vms: usize,
        callers: &Rc<CallerState>,
    ) -> io::Result<()> {
        let plan = draw_crash_phase(seed, vms, CRASH_PHASE);
        let until = Instant::now() + CRASH_PHASE;
        let (kind, cause) = match seed.is_multiple_of(2) {
            true => {
                let cause = CrashCause::Request(CRASHING_PATH.to_owned(), Vec::new());
                (CallKind::CrashingBooking, cause)
            }
            false => {
                let cause = CrashCause::Part(CRASHING_PART.to_owned());
                (CallKind::CrashingPrompt, cause)
            }
        };
        for runner in &self.runners {
            runner.set_crash_trigger(Some(CrashTrigger {
                cause: cause.clone(),
                delay: CRASH_DELAY,
                downtime: CRASH_DOWNTIME,
            }));
        }
        let sender = spawn_local(send_crashing_calls(Rc::clone(callers), kind, until));
        self.execute_plan(&plan).await?;
        sender.await.map_err(io::Error::other)
    }
}

/// Takes the link of an upstream down at each crash, and lists the run after it.
pub(super) async fn restart_after_crashes(run: Rc<SoakRun>, upstream: usize) {
    loop {
        let downtime = run.runners[upstream].wait_for_crash().await;
        run.runner_links[upstream].take_down(downtime);
        let from = Instant::now();
        sleep(downtime).await;
        run.write_upstream_entry(upstream, "ready");
        run.record.borrow_mut().disturbances.push(Disturbance {
            vm: None,
            interrupts_vms: false,
            from,
            until: Instant::now(),
        });
    }
}
