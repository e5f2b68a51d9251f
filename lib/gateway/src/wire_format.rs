//! The interface to the wire and storage formats of a deployment.

use std::time::Duration;

use snipegate_http1::RequestHead;
use snipegate_http1::ResponseHead;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;

use crate::config::FleetConfig;
use crate::metadata::RequestMetadata;
use crate::metadata::ResponseMetadata;
use crate::upstream::UpstreamEntry;

/// What is added to a request that is forwarded to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// The workspace that owns the caller's key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Urgency class of a generation; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Id of the event after which an interrupted stream resumes.
    pub resume_after: Option<&'a str>,
    /// Length of the request body in bytes.
    pub body_length: usize,
}

/// A caller's query for the addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// The host that the caller will send requests to, if given.
    pub host: Option<Box<str>>,
    /// The caller's region, if given.
    pub region: Option<Box<str>>,
    /// The caller's data centre, if given.
    pub data_centre: Option<Box<str>>,
}

/// Keys and key prefixes in the configuration store.
#[derive(Clone, Debug)]
pub struct StoreLayout {
    /// The key of the configuration.
    pub config_key: &'static str,
    /// The prefix under which the keys of the configuration and of evacuations are listed and
    /// watched.
    pub config_prefix: &'static str,
    /// The prefix of the keys of evacuations; the rest of a key is the data centre.
    pub evacuation_prefix: &'static str,
    /// The prefix of the upstreams' entries; the rest of a key is the upstream's id.
    pub upstream_prefix: &'static str,
    /// The prefix of the VMs' records.
    pub vm_prefix: &'static str,
    /// The prefix of the budgets' records.
    pub budget_prefix: &'static str,
    /// The prefix of the markers of the store's eras; the rest of a key is the era.
    pub era_prefix: &'static str,
    /// The key of the quarantine of features of requests.
    pub quarantine_key: &'static str,
}

/// Encodes and decodes the wire and storage formats of a deployment.
pub trait WireFormat {
    /// Returns the keys and key prefixes in the configuration store.
    fn layout(&self) -> StoreLayout;

    /// Decodes the metadata in the head of a request.
    fn decode_request(&self, head: &RequestHead) -> RequestMetadata;

    /// Builds the head of a request to an upstream.
    fn forward_head(&self, head: &RequestHead, metadata: &ForwardMetadata<'_>) -> RequestHead;

    /// Decodes the metadata in the head of an upstream's response.
    fn decode_answer(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Adds the fields that correlate a locally generated response with its request.
    fn tag_local_response(&self, head: &mut ResponseHead, metadata: &RequestMetadata);

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid.
    fn decode_config(&self, bytes: &[u8]) -> Result<FleetConfig, String>;

    /// Decodes an upstream's entry in the configuration store.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid.
    fn decode_upstream(&self, id: &UpstreamId, bytes: &[u8]) -> Result<UpstreamEntry, String>;

    /// Decodes an address query; `None` if the request is not one.
    fn decode_address_query(&self, head: &RequestHead) -> Option<AddressQuery>;

    /// Encodes the response to an address query; `keep` is how long callers may cache it.
    fn encode_addresses(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Returns whether a request is a readiness probe.
    fn is_readiness_probe(&self, head: &RequestHead) -> bool;
}
