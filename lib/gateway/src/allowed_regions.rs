//! Regions in which requests may be processed.

use snipegate_types::RegionName;
use snipegate_types::WorkspaceId;

use crate::config::FleetConfig;
use crate::config::RouteRule;

/// The regions of one request. Both lists apply; an empty one allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    route: Vec<RegionName>,
    workspace: Vec<RegionName>,
}

impl AllowedRegions {
    /// Returns the regions for requests of a workspace to a route.
    pub fn new(config: &FleetConfig, route: &RouteRule, workspace: Option<&WorkspaceId>) -> Self {
        let workspace = workspace.and_then(|id| config.workspaces.get(id));
        Self {
            route: route.allowed_regions.clone(),
            workspace: workspace.map_or_else(Vec::new, |rule| rule.allowed_regions.clone()),
        }
    }

    /// Returns whether upstreams in a region may process the request; `None` is an unknown
    /// region.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        let lists = [&self.route, &self.workspace];
        let contains = |list: &Vec<RegionName>| region.is_some_and(|region| list.contains(region));
        lists.iter().all(|list| list.is_empty() || contains(list))
    }
}
