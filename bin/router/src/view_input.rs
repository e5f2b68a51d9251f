//! What routing and escrow need of the fleet view.

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

/// Returns what routing needs of each upstream.
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

fn router_count(view: &FleetView) -> u32 {
    let routers = view.usable_members(ProcessRole::Router).count();
    u32::try_from(routers).unwrap_or(u32::MAX).max(1)
}

fn limits(requests_per_second: u32, concurrent: u32, routers: u32) -> RateLimits {
    let whole = RateLimits {
        requests_per_second: Some(f64::from(requests_per_second)),
        burst: None,
        concurrent: Some(concurrent),
    };
    whole.per_router(routers)
}

/// Returns this router's part of each workspace's limits.
pub fn workspace_limits(view: &FleetView) -> IndexMap<WorkspaceId, RateLimits> {
    let routers = router_count(view);
    view.workspaces()
        .map(|entry| {
            let record = &entry.record;
            let part = limits(
                record.requests_per_second,
                record.concurrent_requests,
                routers,
            );
            (entry.id.clone(), part)
        })
        .collect()
}

/// Returns this router's part of each profile's limits.
pub fn profile_limits(view: &FleetView) -> IndexMap<ProfileName, RateLimits> {
    let routers = router_count(view);
    view.profiles()
        .map(|entry| {
            let record = &entry.record;
            let part = limits(
                record.requests_per_second,
                record.concurrent_requests,
                routers,
            );
            (entry.id.clone(), part)
        })
        .collect()
}

/// Returns the other routers that are up.
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

/// Least profile priority that counts as high.
const HIGH_PRIORITY: PriorityLevel = PriorityLevel(7);

/// Least profile priority that counts as normal.
const NORMAL_PRIORITY: PriorityLevel = PriorityLevel(3);

/// Returns the class in which a profile's requests are admitted.
pub fn request_priority(level: PriorityLevel) -> RequestPriority {
    if level >= HIGH_PRIORITY {
        RequestPriority::High
    } else if level >= NORMAL_PRIORITY {
        RequestPriority::Normal
    } else {
        RequestPriority::Low
    }
}
