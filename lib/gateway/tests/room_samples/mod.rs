//! VMs of several sizes, and samples of their load.

use std::time::Duration;

use snipegate_gateway::LoadSample;
use snipegate_gateway::RoomOwner;
use snipegate_gateway::VmCapacity;
use snipegate_types::ByteCount;
use snipegate_types::ByteRate;
use snipegate_types::RequestRate;
use snipegate_types::VmId;

/// Time that a sample covers.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns what a VM with a link of `megabits` per second can carry.
fn capacity(megabits: f64) -> VmCapacity {
    VmCapacity {
        link: Some(ByteRate::from_megabits(megabits)),
        cores: 0.1 + megabits / 500.0,
        memory: ByteCount(128 << 20),
        descriptors: 4096,
    }
}

/// Returns a VM whose link has this rate, in megabits per second.
pub fn owner(number: usize, megabits: f64) -> RoomOwner {
    RoomOwner {
        vm: vm_id(number),
        data_centre: "z1".parse().expect("a name"),
        incarnation: 1 + number as u64,
        capacity: capacity(megabits),
    }
}

fn vm_id(number: usize) -> VmId {
    format!("vm-{number}").parse().expect("a name")
}

/// Returns a sample of a link that carries `traffic` in both directions.
pub fn sample(traffic: f64) -> LoadSample {
    LoadSample {
        span: SAMPLE_INTERVAL,
        received: ByteRate(traffic),
        sent: ByteRate(traffic),
        streams: ByteRate(0.0),
        requests: RequestRate(traffic / 5e3),
        lateness: Duration::ZERO,
        free_memory: 1.0,
        free_descriptors: 1.0,
    }
}
