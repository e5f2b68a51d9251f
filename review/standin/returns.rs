//! Cases in which the store comes back from an older copy.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::INPUT_TOKENS;
use crate::world::Tenant;
use crate::world::World;
use crate::world::hash;

/// How many requests got each status.
type Answers = HashMap<u16, u32>;

/// How long the store is away, and how old the copy is from which it comes back.
const AWAY: Duration = Duration::from_millis(400);
const COPY_AGE: Duration = Duration::from_millis(4000);

/// The platform's `graceS`.
const GRACE: Duration = Duration::from_secs(8);

/// The platform's `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(12);

fn shard_of(tenant: &str) -> u64 {
    hash(tenant) % 4
}

/// Orders names of machines by their weight for a shard, the keeper of its budgets first.
fn by_weight(shard: u64) -> Vec<String> {
    let mut names: Vec<String> = (1..=3).map(|number| format!("edge-z-{number}")).collect();
    names.sort_by_key(|name| std::cmp::Reverse(hash(&format!("{name}/{shard}"))));
    names
}

/// Returns names of tenants whose budgets lie in one shard.
fn tenants_of(shard: u64, count: usize) -> Vec<String> {
    let names = (1..).map(|number| format!("tenant{number}"));
    names.filter(|name| shard_of(name) == shard).take(count).collect()
}

/// Starts three machines; machine 1 is the keeper of the shard's budgets.
fn start(subnet: u8, tenants: &[&Tenant]) -> Option<World> {
    let mut world = World::start(subnet);
    world.put_config(7, tenants);
    world.start_runner(1);
    world.start_runner(2);
    for (number, name) in (1..).zip(by_weight(0)) {
        world.start_edge(number, &name);
    }
    let ready = (1..=3).all(|number| world.wait_ready(number));
    if !ready {
        world.record.say("the machines did not become ready".to_owned());
        return None;
    }
    thread::sleep(LEAD);
    Some(world)
}

fn judge(world: &World, tenant: &Tenant, path: &str) -> i32 {
    let tokens = world.used.tokens(&tenant.name);
    let broken = tokens > tenant.prepaid;
    let verdict = if broken { "BROKEN" } else { "held" };
    world.record.say(format!("BUDGET {verdict}: {} got {tokens} tokens of {} prepaid", tenant.name, tenant.prepaid));
    world.record.save(path);
    i32::from(broken)
}

/// Spends a tenant's budget at all machines. Returns whether it is spent.
fn spend(world: &World, tenant: &Tenant, span: Duration) -> bool {
    let answers = world.press(&[1, 2, 3], tenant, span, Duration::from_millis(25));
    answers.get(&200).copied().unwrap_or(0) > 0
        && world.used.tokens(&tenant.name) + 3 * INPUT_TOKENS > tenant.prepaid
}

/// A machine gets SIGTERM; while it finishes a stream, the store comes back from an older copy.
pub fn stop(trouble: bool, path: &str) -> i32 {
    let names = tenants_of(0, 2);
    let small = Tenant { name: names[0].clone(), prepaid: 30_000 };
    let large = Tenant { name: names[1].clone(), prepaid: 20_000_000 };
    let Some(mut world) = start(61, &[&small, &large]) else { return 2 };
    if !spend(&world, &small, Duration::from_secs(6)) {
        world.record.say("the budget could not be spent".to_owned());
        world.record.save(path);
        return 2;
    }
    let stream = world.ask_beside(1, &large, 55, 100);
    thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    world.signal(1, "TERM");
    thread::sleep(Duration::from_millis(3200));
    if trouble {
        world.record.say(format!("the store is away for {AWAY:?} and comes back from a copy {COPY_AGE:?} old"));
        world.store.drill(AWAY, COPY_AGE);
    }
    world.wait_end(1, GRACE.saturating_sub(began.elapsed()));
    let (status, whole) = stream.join().unwrap_or((0, false));
    world.record.say(format!("the stream ended: {status}, whole={whole}"));
    world.press(&[2, 3], &small, Duration::from_secs(20), Duration::from_millis(50));
    judge(&world, &small, path)
}

/// A machine was restarted as planned; some seconds later the store comes back from an older copy.
pub fn restart(trouble: bool, path: &str) -> i32 {
    let names = tenants_of(0, 1);
    let tenant = Tenant { name: names[0].clone(), prepaid: 5_000_000 };
    let Some(mut world) = start(63, &[&tenant]) else { return 2 };
    let pause = Duration::from_millis(25);
    let first = world.press(&[1, 2, 3], &tenant, Duration::from_secs(4), pause);
    if first.get(&200).copied().unwrap_or(0) == 0 {
        return 2;
    }
    let name = by_weight(0)[0].clone();
    world.signal(1, "TERM");
    world.wait_end(1, GRACE);
    world.start_edge(1, &name);
    world.wait_ready(1);
    let second = world.press(&[1, 2, 3], &tenant, Duration::from_secs(6), pause);
    if trouble {
        world.record.say(format!("the store is away for {AWAY:?} and comes back from a copy {COPY_AGE:?} old"));
        world.store.drill(AWAY, COPY_AGE);
    }
    // All machines are in touch again after `contactMs` (3 s).
    let third = world.press(&[1, 2, 3], &tenant, Duration::from_secs(5), pause);
    let answers = world.press(&[1, 2, 3], &tenant, Duration::from_secs(50), pause);
    let denied = answers.get(&402).copied().unwrap_or(0);
    judge_denied(&world, &tenant, denied, &[first, second, third, answers], path)
}

