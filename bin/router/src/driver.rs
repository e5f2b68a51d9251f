//! Runs the control state on its thread and performs its network effects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::rt::spawn;
use ntex::time::sleep;
use serde::Deserialize;
use serde::Serialize;
use slog::error;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowMessage;
use snipegate_fleet::FleetView;
use snipegate_ledger::LedgerBatch;
use snipegate_service::DaemonContext;
use snipegate_service::MessageClient;
use snipegate_types::IncarnationId;
use snipegate_types::TimeSource;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::command::ControlCommand;
use crate::control::RouterControl;
use crate::ledger_client::LedgerClient;

/// HTTP path for messages between routers.
pub const PEER_PATH: &str = "/peer";

/// Maximum time between two ticks of the control state.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Maximum time for a peer to accept a message.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of queued commands handled before the next tick.
const MAX_COMMANDS_PER_TICK: usize = 256;

/// A message from one router to another, with its sender and receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The router that sent the message.
    pub from: IncarnationId,
    /// The receiver. A different incarnation of that process rejects the message.
    pub to: IncarnationId,
    /// The escrow message.
    pub message: EscrowMessage,
}

/// Why the control thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlEnd {
    /// All held tokens were returned to the ledger.
    Released,
    /// The ledger declared this incarnation dead.
    Closed,
}

/// Connects the control state to the network.
pub struct ControlDriver {
    control: RouterControl,
    incarnation: IncarnationId,
    clock: Arc<dyn TimeSource>,
    context: DaemonContext,
    sender: UnboundedSender<ControlCommand>,
    ledger: Rc<LedgerClient>,
    peer_client: Rc<MessageClient>,
    views: watch::Sender<Arc<FleetView>>,
    end: Option<ControlEnd>,
}

impl ControlDriver {
    /// Creates the driver, which publishes fleet views to the HTTP workers on `views`.
    pub fn new(
        control: RouterControl,
        incarnation: IncarnationId,
        clock: Arc<dyn TimeSource>,
        context: DaemonContext,
        sender: UnboundedSender<ControlCommand>,
        views: watch::Sender<Arc<FleetView>>,
    ) -> Self {
        Self {
            control,
            incarnation,
            clock,
            context,
            sender,
            ledger: Rc::default(),
            peer_client: Rc::default(),
            views,
            end: None,
        }
    }

    /// Handles commands until the process can exit.
    pub async fn run(mut self, mut commands: UnboundedReceiver<ControlCommand>) -> ControlEnd {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return ControlEnd::Released,
                },
                () = sleep(TICK_PERIOD) => {}
            }
            for _ in 0..MAX_COMMANDS_PER_TICK {
                match commands.try_recv() {
                    Ok(command) => self.handle_command(command),
                    Err(_) => break,
                }
            }
            self.control.tick(self.clock.now());
            for effect in self.control.take_effects(self.clock.now()) {
                self.perform_effect(effect);
            }
            if let Some(end) = self.end {
                return end;
            }
        }
    }

    fn handle_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Post {
                shard,
                operations,
                until,
                reply,
            } => {
                let batch = LedgerBatch {
                    shard,
                    sender: self.incarnation.clone(),
                    first: None,
                    operations,
                };
                let ledger = Rc::clone(&self.ledger);
                let views = self.views.subscribe();
                let clock = Arc::clone(&self.clock);
                spawn(async move {
                    let view = || views.borrow().clone();
                    let results = ledger.post_until(view, &batch, &*clock, until).await;
                    let _ = reply.send(results.ok_or(()));
                });
            }
            ControlCommand::ViewChanged(view) => {
                self.views.send_replace(Arc::clone(&view));
                let command = ControlCommand::ViewChanged(view);
                self.control.handle(command, self.clock.now());
            }
            command => self.control.handle(command, self.clock.now()),
        }
    }

    fn perform_effect(&mut self, effect: EscrowEffect) {
        match effect {
            EscrowEffect::SendBatch { id, batch } => {
                let ledger = Rc::clone(&self.ledger);
                let view = Arc::clone(self.control.view());
                let sender = self.sender.clone();
                spawn(async move {
                    let outcome = match ledger.post(&view, &batch).await {
                        Ok(answer) => BatchOutcome::Answered(answer),
                        Err(_) => BatchOutcome::Lost,
                    };
                    let shard = batch.shard;
                    let _ = sender.send(ControlCommand::BatchEnded { shard, id, outcome });
                });
            }
            EscrowEffect::SendPeerMessage { to, message } => self.send_to_peer(to, message),
            EscrowEffect::Stopped => self.end = Some(ControlEnd::Released),
            EscrowEffect::Closed => {
                error!(
                    self.context.logger,
                    "ledger declared this incarnation dead; exiting"
                );
                self.end = Some(ControlEnd::Closed);
            }
            EscrowEffect::Admitted { .. }
            | EscrowEffect::Refused { .. }
            | EscrowEffect::BillSafe { .. }
            | EscrowEffect::BillUnsafe { .. }
            | EscrowEffect::FenceCompleted { .. }
            | EscrowEffect::Count { .. } => {}
        }
    }

    fn send_to_peer(&self, to: IncarnationId, message: EscrowMessage) {
        let Some(address) = self.control.view().peer_address(&to) else {
            self.context.metrics.count("peer.unknown");
            return;
        };
        let envelope = PeerEnvelope {
            from: self.incarnation.clone(),
            to,
            message,
        };
        let client = Rc::clone(&self.peer_client);
        let metrics = self.context.metrics.clone();
        spawn(async move {
            let sent: Result<(), _> = client
                .call(address, PEER_PATH, &envelope, PEER_TIMEOUT)
                .await;
            if sent.is_err() {
                metrics.count("peer.failed");
            }
        });
    }
}
