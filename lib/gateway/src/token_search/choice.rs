//! Chooses where a request that finds too few tokens gets more.
//!
//! Load addressed: hundreds of requests per second of one workspace at one VM, most of which
//! asked three VMs in turn, while the tokens were at another one.

use std::net::SocketAddr;

/// Source of additional tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// The budget record in the store, through a larger grant of this VM.
    Record,
    /// The keeper of the budget.
    Keeper(SocketAddr),
    /// A VM that reported free tokens.
    Holder(SocketAddr),
}

/// What is known when a source is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchView {
    /// Whether this VM does not reach the store.
    pub is_store_lost: bool,
    /// The VM that is the keeper; `None` if it is this one.
    pub keeper: Option<SocketAddr>,
    /// Whether the keeper may have tokens, by its last answer.
    pub may_ask_keeper: bool,
    /// Whether a larger grant would cover the request.
    pub needs_grant: bool,
    /// The VM that announced the most free tokens, of those that may still be asked.
    pub holder: Option<SocketAddr>,
}

/// Returns the source to try next; `None` if none is left.
///
/// While the store can be reached, the keeper can enlarge its grant, so it is asked first. In an
/// outage it can't, and most tokens may be elsewhere.
pub fn next_source(view: &SearchView) -> Option<TokenSource> {
    let keeper = view.keeper.filter(|_| view.may_ask_keeper);
    let keeper = keeper.map(TokenSource::Keeper);
    let holder = view.holder.map(TokenSource::Holder);
    if view.is_store_lost {
        return holder.or(keeper);
    }
    let may_use_record = view.keeper.is_none() && view.needs_grant;
    let record = may_use_record.then_some(TokenSource::Record);
    keeper.or(record).or(holder)
}
