//! Regions whose VMs an answer may name.

use snipegate_types::DataCentre;
use snipegate_types::RegionName;

use crate::gateway::Gateway;
use crate::wire_format::AddressQuery;

/// Regions whose VMs an answer to one query may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NamedRegions {
    /// All regions.
    All,
    /// Only these.
    Only(Vec<RegionName>),
}

impl NamedRegions {
    /// Returns the regions for a query: those that the routes of the host allow, and the
    /// caller's.
    ///
    /// The query does not say which route the caller uses, so a region must be allowed by all
    /// routes of the host that allow only some. Before a configuration is known, any host may
    /// have such routes.
    pub fn of_query(gateway: &Gateway, query: &AddressQuery) -> Self {
        let regions = &gateway.settings.regions;
        let data_centre = query.data_centre.as_deref();
        let zone_region = data_centre
            .and_then(|name| name.parse::<DataCentre>().ok())
            .and_then(|name| regions.get(&name).cloned());
        let own_region = zone_region.or_else(|| query.region.as_deref()?.parse().ok());
        let host = query.host.as_deref().unwrap_or_default();
        match gateway.current_config() {
            Some(config) => Self::new(&config.restrictions_of(host), own_region),
            None if regions.is_empty() || host.is_empty() => Self::All,
            None => Self::Only(own_region.into_iter().collect()),
        }
    }

    /// Returns the regions for a host with routes that allow only `restrictions`, and a caller in
    /// `own_region`.
    pub fn new(restrictions: &[&[RegionName]], own_region: Option<RegionName>) -> Self {
        let Some((first, others)) = restrictions.split_first() else {
            return Self::All;
        };
        let is_in_all = |region: &&RegionName| others.iter().all(|list| list.contains(region));
        let mut allowed: Vec<RegionName> = first.iter().filter(is_in_all).cloned().collect();
        allowed.extend(own_region);
        if allowed.is_empty() {
            // No region is allowed by all routes, and some address is better than none.
            allowed = restrictions.concat();
        }
        Self::Only(allowed)
    }

    /// Returns whether VMs of a region may be named; `None` is an unknown region.
    pub fn includes(&self, region: Option<&RegionName>) -> bool {
        match self {
            NamedRegions::All => true,
            NamedRegions::Only(names) => region.is_some_and(|region| names.contains(region)),
        }
    }
}
