//! Selection of the VMs that use short watches.

use snipegate_gateway::StoreTask;
use snipegate_gateway::uses_short_watch;
use snipegate_types::VmId;

/// Required number of short watchers, so that one of them may fail unnoticed.
const SHORT_WATCHERS: usize = 2;

fn short_watcher_count(vms: &[VmId], task: StoreTask) -> usize {
    let is_short_watcher = |own: &&VmId| {
        let others = vms.iter().filter(|vm| vm != own);
        uses_short_watch(own, others, task)
    };
    vms.iter().filter(is_short_watcher).count()
}

#[test]
fn vms_that_hear_each_other_agree_on_two_short_watchers() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=90)?;
        let seed: u32 = u.arbitrary()?;
        let vms: Vec<VmId> = (0..count)
            .map(|number| format!("vm-{seed}-{number}").parse().expect("a name"))
            .collect();
        for task in [StoreTask::Config, StoreTask::Upstreams] {
            assert_eq!(short_watcher_count(&vms, task), SHORT_WATCHERS.min(count));
        }
        Ok(())
    });
}

#[test]
fn vm_that_hears_no_others_is_a_short_watcher() {
    let own: VmId = "vm-1".parse().expect("a name");
    assert!(uses_short_watch(
        &own,
        std::iter::empty(),
        StoreTask::Config
    ));
}
