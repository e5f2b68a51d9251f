//! The wire formats of a deployment, as an interface.

use std::time::Duration;

use snipegate_http1::AnswerHead;
use snipegate_http1::RequestHead;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;

use crate::config::FleetConfig;
use crate::terms::AnswerTerms;
use crate::terms::RequestTerms;
use crate::upstream::UpstreamEntry;

/// What goes to the upstream with a request.
#[derive(Clone, Debug)]
pub struct ForwardPlan<'a> {
    /// The upstream that should run the request, and no other.
    pub upstream: &'a UpstreamId,
    /// The workspace of the caller's key.
    pub workspace: Option<&'a WorkspaceId>,
    /// How long the upstream may work.
    pub time_left: Duration,
    /// Rank of the request among generations; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The event after which a broken stream goes on.
    pub resume_after: Option<&'a str>,
    /// Length of the body that follows.
    pub body_length: usize,
}

/// A caller's question which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// The data centre that the caller is in, if it says so.
    pub data_centre: Option<Box<str>>,
}

/// Where things lie in the configuration store.
#[derive(Clone, Debug)]
pub struct StoreLayout {
    /// The key of the configuration.
    pub config_key: &'static str,
    /// The prefix of the key of the configuration.
    pub config_prefix: &'static str,
    /// The prefix of the upstreams' entries; the rest of a key is the id.
    pub upstream_prefix: &'static str,
    /// The prefix of the VMs' records.
    pub vm_prefix: &'static str,
    /// The prefix of the budgets' records.
    pub budget_prefix: &'static str,
}

/// The wire formats of a deployment.
pub trait FrontDialect {
    /// Returns where things lie in the configuration store.
    fn layout(&self) -> StoreLayout;

    /// Decodes what a request says of itself.
    fn decode_request(&self, head: &RequestHead) -> RequestTerms;

    /// Makes the head of a request to an upstream.
    fn forward_head(&self, head: &RequestHead, plan: &ForwardPlan<'_>) -> RequestHead;

    /// Decodes what an answer says of itself.
    fn decode_answer(&self, head: &AnswerHead) -> AnswerTerms;

    /// Adds to an own answer what ties it to its request.
    fn mark_own_answer(&self, head: &mut AnswerHead, terms: &RequestTerms);

    /// Decodes a configuration; `None` with a reason if it can't be read.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn decode_config(&self, bytes: &[u8]) -> Result<FleetConfig, String>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// Says why it names no upstream.
    fn decode_upstream(&self, id: &UpstreamId, bytes: &[u8]) -> Result<UpstreamEntry, String>;

    /// Decodes a caller's question for addresses; `None` if it is something else.
    fn decode_address_query(&self, head: &RequestHead) -> Option<AddressQuery>;

    /// Encodes the answer to a question for addresses.
    fn encode_addresses(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Tells whether a request asks whether the VM is ready.
    fn is_ready_query(&self, head: &RequestHead) -> bool;
}