/// Judges the requests that got 402 some seconds after the disruption.
fn judge_denied(world: &World, tenant: &Tenant, denied: u32, parts: &[Answers], path: &str) -> i32 {
    let total: u32 = parts.iter().flat_map(|part| part.values()).sum();
    let bound = 5 + total / 500;
    let used = world.used.tokens(&tenant.name);
    // A request is owed if it fits into 97 in 100 of the budget.
    let broken = denied > bound && used + 3 * INPUT_TOKENS < tenant.prepaid * 97 / 100;
    let verdict = if broken { "BROKEN" } else { "held" };
    world.record.say(format!("DENIED {verdict}: {denied} of all {total} requests got 402 some seconds after the disruption, {bound} are allowed; the tenant got {used} tokens of {} prepaid", tenant.prepaid));
    world.record.save(path);
    i32::from(broken)
}

/// A machine was taken away for good as planned; later the store comes back from an older copy; the
/// day ends with a kill of all processes.
pub fn removed(trouble: bool, path: &str) -> i32 {
    let names = tenants_of(0, 1);
    let mut tenant = Tenant { name: names[0].clone(), prepaid: 5_000_000 };
    let Some(mut world) = start(64, &[&tenant]) else { return 2 };
    let pause = Duration::from_millis(25);
    world.press(&[1, 2, 3], &tenant, Duration::from_secs(3), pause);
    world.signal(1, "TERM");
    world.wait_end(1, GRACE);
    let before = world.press(&[2, 3], &tenant, Duration::from_secs(15), pause);
    if trouble {
        world.record.say(format!("the store is away for {AWAY:?} and comes back from a copy {COPY_AGE:?} old"));
        world.store.drill(AWAY, COPY_AGE);
    }
    let between = world.press(&[2, 3], &tenant, Duration::from_secs(8), pause);
    // The final fault, right after a configuration was acknowledged: a top-up.
    tenant.prepaid += 1_000;
    world.put_config(9, &[&tenant]);
    for number in [2, 3] {
        world.signal(number, "KILL");
        world.wait_end(number, Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(1));
    for number in [2, 3] {
        world.start_edge(number, &by_weight(0)[number - 1]);
    }
    let back = world.wait_ready(2) && world.wait_ready(3);
    world.press(&[2, 3], &tenant, RECOVER, Duration::from_millis(100));
    let after = world.press(&[2, 3], &tenant, Duration::from_secs(15), pause);
    let (before, after) = (share_served(&[before, between]), share_served(&[after]));
    if !back || before < 0.25 {
        world.record.say(format!("not judged: {before:.2} were served before the final fault, ready again: {back}"));
        world.record.save(path);
        return 2;
    }
    let broken = after < 0.25;
    let verdict = if broken { "BROKEN" } else { "held" };
    let used = world.used.tokens(&tenant.name);
    world.record.say(format!("RECOVER {verdict}: {:.0} in 100 requests were served later than {RECOVER:?} after the machines were back, {:.0} in 100 before the final fault; the tenant got {used} tokens of {} prepaid", 100.0 * after, 100.0 * before, tenant.prepaid));
    world.record.save(path);
    i32::from(broken)
}

fn share_served(parts: &[Answers]) -> f64 {
    let total: u32 = parts.iter().flat_map(|part| part.values()).sum();
    let served: u32 = parts.iter().filter_map(|part| part.get(&200)).sum();
    f64::from(served) / f64::from(total.max(1))
}

/// The process that keeps a budget is killed once, and starts again.
pub fn kill(trouble: bool, path: &str) -> i32 {
    let names = tenants_of(0, 1);
    let tenant = Tenant { name: names[0].clone(), prepaid: 1_500_000 };
    let Some(mut world) = start(65, &[&tenant]) else { return 2 };
    let name = by_weight(0)[0].clone();
    let mut parts = press_from_three(&world, &tenant, Duration::from_secs(6));
    if parts[0].get(&200).copied().unwrap_or(0) == 0 {
        return 2;
    }
    if trouble {
        world.signal(1, "KILL");
        world.wait_end(1, Duration::from_secs(1));
        world.start_edge(1, &name);
        world.wait_ready(1);
    }
    // The machine is in touch again after `contactMs` (3 s).
    parts.extend(press_from_three(&world, &tenant, Duration::from_secs(10)));
    let late = press_from_three(&world, &tenant, Duration::from_secs(15));
    let denied = late.iter().map(|part| part.get(&402).copied().unwrap_or(0)).sum();
    parts.extend(late);
    judge_denied(&world, &tenant, denied, &parts, path)
}

/// Three clients send requests of a tenant to all machines for `span`.
fn press_from_three(world: &World, tenant: &Tenant, span: Duration) -> Vec<Answers> {
    let pause = Duration::from_millis(25);
    thread::scope(|scope| {
        let one = || scope.spawn(|| world.press(&[1, 2, 3], tenant, span, pause));
        let clients = [one(), one(), one()];
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    })
}
