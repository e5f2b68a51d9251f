//! Idle connections per VM, where upstreams limit the connections of all VMs together.

use snipegate_gateway::max_idle_connections;

#[test]
fn idle_connections_of_all_vms_use_at_most_half_of_the_limit() {
    for (accepted, vms) in [(580, 87), (460, 66), (1200, 195), (96, 6), (1300, 600)] {
        let idle = vms * max_idle_connections(Some(accepted), vms);
        assert!(idle <= accepted as usize / 2, "{idle} of {accepted}");
    }
}

#[test]
fn idle_connections_per_vm_are_between_one_and_eight() {
    assert_eq!(max_idle_connections(Some(10), 100), 1);
    assert_eq!(max_idle_connections(Some(u32::MAX), 2), 8);
    assert_eq!(max_idle_connections(None, 100), 8);
}
