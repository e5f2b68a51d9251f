//! Slots of the running batch, granted by priority.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// Slots of the batch and the requests waiting for one.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    running: usize,
    last_ticket: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
}

impl SlotQueue {
    /// Creates a queue that runs at most `slots` requests concurrently.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            last_ticket: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Requests a slot and returns a receiver that is notified once it is granted.
    ///
    /// Requests are served in order of descending priority, then of arrival.
    pub fn acquire(&mut self, priority: i64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.last_ticket += 1;
        self.waiting.insert((-priority, self.last_ticket), sender);
        self.grant_free_slots();
        receiver
    }

    /// Releases a slot.
    pub fn release(&mut self) {
        self.running -= 1;
        self.grant_free_slots();
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
            .values()
            .filter(|sender| !sender.is_closed())
            .count()
    }

    /// Grants the free slots to waiting requests.
    fn grant_free_slots(&mut self) {
        while self.running < self.slots {
            let Some((_, sender)) = self.waiting.pop_first() else {
                break;
            };
            if sender.send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}
