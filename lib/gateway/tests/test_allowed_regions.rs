//! Regions of requests and of answers to address queries.

use std::time::Duration;

use snipegate_gateway::AllowedRegions;
use snipegate_gateway::CallerLimits;
use snipegate_gateway::ConfigVersion;
use snipegate_gateway::FleetConfig;
use snipegate_gateway::NamedRegions;
use snipegate_gateway::RetrySafety;
use snipegate_gateway::RouteRule;
use snipegate_gateway::WorkspaceRule;
use snipegate_types::ByteCount;
use snipegate_types::RegionName;
use snipegate_types::WorkspaceId;

fn regions(names: &[&str]) -> Vec<RegionName> {
    let parse = |name: &&str| name.parse().expect("a name");
    names.iter().map(parse).collect()
}

/// Returns which of the regions `eu`, `us` and an unknown one requests may be processed in.
fn allowed(route: &[&str], workspace: &[&str]) -> [bool; 3] {
    let limits = CallerLimits {
        head: ByteCount(1),
        body: ByteCount(1),
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let mut config = FleetConfig::new(ConfigVersion(1), limits);
    let id: WorkspaceId = "acme".parse().expect("a name");
    let rule = WorkspaceRule {
        priority: None,
        prepaid: None,
        allowed_regions: regions(workspace),
    };
    config.workspaces.insert(id.clone(), rule);
    let route = RouteRule {
        host: "h.example".into(),
        prefix: "/".into(),
        retry_safety: RetrySafety::Once,
        timeout: Duration::ZERO,
        target: None,
        priority: 0,
        services: Vec::new(),
        max_attempts: 1,
        public: false,
        max_event_gap: None,
        allowed_regions: regions(route),
    };
    let allowed = AllowedRegions::new(&config, &route, Some(&id));
    let [eu, us] = &regions(&["eu", "us"])[..] else {
        unreachable!("two names were given");
    };
    [Some(eu), Some(us), None].map(|region| allowed.allows(region))
}

/// A request must not leave the regions of its route or its workspace, also where the settings
/// do not say in which region an upstream is.
#[test]
fn request_is_allowed_only_where_both_its_route_and_its_workspace_are() {
    assert_eq!(allowed(&[], &[]), [true, true, true]);
    assert_eq!(allowed(&["eu"], &[]), [true, false, false]);
    assert_eq!(allowed(&[], &["us"]), [false, true, false]);
    assert_eq!(allowed(&["eu", "us"], &["us"]), [false, true, false]);
    assert_eq!(allowed(&["eu"], &["us"]), [false, false, false]);
}

/// Requests that a VM of another region carries leave the allowed ones.
#[test]
fn answer_names_only_vms_in_regions_of_the_host_or_the_caller() {
    let eu = regions(&["eu"]);
    let both = regions(&["eu", "us"]);
    let caller = |name: &str| Some(name.parse().expect("a name"));
    let only = |names: &[&str]| NamedRegions::Only(regions(names));
    assert_eq!(NamedRegions::new(&[], caller("ap")), NamedRegions::All);
    assert_eq!(NamedRegions::new(&[&eu], None), only(&["eu"]));
    assert_eq!(NamedRegions::new(&[&eu], caller("ap")), only(&["eu", "ap"]));
    assert_eq!(NamedRegions::new(&[&eu, &both], None), only(&["eu"]));
    // Routes that have no region in common.
    let us = regions(&["us"]);
    assert_eq!(NamedRegions::new(&[&eu, &us], caller("ap")), only(&["ap"]));
    assert_eq!(NamedRegions::new(&[&eu, &us], None), only(&["eu", "us"]));
    assert!(!only(&["eu"]).includes(None));
}
