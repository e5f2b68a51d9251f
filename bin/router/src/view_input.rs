//! Converts the fleet view into the inputs of routing and escrow.

use indexmap::IndexMap;
use snipegate_escrow::PeerEntry;
use snipegate_fleet::EngineRole as FleetRole;
use snipegate_fleet::FleetView;
use snipegate_fleet::PriorityLevel;
use snipegate_fleet::UpstreamEntry;
use snipegate_fleet::UpstreamKind as FleetKind;
use snipegate_routing::EngineRole;
use snipegate_routing::RateLimits;
use snipegate_routing::RequestPriority;
use snipegate_routing::ServedModel;
use snipegate_routing::UpstreamKind;
use snipegate_routing::UpstreamSpec;
use snipegate_routing::UpstreamState;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;

/// Returns the routing input for each upstream.
pub fn upstream_specs(view: &FleetView) -> Vec<UpstreamSpec> {
    view.upstreams()
        .map(|entry| upstream_spec(view, entry))
        .collect()
}

fn upstream_spec(view: &FleetView, entry: &UpstreamEntry) -> UpstreamSpec {
    let record = &entry.record;
    let services = record.services.iter().map(|offer| &offer.name);
    let models = record
        .models
        .iter()
        .chain(services)
        .map(|name| ServedModel {
            model: name.clone(),
            version: record.version.clone(),
            adapters: record.adapters.clone(),
        });
    UpstreamSpec {
        id: entry.id.clone(),
        data_centre: record.data_centre.clone(),
        kind: match record.kind {
            FleetKind::ModelEngine => UpstreamKind::ModelRunner,
            FleetKind::PlainService => UpstreamKind::ServiceRunner,
        },
        models: models.collect(),
        role: match record.role {
            FleetRole::Mixed => EngineRole::Mixed,
            FleetRole::Prefill => EngineRole::Prefill,
            FleetRole::Decode => EngineRole::Decode,
        },
        slots: record.capacity_slots,
        state: match view.is_leaving(entry) {
            true => UpstreamState::Leaving,
            false => UpstreamState::Up,
        },
    }
}

fn count_routers(view: &FleetView) -> u32 {
    let routers = view.usable_members(ProcessRole::Router).count();
    u32::try_from(routers).unwrap_or(u32::MAX).max(1)
}

/// Returns one router's share of the given limits.
fn router_share(requests_per_second: u32, concurrent: u32, routers: u32) -> RateLimits {
    let fleet_limits = RateLimits {
        requests_per_second: Some(f64::from(requests_per_second)),
        burst: None,
        concurrent: Some(concurrent),
    };
    fleet_limits.per_router(routers)
}

/// Returns this router's share of each workspace's rate limits.
pub fn workspace_limits(view: &FleetView) -> IndexMap<WorkspaceId, RateLimits> {
    let routers = count_routers(view);
    view.workspaces()
        .map(|entry| {
            let record = &entry.record;
            let share = router_share(
                record.requests_per_second,
                record.concurrent_requests,
                routers,
            );
            (entry.id.clone(), share)
        })
        .collect()
}

/// Returns this router's share of each profile's rate limits.
pub fn profile_limits(view: &FleetView) -> IndexMap<ProfileName, RateLimits> {
    let routers = count_routers(view);
    view.profiles()
        .map(|entry| {
            let record = &entry.record;
            let share = router_share(
                record.requests_per_second,
                record.concurrent_requests,
                routers,
            );
            (entry.id.clone(), share)
        })
        .collect()
}

/// Returns the other routers that are not suspected to be down.
pub fn peer_entries(view: &FleetView, own: &IncarnationId) -> Vec<PeerEntry> {
    view.members(ProcessRole::Router)
        .filter(|entry| &entry.record.incarnation != own && !view.is_suspected(entry))
        .map(|entry| PeerEntry {
            incarnation: entry.record.incarnation.clone(),
            data_centre: entry.record.data_centre.clone(),
            leaving: view.is_member_leaving(entry),
        })
        .collect()
}

/// Lowest profile priority that maps to [`RequestPriority::High`].
const MIN_HIGH_PRIORITY: PriorityLevel = PriorityLevel(7);

/// Lowest profile priority that maps to [`RequestPriority::Normal`].
const MIN_NORMAL_PRIORITY: PriorityLevel = PriorityLevel(3);

/// Returns the admission priority of requests under a profile.
pub fn request_priority(level: PriorityLevel) -> RequestPriority {
    if level >= MIN_HIGH_PRIORITY {
        RequestPriority::High
    } else if level >= MIN_NORMAL_PRIORITY {
        RequestPriority::Normal
    } else {
        RequestPriority::Low
    }
}
