//! Registration of the router in the fleet.

use std::cell::Cell;
use std::rc::Rc;

use ntex::rt::spawn;
use slog::error;
use slog::info;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
use snipegate_fleet::Registration;
use snipegate_fleet::register_member;
use snipegate_platform::ConfigStore;
use snipegate_service::DaemonContext;
use tokio::sync::watch;

/// Registers the router in the store and marks it as leaving on shutdown.
#[derive(Clone)]
pub struct MembershipHandle {
    leave_sender: Rc<watch::Sender<bool>>,
    announced: Rc<Cell<bool>>,
    superseded: Rc<Cell<bool>>,
}

impl MembershipHandle {
    /// Starts a task that registers `record` and retries until it succeeds.
    pub fn start<S: ConfigStore + 'static>(
        store: Rc<S>,
        record: MemberRecord,
        context: DaemonContext,
    ) -> Self {
        let (leave_sender, leaving) = watch::channel(false);
        let handle = Self {
            leave_sender: Rc::new(leave_sender),
            announced: Rc::default(),
            superseded: Rc::default(),
        };
        spawn(maintain_registration(
            store,
            Registration::new(record),
            leaving,
            handle.clone(),
            context,
        ));
        handle
    }

    /// Requests that the record be marked as leaving.
    pub fn leave(&self) {
        self.leave_sender.send_replace(true);
    }

    /// Returns whether the store holds the record marked as leaving.
    pub fn is_announced(&self) -> bool {
        self.announced.get()
    }

    /// Returns whether a later incarnation has registered in place of this one.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }
}

async fn maintain_registration<S: ConfigStore>(
    store: Rc<S>,
    mut registration: Registration,
    mut leaving: watch::Receiver<bool>,
    handle: MembershipHandle,
    context: DaemonContext,
) {
    loop {
        let is_leaving = *leaving.borrow();
        if is_leaving {
            registration.change(|record| record.state = MemberState::Leaving);
        }
        let registered = tokio::select! {
            result = register_member(&*store, &mut registration) => Some(result),
            _ = leaving.changed(), if !is_leaving => None,
        };
        match registered {
            None => continue,
            Some(Err(successor)) => {
                error!(context.logger, "superseded by a later incarnation";
                    "run" => successor.to_string());
                handle.superseded.set(true);
                return;
            }
            Some(Ok(revision)) => {
                info!(context.logger, "registered"; "revision" => revision.to_string(),
                    "leaving" => is_leaving);
            }
        }
        if is_leaving {
            handle.announced.set(true);
            return;
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}
