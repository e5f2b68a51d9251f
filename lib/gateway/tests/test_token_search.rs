//! Where requests that find too few tokens ask, and how often.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::BudgetHolding;
use snipegate_gateway::BudgetRecord;
use snipegate_gateway::CapacityFloor;
use snipegate_gateway::GrantLimit;
use snipegate_gateway::HoldingRole;
use snipegate_gateway::KeeperCapacity;
use snipegate_gateway::KnownAnswer;
use snipegate_gateway::OpenQuestion;
use snipegate_gateway::PlanTime;
use snipegate_gateway::SearchView;
use snipegate_gateway::TokenQuestions;
use snipegate_gateway::TokenSource;
use snipegate_gateway::next_source;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::ByteRate;
use snipegate_types::TokenCount;

const WORKSPACE: u64 = 7;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7000))
}

fn question(number: u64, now: Instant) -> OpenQuestion {
    OpenQuestion {
        number,
        target: address(1),
        until: now + Duration::from_millis(130),
    }
}

/// Guards against hundreds of requests that each ask a keeper that does not answer: they share
/// one question, and know from it that it had no answer.
#[test]
fn silent_keeper_is_waited_for_once_by_all_requests_of_a_workspace() {
    let now = Instant::now();
    let mut questions = TokenQuestions::default();
    let mut asked = 0;
    for step in 0..200 {
        let now = now + Duration::from_millis(step);
        let is_known = questions
            .known_failure(WORKSPACE, address(1), now)
            .is_some();
        if questions.open(WORKSPACE, now).is_none() && !is_known {
            asked += 1;
            questions.begin(WORKSPACE, question(asked, now));
        }
        if step == 120 {
            questions.end(1);
            let answer = KnownAnswer {
                outcome: "not_answered",
                at: now,
            };
            questions.record_failure(WORKSPACE, address(1), answer);
        }
    }
    assert_eq!(asked, 1);
    let later = now + Duration::from_millis(400);
    let known = questions.known_failure(WORKSPACE, address(1), later);
    assert_eq!(known, None, "an old answer does not bar the keeper");
}

/// Guards against a question whose asker went away and for which later requests wait for ever.
#[test]
fn question_without_an_answer_does_not_hold_up_later_requests() {
    let now = Instant::now();
    let mut questions = TokenQuestions::default();
    questions.begin(WORKSPACE, question(1, now));
    assert!(questions.open(WORKSPACE, now).is_some());
    let later = now + Duration::from_millis(130);
    assert_eq!(questions.open(WORKSPACE, later), None);
}

/// Guards against requests that don't ask a VM again that has given tokens since it had none.
#[test]
fn vm_that_gave_tokens_again_is_asked_at_once() {
    let now = Instant::now();
    let mut questions = TokenQuestions::default();
    let answer = KnownAnswer {
        outcome: "none_left",
        at: now,
    };
    questions.record_failure(WORKSPACE, address(1), answer);
    let known = questions.known_failure(WORKSPACE, address(1), now);
    assert_eq!(known, Some(answer));
    let other = questions.known_failure(WORKSPACE + 1, address(1), now);
    assert_eq!(other, None, "another budget");
    questions.record_success(WORKSPACE, address(1));
    let known = questions.known_failure(WORKSPACE, address(1), now);
    assert_eq!(known, None);
}

/// Guards against requests that ask the keeper in an outage of the store, when it can't get more
/// tokens, while another VM has announced many.
#[test]
fn holder_of_the_most_tokens_is_asked_first_in_an_outage() {
    let mut view = SearchView {
        is_store_lost: true,
        keeper: Some(address(1)),
        may_ask_keeper: true,
        needs_grant: true,
        holder: Some(address(2)),
    };
    assert_eq!(next_source(&view), Some(TokenSource::Holder(address(2))));
    view.holder = None;
    assert_eq!(next_source(&view), Some(TokenSource::Keeper(address(1))));
    view.is_store_lost = false;
    view.holder = Some(address(2));
    assert_eq!(next_source(&view), Some(TokenSource::Keeper(address(1))));
    view.may_ask_keeper = false;
    assert_eq!(next_source(&view), Some(TokenSource::Holder(address(2))));
    view.keeper = None;
    assert_eq!(next_source(&view), Some(TokenSource::Record));
}

fn capacity(mbit: f64, cores: f64) -> KeeperCapacity {
    KeeperCapacity {
        link: Some(ByteRate(mbit * 125_000.0)),
        cores,
    }
}

/// Guards against a keeper with a small link where others have a large one, and against another
/// choice among equal VMs than by the hash alone.
#[test]
fn keeper_is_a_vm_with_capacity_and_among_equal_vms_as_before() {
    let uneven = [
        capacity(10.0, 0.09),
        capacity(25.0, 0.3),
        capacity(200.0, 0.5),
    ];
    let floor = CapacityFloor::of(uneven.into_iter());
    let rank = |index: usize, weight| floor.rank(Some(uneven[index]), weight);
    assert!(rank(2, 1) > rank(0, 99) && rank(2, 1) > rank(1, 99));
    assert!(rank(0, 2) > rank(1, 1), "small ones by their weight");
    let even = [capacity(100.0, 0.5), capacity(100.0, 0.4)];
    let floor = CapacityFloor::of(even.into_iter());
    assert!(floor.rank(Some(even[1]), 2) > floor.rank(Some(even[0]), 1));
    assert!(floor.rank(None, 3) > floor.rank(Some(even[0]), 2));
}

