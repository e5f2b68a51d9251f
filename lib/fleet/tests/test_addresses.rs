//! Addresses: near first, spread by weight and caller, none that leaves.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_fleet::AddressAnswer;
use snipegate_fleet::FleetKey;
use snipegate_fleet::MemberLiveness;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
use snipegate_fleet::ViewKeeper;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

const SEEDS: u64 = 300;
const SEED_BYTES: u64 = 1_024;

fn router(vm: usize, place: usize, weight: u32, state: MemberState) -> MemberRecord {
    MemberRecord {
        incarnation: IncarnationId {
            vm: format!("vm-{vm}").parse().expect("a name"),
            role: ProcessRole::Router,
            start: 1,
        },
        data_centre: place_name(place),
        region: format!("region-{}", place / 2).parse().expect("a name"),
        address: ([127, 0, 0, 1], 1 + vm as u16).into(),
        peer_address: None,
        weight,
        state,
        listed_at: None,
    }
}

fn place_name(place: usize) -> DataCentre {
    format!("dc-{place}").parse().expect("a name")
}

fn keeper_of(routers: &[MemberRecord], now: Instant) -> ViewKeeper {
    let settings = (FleetKey::Settings.to_string(), b"{}".to_vec());
    let members = routers.iter().map(|record| {
        let key = FleetKey::Member(record.incarnation.vm.clone(), ProcessRole::Router);
        let value = serde_json::to_vec(record).expect("records are JSON");
        (key.to_string(), value)
    });
    let entries = std::iter::once(settings).chain(members);
    let numbered = entries.enumerate().map(|(at, (key, value))| {
        let revision = StoreRevision(at as u64 + 1);
        (key, StoredValue { revision, value })
    });
    let mut keeper = ViewKeeper::new();
    let page = StoreListing {
        revision: StoreRevision(routers.len() as u64 + 1),
        entries: numbered.collect(),
        more_after: None,
    };
    keeper.apply_page(&page, now);
    keeper
}

fn choose(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let now = Instant::now();
    let mut routers = Vec::new();
    for vm in 0..u.int_in_range(1..=12)? {
        let state = match u.ratio(1, 4)? {
            true => MemberState::Leaving,
            false => MemberState::Up,
        };
        routers.push(router(
            vm,
            u.int_in_range(0..=3)?,
            u.int_in_range(1..=5)?,
            state,
        ));
    }
    let mut keeper = keeper_of(&routers, now);
    let mut said = Vec::new();
    for record in &routers {
        said.push(MemberLiveness {
            member: record.incarnation.clone(),
            suspected: u.ratio(1, 4)?,
            leaving: u.ratio(1, 6)?,
            store_lost: u.ratio(1, 4)?,
            ended: u.ratio(1, 6)?,
        });
    }
    keeper.set_liveness(said.clone());
    let place = u.int_in_range(0..=3)?;
    let count = u.int_in_range(1..=12)?;
    let view = keeper.view();
    let answer = AddressAnswer::choose(&view, Some(&place_name(place)), "caller", count, now);
    let said_up = |at: usize| !said[at].leaving && !said[at].ended;
    let usable = |at: &usize| routers[*at].state == MemberState::Up && said_up(*at);
    let usable: Vec<usize> = (0..routers.len()).filter(usable).collect();
    let Some(answer) = answer else {
        assert!(usable.is_empty());
        return Ok(());
    };
    let named = answer.addresses.iter().map(|named| {
        let vm = |record: &MemberRecord| record.incarnation.vm == named.vm;
        routers.iter().position(vm).expect("a member")
    });
    let named: Vec<usize> = named.collect();
    assert_eq!(named.len(), count.min(usable.len()));
    assert!(
        named.iter().all(|at| usable.contains(at)),
        "a leaving member is named"
    );
    let near = |at: usize| {
        (
            said[at].suspected,
            routers[at].data_centre != place_name(place),
        )
    };
    assert!(
        named.is_sorted_by_key(|&at| near(at)),
        "a far one before a near one"
    );
    Ok(())
}

#[test]
fn test_answers_name_near_members_first_and_none_that_leaves() {
    for number in 0..SEEDS {
        arbtest(choose).seed(SEED_BYTES | number << 32);
    }
}

#[test]
fn test_callers_are_spread_by_weight() {
    const CALLERS: usize = 12_000;
    let now = Instant::now();
    let routers = [1, 2, 3].map(|weight| router(weight, 0, weight as u32, MemberState::Up));
    let view = keeper_of(&routers, now).view();
    let mut first = [0_usize; 3];
    for caller in 0..CALLERS {
        let caller = format!("10.0.{}.{}", caller / 256, caller % 256);
        let answer = AddressAnswer::choose(&view, None, &caller, 1, now).expect("an answer");
        first[usize::from(answer.addresses[0].address.port()) - 2] += 1;
    }
    for (at, share) in first.into_iter().enumerate() {
        let fair = CALLERS * (at + 1) / 6;
        assert!(
            share.abs_diff(fair) < CALLERS / 50,
            "weight {}: {share}",
            at + 1
        );
    }
}

#[test]
fn test_answers_from_stale_knowledge_are_kept_shortly() {
    let now = Instant::now();
    let view = keeper_of(&[router(0, 0, 1, MemberState::Up)], now).view();
    let late = now + Duration::from_secs(60);
    let answer = AddressAnswer::choose(&view, None, "caller", 1, late).expect("an answer");
    assert!(answer.keep_for_ms <= 2_000);
}
