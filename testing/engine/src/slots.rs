//! The places of the running batch, given out by priority.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// Requests that run together and those that wait for a place.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    running: usize,
    order: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
}

impl SlotQueue {
    /// Makes a queue for `slots` requests at a time.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            order: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Asks for a place; the receiver is told when there is one. The highest
    /// priority goes first, then the request that came first.
    pub fn ask(&mut self, priority: i64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.order += 1;
        self.waiting.insert((-priority, self.order), sender);
        self.fill();
        receiver
    }

    /// Gives a place back.
    pub fn release(&mut self) {
        self.running -= 1;
        self.fill();
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

    fn fill(&mut self) {
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