/// Returns a holding that has received `tokens` and serves requests of 1,000 tokens.
fn busy_holding(tokens: u64, now: Instant) -> BudgetHolding {
    let mut holding = BudgetHolding::new(WORKSPACE, 1, 1, TokenCount(10_000_000), now);
    holding.receive(TokenCount(tokens));
    for step in 0..100 {
        let now = now + Duration::from_millis(20 * step);
        holding.record_request(TokenCount(1000), now);
    }
    holding
}

/// Guards against requests that wait for a question since their VM asks only once it has nothing
/// left, and against questions of a VM that has enough.
#[test]
fn vm_with_demand_asks_before_it_runs_out() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    assert!(busy_holding(10_000, start).is_low_ahead(now));
    assert!(!busy_holding(500_000, start).is_low_ahead(now));
    let idle = BudgetHolding::new(WORKSPACE, 1, 1, TokenCount(10_000_000), start);
    assert!(!idle.is_low_ahead(now));
}

/// Guards against a holder that gives away what its other askers need, and against one that gives
/// a VM with most of the demand a twentieth.
#[test]
fn vm_gets_tokens_ahead_by_its_part_of_the_demand() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let all = busy_holding(100_000, start).own_rate(now);
    let wish = TokenCount(1_000_000);
    let given = busy_holding(100_000, start).withdraw_ahead(wish, all, now);
    // The rate is told in whole tokens.
    assert!((99_900..=100_000).contains(&given.0), "{given} tokens");
    let half = TokenCount(all.0 / 2);
    let given = busy_holding(100_000, start).withdraw_ahead(wish, half, now);
    assert!((45_000..=55_000).contains(&given.0), "{given} tokens");
    let mut holding = busy_holding(100_000, start);
    let given = holding.withdraw_ahead(TokenCount(2000), half, now);
    assert_eq!(given, TokenCount(2000));
    assert_eq!(holding.free(now), TokenCount(98_000));
}

/// Guards against requests between VMs that bring one request's tokens each in an outage, and
/// against a holder that keeps nothing for its own callers.
#[test]
fn vm_gets_tokens_for_a_second_at_once_in_an_outage() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let (need, wish) = (TokenCount(1000), TokenCount(40_000));
    let given = busy_holding(100_000, start).withdraw_in_outage(need, wish, now);
    assert_eq!(given, TokenCount(41_000));
    let given = busy_holding(100_000, start).withdraw(need, wish, now);
    assert_eq!(given, TokenCount(5950));
    let wish = TokenCount(1_000_000);
    let given = busy_holding(100_000, start).withdraw_in_outage(need, wish, now);
    assert_eq!(given, TokenCount(50_500));
}

/// Guards against VMs that are asked for tokens which they need themselves or that are too few
/// for a request.
#[test]
fn only_budgets_with_enough_to_give_are_announced() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    assert_eq!(busy_holding(0, start).announced_tokens(now), None);
    let own = busy_holding(0, start).own_rate(now);
    assert_eq!(busy_holding(own.0 / 2, start).announced_tokens(now), None);
    let announced = busy_holding(own.0 + 100_000, start).announced_tokens(now);
    assert!(announced.is_some_and(|tokens| tokens >= TokenCount(100_000)));
    let mut idle = BudgetHolding::new(WORKSPACE, 1, 1, TokenCount(10_000_000), start);
    idle.receive(TokenCount(1999));
    assert_eq!(idle.announced_tokens(now), None);
}

/// Guards against a write to the store for each request that is asked of a VM as the keeper while
/// that VM takes another one for it.
#[test]
fn vm_asked_as_the_keeper_by_mistake_writes_for_many_requests_at_once() {
    let start = Instant::now();
    let prepaid = TokenCount(10_000_000);
    let mut record = BudgetRecord::default();
    let mut holding = BudgetHolding::new(WORKSPACE, 1, 1, prepaid, start);
    let need = TokenCount(1000);
    let mut writes = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(20 * step);
        holding.record_demand(need, now);
        let time = PlanTime { now, boot: None };
        if holding.free(now) < need
            && let Some(request) = holding.plan_request(HoldingRole::Member, need, false, time)
        {
            writes += 1;
            record.apply(&request, GrantLimit::whole(prepaid));
            let revision = StoreRevision::in_era(StoreEra::default(), writes);
            holding.set_view(record.view(WORKSPACE, revision, 1, 1), now);
        }
        let given = holding.withdraw(need, TokenCount::ZERO, now);
        assert_eq!(given, need, "step {step}");
        let spare = holding.surplus(false, now);
        assert_eq!(spare, TokenCount::ZERO, "step {step}");
    }
    assert!(writes <= 10, "{writes} writes for 100 requests");
}
