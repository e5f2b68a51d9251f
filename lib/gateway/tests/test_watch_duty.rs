//! Which VMs watch the store briefly.

use snipegate_gateway::StoreTask;
use snipegate_gateway::watches_briefly;
use snipegate_types::VmId;

/// VMs that have to watch briefly, so that one of them may end unnoticed.
const LEAST: usize = 2;

fn brief_watchers(vms: &[VmId], task: StoreTask) -> usize {
    let is_brief = |own: &&VmId| {
        let others = vms.iter().filter(|vm| vm != own);
        watches_briefly(own, others, task)
    };
    vms.iter().filter(is_brief).count()
}

#[test]
fn vms_that_hear_each_other_agree_on_two_brief_watchers() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=90)?;
        let seed: u32 = u.arbitrary()?;
        let vms: Vec<VmId> = (0..count)
            .map(|number| format!("vm-{seed}-{number}").parse().expect("a name"))
            .collect();
        for task in [StoreTask::Config, StoreTask::Upstreams] {
            assert_eq!(brief_watchers(&vms, task), LEAST.min(count));
        }
        Ok(())
    });
}

#[test]
fn vm_that_hears_nobody_watches_briefly() {
    let own: VmId = "vm-1".parse().expect("a name");
    assert!(watches_briefly(&own, std::iter::empty(), StoreTask::Config));
}
