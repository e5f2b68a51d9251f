//! Configuration of a fleet: routes, services, limits and workspaces.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use snipegate_types::ByteCount;
use snipegate_types::RegionName;
use snipegate_types::RequestRate;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use strum::Display;

/// Version number of a configuration. A higher version replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Name of a service, a group of interchangeable upstreams.
pub type ServiceName = std::rc::Rc<str>;

/// Whether and how a route's requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RetrySafety {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must not run more than once.
    Once,
    /// The response is an event stream, and requests must not run more than once.
    Stream,
    /// The response is an event stream that can be resumed at another upstream.
    ResumableStream,
}

impl RetrySafety {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RetrySafety::Stream | RetrySafety::ResumableStream)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }
}

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Rule for the requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Host name, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be retried.
    pub retry_safety: RetrySafety,
    /// Longest time until a request is fully answered.
    pub timeout: Duration,
    /// Target time to the first byte of the response.
    pub target: Option<Duration>,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Services that process the requests, with their weights.
    pub services: Vec<ServiceWeight>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Longest pause between two events of a stream that callers accept.
    pub max_event_gap: Option<Duration>,
    /// Regions whose upstreams may process the requests; empty if all may.
    pub allowed_regions: Vec<RegionName>,
}

impl RouteRule {
    /// Picks a service by weight. `point` is in `0.0..1.0`.
    pub fn pick_service(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|service| service.weight).sum();
        let mut left = point * total;
        for service in self.services.iter().filter(|service| service.weight > 0.0) {
            left -= service.weight;
            if left < 0.0 {
                return Some(&service.service);
            }
        }
        self.services
            .iter()
            .rev()
            .find(|service| service.weight > 0.0)
            .map(|service| &service.service)
    }
}

/// How long an upstream of a service stays cold, and what it can take meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// How long an upstream stays cold after its start.
    pub duration: Duration,
    /// Requests that a cold upstream takes from all VMs together.
    pub rate: RequestRate,
}

/// What cold upstreams tolerate beyond their stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate, in any one second.
    pub overrun: f64,
    /// Requests beyond that, in any one second.
    pub slack: f64,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRule {
    /// Number of requests that an engine processes concurrently.
    pub slots: u32,
    /// Capacity of an engine's prompt cache, in tokens.
    pub cache_capacity: TokenCount,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
}

/// Properties of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
    /// Number of connections that each upstream accepts from all VMs together, if known.
    pub connections: Option<u32>,
    /// What cold upstreams take; `None` if upstreams of the service don't turn cold.
    pub cold: Option<ColdRule>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head: ByteCount,
    /// Maximum size of a request body.
    pub body: ByteCount,
    /// Longest time to receive a request head.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Properties of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceRule {
    /// Priority of its requests, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Purchased tokens; `None` if the workspace has no budget.
    pub prepaid: Option<TokenCount>,
    /// Regions whose upstreams may process its requests; empty if all may.
    pub allowed_regions: Vec<RegionName>,
}

/// One version of a fleet's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Routes by host, longest prefix first.
    routes: IndexMap<Box<str>, Vec<RouteRule>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceRule>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Workspaces by id.
    pub workspaces: IndexMap<WorkspaceId, WorkspaceRule>,
    /// Workspaces by API key.
    pub keys: IndexMap<Box<str>, WorkspaceId>,
}

impl FleetConfig {
    /// Creates a configuration without routes, services and workspaces.
    pub fn new(version: ConfigVersion, limits: CallerLimits) -> Self {
        Self {
            version,
            routes: IndexMap::new(),
            services: IndexMap::new(),
            limits,
            workspaces: IndexMap::new(),
            keys: IndexMap::new(),
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteRule) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, route);
    }

    /// Returns the route of the host with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the allowed regions of those routes of a host that allow only some.
    pub fn restrictions_of(&self, host: &str) -> Vec<&[RegionName]> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host.to_ascii_lowercase().as_str());
        let lists = routes.into_iter().flatten().map(|r| &*r.allowed_regions);
        lists.filter(|list| !list.is_empty()).collect()
    }

    /// Returns whether requests to routes that are not public need an API key.
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}
