//! Tests of address selection: the closest members come first, callers are
//! distributed by weight, and leaving members are never returned.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_fleet::AddressAnswer;
use snipegate_fleet::FleetKey;
use snipegate_fleet::MemberLiveness;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
use snipegate_fleet::ViewState;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

const SEEDS: u64 = 300;
const SEED_BYTES: u64 = 1_024;

fn router(vm: usize, data_centre: usize, weight: u32, state: MemberState) -> MemberRecord {
    MemberRecord {
        incarnation: IncarnationId {
            vm: format!("vm-{vm}").parse().expect("a name"),
            role: ProcessRole::Router,
            start: 1,
        },
        data_centre: data_centre_name(data_centre),
        region: format!("region-{}", data_centre / 2)
            .parse()
            .expect("a name"),
        address: ([127, 0, 0, 1], 1 + vm as u16).into(),
        peer_address: None,
        weight,
        state,
        listed_at: None,
    }
}

fn data_centre_name(data_centre: usize) -> DataCentre {
    format!("dc-{data_centre}").parse().expect("a name")
}

fn view_state_with(routers: &[MemberRecord], now: Instant) -> ViewState {
    let settings = (FleetKey::Settings.to_string(), b"{}".to_vec());
    let members = routers.iter().map(|record| {
        let key = FleetKey::Member(record.incarnation.vm.clone(), ProcessRole::Router);
        let value = serde_json::to_vec(record).expect("records are JSON");
        (key.to_string(), value)
    });
    let entries = std::iter::once(settings).chain(members);
    let numbered = entries.enumerate().map(|(at, (key, value))| {
        let revision = StoreRevision::new(at as u64 + 1);
        (key, StoredValue { revision, value })
    });
    let mut view_state = ViewState::new();
    let page = StoreListing {
        revision: StoreRevision::new(routers.len() as u64 + 1),
        entries: numbered.collect(),
        more_after: None,
    };
    view_state.apply_page(&page, now);
    view_state
}

fn check_choice(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
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
    let mut view_state = view_state_with(&routers, now);
    let mut liveness = Vec::new();
    for record in &routers {
        liveness.push(MemberLiveness {
            member: record.incarnation.clone(),
            suspected: u.ratio(1, 4)?,
            leaving: u.ratio(1, 6)?,
            store_lost: u.ratio(1, 4)?,
            ended: u.ratio(1, 6)?,
        });
    }
    view_state.set_liveness(liveness.clone());
    let data_centre = u.int_in_range(0..=3)?;
    let count = u.int_in_range(1..=12)?;
    let view = view_state.view();
    let answer = AddressAnswer::choose(
        &view,
        Some(&data_centre_name(data_centre)),
        "caller",
        count,
        now,
    );
    let is_live = |at: usize| !liveness[at].leaving && !liveness[at].ended;
    let is_eligible = |at: &usize| routers[*at].state == MemberState::Up && is_live(*at);
    let eligible: Vec<usize> = (0..routers.len()).filter(is_eligible).collect();
    let Some(answer) = answer else {
        assert!(eligible.is_empty());
        return Ok(());
    };
    let returned = answer.addresses.iter().map(|address| {
        let is_on_vm = |record: &MemberRecord| record.incarnation.vm == address.vm;
        routers.iter().position(is_on_vm).expect("a member")
    });
    let returned: Vec<usize> = returned.collect();
    assert_eq!(returned.len(), count.min(eligible.len()));
    assert!(
        returned.iter().all(|at| eligible.contains(at)),
        "a leaving or ended member is returned"
    );
    let rank = |at: usize| {
        (
            liveness[at].suspected,
            routers[at].data_centre != data_centre_name(data_centre),
        )
    };
    assert!(
        returned.is_sorted_by_key(|&at| rank(at)),
        "a suspected or remote member comes before a closer one"
    );
    Ok(())
}

#[test]
fn test_close_members_come_first_and_leaving_ones_are_left_out() {
    for number in 0..SEEDS {
        arbtest(check_choice).seed(SEED_BYTES | number << 32);
    }
}

#[test]
fn test_callers_are_distributed_by_weight() {
    const CALLERS: usize = 12_000;
    let now = Instant::now();
    let routers = [1, 2, 3].map(|weight| router(weight, 0, weight as u32, MemberState::Up));
    let view = view_state_with(&routers, now).view();
    let mut callers_by_router = [0_usize; 3];
    for caller in 0..CALLERS {
        let caller = format!("10.0.{}.{}", caller / 256, caller % 256);
        let answer = AddressAnswer::choose(&view, None, &caller, 1, now).expect("an answer");
        callers_by_router[usize::from(answer.addresses[0].address.port()) - 2] += 1;
    }
    for (at, callers) in callers_by_router.into_iter().enumerate() {
        let expected = CALLERS * (at + 1) / 6;
        assert!(
            callers.abs_diff(expected) < CALLERS / 50,
            "weight {}: {callers} callers",
            at + 1
        );
    }
}

#[test]
fn test_answers_from_a_stale_view_are_cached_briefly() {
    let now = Instant::now();
    let view = view_state_with(&[router(0, 0, 1, MemberState::Up)], now).view();
    let late = now + Duration::from_secs(60);
    let answer = AddressAnswer::choose(&view, None, "caller", 1, late).expect("an answer");
    assert!(answer.keep_for_ms <= 2_000);
}
