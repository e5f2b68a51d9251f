//! The memory limit for response buffers.

use snipegate_gateway::ResponseMemory;
use snipegate_types::ByteCount;

#[test]
fn response_buffers_are_limited_to_a_quarter_of_memory() {
    let memory = ResponseMemory::new(ByteCount(4000));
    assert!(memory.try_reserve(ByteCount(600)));
    assert!(memory.try_reserve(ByteCount(400)));
    assert!(!memory.try_reserve(ByteCount(1)));
    memory.release(ByteCount(400));
    assert!(memory.try_reserve(ByteCount(400)));
    assert!(!memory.try_reserve(ByteCount(u64::MAX)));
}
