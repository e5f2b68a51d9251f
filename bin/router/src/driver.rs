//! Runs the control state on its thread and carries out its effects.

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
use crate::ledger_post::LedgerPost;

/// Path of messages between routers.
pub const PEER_PATH: &str = "/peer";

/// Time between two ticks of the control state.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// How long a peer may take to accept a message.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// Commands taken before effects are carried out.
const COMMANDS_PER_TURN: usize = 256;

/// A message from one router to another, with who is meant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: IncarnationId,
    /// The receiver; another run of its process must not take the message.
    pub to: IncarnationId,
    /// The message.
    pub message: EscrowMessage,
}

/// How the control thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlEnd {
    /// Everything held was handed back.
    Released,
    /// This incarnation was declared dead.
    Closed,
}

/// The control thread's state with its way to the network.
pub struct ControlDriver {
    control: RouterControl,
    own: IncarnationId,
    clock: Arc<dyn TimeSource>,
    context: DaemonContext,
    sender: UnboundedSender<ControlCommand>,
    post: Rc<LedgerPost>,
    peers: Rc<MessageClient>,
    views: watch::Sender<Arc<FleetView>>,
    end: Option<ControlEnd>,
}

impl ControlDriver {
    /// Makes the driver; traffic threads read `views`.
    pub fn new(
        control: RouterControl,
        own: IncarnationId,
        clock: Arc<dyn TimeSource>,
        context: DaemonContext,
        sender: UnboundedSender<ControlCommand>,
        views: watch::Sender<Arc<FleetView>>,
    ) -> Self {
        Self {
            control,
            own,
            clock,
            context,
            sender,
            post: Rc::default(),
            peers: Rc::default(),
            views,
            end: None,
        }
    }

    /// Takes commands until the process may end.
    pub async fn run(mut self, mut commands: UnboundedReceiver<ControlCommand>) -> ControlEnd {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return ControlEnd::Released,
                },
                () = sleep(TICK_PERIOD) => {}
            }
            for _ in 0..COMMANDS_PER_TURN {
                match commands.try_recv() {
                    Ok(command) => self.take(command),
                    Err(_) => break,
                }
            }
            self.control.tick(self.clock.now());
            for effect in self.control.take_effects(self.clock.now()) {
                self.carry_out(effect);
            }
            if let Some(end) = self.end {
                return end;
            }
        }
    }

    fn take(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Post {
                shard,
                operations,
                until,
                reply,
            } => {
                let batch = LedgerBatch {
                    shard,
                    sender: self.own.clone(),
                    first: None,
                    operations,
                };
                let post = Rc::clone(&self.post);
                let views = self.views.subscribe();
                let clock = Arc::clone(&self.clock);
                spawn(async move {
                    let view = || views.borrow().clone();
                    let results = post.post_until(view, &batch, &*clock, until).await;
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

    fn carry_out(&mut self, effect: EscrowEffect) {
        match effect {
            EscrowEffect::SendBatch { id, batch } => {
                let post = Rc::clone(&self.post);
                let view = Arc::clone(self.control.view());
                let sender = self.sender.clone();
                spawn(async move {
                    let outcome = match post.post(&view, &batch).await {
                        Ok(answer) => BatchOutcome::Answered(answer),
                        Err(_) => BatchOutcome::Lost,
                    };
                    let shard = batch.shard;
                    let _ = sender.send(ControlCommand::BatchEnded { shard, id, outcome });
                });
            }
            EscrowEffect::SendPeer { to, message } => self.send_peer(to, message),
            EscrowEffect::Stopped => self.end = Some(ControlEnd::Released),
            EscrowEffect::Closed => {
                error!(self.context.logger, "declared dead by the ledger, ending");
                self.end = Some(ControlEnd::Closed);
            }
            EscrowEffect::Admitted { .. }
            | EscrowEffect::Refused { .. }
            | EscrowEffect::BillSafe { .. }
            | EscrowEffect::BillUnsafe { .. }
            | EscrowEffect::FenceDone { .. }
            | EscrowEffect::Count { .. } => {}
        }
    }

    fn send_peer(&self, to: IncarnationId, message: EscrowMessage) {
        let Some(address) = self.control.view().peer_address(&to) else {
            self.context.metrics.count("peer.unknown");
            return;
        };
        let envelope = PeerEnvelope {
            from: self.own.clone(),
            to,
            message,
        };
        let peers = Rc::clone(&self.peers);
        let metrics = self.context.metrics.clone();
        spawn(async move {
            let sent: Result<(), _> = peers.call(address, PEER_PATH, &envelope, PEER_WAIT).await;
            if sent.is_err() {
                metrics.count("peer.failed");
            }
        });
    }
}
