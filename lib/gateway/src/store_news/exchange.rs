//! Sends and receives news of changes in the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gossip::PeerMessage;
use crate::gossip::gossip_targets;
use crate::gossip::send_to;
use crate::store_news::news_inbox::NewsInbox;
use crate::store_news::news_outbox::NewsOutbox;
use crate::store_news::store_change_news::StoreNews;

/// News received and to be sent.
#[derive(Debug, Default)]
pub struct NewsBoard {
    /// By the prefixes that this VM follows.
    pub inboxes: RefCell<IndexMap<Box<str>, NewsInbox>>,
    /// Notified when there is something new in an inbox.
    pub arrived: Notify,
    /// News that this VM sends.
    pub outbox: RefCell<NewsOutbox>,
    /// Notified when there is something new in the outbox.
    pub published: Notify,
    /// Present era of the store, with the time since which it is known.
    era_known_since: Cell<Option<(StoreEra, Instant)>>,
}

impl NewsBoard {
    /// Records that all changes under `prefix` up to `known` are known.
    pub fn enter(&self, prefix: &str, known: StoreRevision, now: Instant) {
        let since = self.era_known_since.get();
        if since.is_none_or(|(era, _)| era < known.era) {
            self.era_known_since.set(Some((known.era, now)));
        }
        let mut inboxes = self.inboxes.borrow_mut();
        match inboxes.get_mut(prefix) {
            Some(inbox) => inbox.record_known(known),
            None => {
                let inbox = NewsInbox::new(known, fastrand::f64());
                inboxes.insert(prefix.into(), inbox);
            }
        }
    }

    /// Returns whether a prefix was entered.
    pub fn follows(&self, prefix: &str) -> bool {
        self.inboxes.borrow().contains_key(prefix)
    }

    /// Returns when this VM first knew the present era of the store.
    pub fn era_known_since(&self) -> Option<Instant> {
        self.era_known_since.get().map(|(_, since)| since)
    }

    /// Calls `action` with the inbox of a prefix that was entered before.
    pub fn with_inbox<T>(&self, prefix: &str, action: impl FnOnce(&mut NewsInbox) -> T) -> T {
        let mut inboxes = self.inboxes.borrow_mut();
        let inbox = inboxes.get_mut(prefix).expect("prefix should be followed");
        action(inbox)
    }
}

/// Sends news until the process ends.
pub async fn announce_news(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let due = gateway.store_news.outbox.borrow_mut().take_due(now);
        for news in due {
            send_news(&gateway, &socket, news);
        }
        let next = gateway.store_news.outbox.borrow().next_due(now);
        let pause = next.saturating_duration_since(now);
        let _ = timeout(pause, gateway.store_news.published.notified()).await;
    }
}

fn send_news(gateway: &Gateway, socket: &UdpSocket, news: StoreNews) {
    let targets = gossip_targets(gateway, gateway.now());
    let news = Box::new(news);
    let direct = PeerMessage::StoreNews(news.clone());
    send_to(gateway, socket, &direct, &targets.direct);
    let relayed = PeerMessage::RelayStoreNews(news);
    send_to(gateway, socket, &relayed, &targets.relays);
    gateway.metrics.count_tagged("store.news", "sent");
}

/// Applies news of another VM.
pub fn apply_news(gateway: &Gateway, news: StoreNews) {
    let now = gateway.now();
    let mut inboxes = gateway.store_news.inboxes.borrow_mut();
    let Some(inbox) = inboxes.get_mut(&news.prefix) else {
        return;
    };
    if inbox.record(news, now) {
        gateway.metrics.count_tagged("store.news", "received");
        gateway.store_news.arrived.notify_waiters();
    }
}
