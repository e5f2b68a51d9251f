//! The router's own record in the fleet.

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

/// Registers the router and, when it leaves, says so in the store.
#[derive(Clone)]
pub struct MembershipHandle {
    leave: Rc<watch::Sender<bool>>,
    announced: Rc<Cell<bool>>,
    superseded: Rc<Cell<bool>>,
}

impl MembershipHandle {
    /// Starts registering `record`, for as long as it takes.
    pub fn start<S: ConfigStore + 'static>(
        store: Rc<S>,
        record: MemberRecord,
        context: DaemonContext,
    ) -> Self {
        let (leave, leaving) = watch::channel(false);
        let handle = Self {
            leave: Rc::new(leave),
            announced: Rc::default(),
            superseded: Rc::default(),
        };
        spawn(keep_registered(
            store,
            Registration::new(record),
            leaving,
            handle.clone(),
            context,
        ));
        handle
    }

    /// Has the record say that the router leaves.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// Tells whether the store says that the router leaves.
    pub fn is_announced(&self) -> bool {
        self.announced.get()
    }

    /// Tells whether a later run has registered in this one's place.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }
}

async fn keep_registered<S: ConfigStore>(
    store: Rc<S>,
    mut registration: Registration,
    mut leaving: watch::Receiver<bool>,
    handle: MembershipHandle,
    context: DaemonContext,
) {
    loop {
        let left = *leaving.borrow();
        if left {
            registration.change(|record| record.state = MemberState::Leaving);
        }
        let registered = tokio::select! {
            result = register_member(&*store, &mut registration) => Some(result),
            _ = leaving.changed(), if !left => None,
        };
        match registered {
            None => continue,
            Some(Err(by)) => {
                error!(context.logger, "a later run is registered"; "run" => by.to_string());
                handle.superseded.set(true);
                return;
            }
            Some(Ok(revision)) => {
                info!(context.logger, "registered"; "revision" => revision.to_string(),
                    "leaving" => left);
            }
        }
        if left {
            handle.announced.set(true);
            return;
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}
