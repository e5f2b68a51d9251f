//! Changes of the store that one VM's watch delivers, sent to the other VMs with their content,
//! so that these need neither a watch nor a listing.

mod exchange;
mod news_inbox;
mod news_outbox;
mod store_change_news;

pub use exchange::NewsBoard;
pub use exchange::announce_news;
pub use exchange::apply_news;
pub use news_inbox::NEWS_TIMEOUT;
pub use news_inbox::NewsInbox;
pub use news_inbox::NewsStep;
pub use news_outbox::NewsOutbox;
pub use store_change_news::NewsChange;
pub use store_change_news::NewsValue;
pub use store_change_news::StoreNews;

/// VMs follow the store by news in fleets with more than this number of known VMs. Below, the
/// calls saved are few.
const MAX_VMS_WITHOUT_NEWS: usize = 16;

/// Returns whether the VMs of a fleet of `vms` known VMs follow the store by news.
pub fn uses_news(vms: usize) -> bool {
    vms > MAX_VMS_WITHOUT_NEWS
}
