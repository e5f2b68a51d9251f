//! The memory limit for response buffers, and how it is shared.

use snipegate_gateway::ResponseMemory;
use snipegate_gateway::ResponseOwner;
use snipegate_gateway::SharingGroup;
use snipegate_types::ByteCount;

fn owner(upstream: &str, service: &str, workspace: &str) -> ResponseOwner {
    ResponseOwner {
        upstream: upstream.parse().expect("id should be valid"),
        service: service.into(),
        workspace: Some(workspace.parse().expect("id should be valid")),
    }
}

#[test]
fn response_buffers_are_limited_to_a_quarter_of_memory() {
    let memory = ResponseMemory::new(ByteCount(4000));
    let buffer = memory.open(owner("a", "s", "w"));
    let reserve = |bytes| memory.reserve(buffer, ByteCount(bytes)).is_ok();
    assert!(reserve(600));
    assert!(reserve(400));
    assert!(!reserve(1));
    memory.clear(buffer);
    assert!(reserve(400));
    assert!(!reserve(u64::MAX));
}

/// Guards against a faulty upstream, service or caller that takes the room of all others.
#[test]
fn response_displaces_those_of_whoever_uses_most() {
    let needy = owner("b", "t", "v");
    for (group, hog) in [
        (SharingGroup::Upstream, owner("a", "t", "v")),
        (SharingGroup::Service, owner("a", "s", "v")),
        (SharingGroup::Workspace, owner("b", "t", "w")),
    ] {
        let memory = ResponseMemory::new(ByteCount(4000));
        let hogs: Vec<u64> = (0..10)
            .map(|_| {
                let buffer = memory.open(hog.clone());
                let reserved = memory.reserve(buffer, ByteCount(100));
                reserved.expect("there should be room");
                buffer
            })
            .collect();
        let buffer = memory.open(needy.clone());
        let displaced = memory.reserve(buffer, ByteCount(150));
        let displaced = displaced.expect("the largest user should give way");
        assert_eq!(displaced.len(), 2, "{group:?}");
        assert!(displaced.iter().all(|other| other.owner == hog));
        assert_eq!(memory.reserved(), ByteCount(950));
        // A displaced response gets no more, and what it had is not released twice.
        let is_refused = |buffer: &&u64| memory.reserve(**buffer, ByteCount(1)).is_err();
        assert_eq!(hogs.iter().filter(is_refused).count(), 2, "{group:?}");
        hogs.iter().for_each(|&buffer| memory.close(buffer));
        assert_eq!(memory.reserved(), ByteCount(150));
    }
}

/// Guards against equal users that displace each other in turn, so that no response is complete.
#[test]
fn response_displaces_nobody_who_uses_less() {
    let memory = ResponseMemory::new(ByteCount(4000));
    let small = memory.open(owner("a", "s", "v"));
    assert!(memory.reserve(small, ByteCount(300)).is_ok());
    let large = memory.open(owner("b", "t", "w"));
    assert!(memory.reserve(large, ByteCount(700)).is_ok());
    assert!(memory.reserve(large, ByteCount(1)).is_err());
    assert!(memory.reserve(small, ByteCount(300)).is_ok());
    assert!(memory.reserve(large, ByteCount(600)).is_err());
    assert_eq!(memory.reserved(), ByteCount(600));
}
