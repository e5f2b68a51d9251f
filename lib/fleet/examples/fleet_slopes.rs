//! Measures what following the fleet costs and how long a change takes; prints
//! one JSON object.
//!
//! `cargo run --release -p snipegate-fleet --example fleet_slopes -- [runs]`

mod local_fleet;

use std::fs;
use std::hint::black_box;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_fleet::HEARTBEAT_PERIOD;
use snipegate_fleet::MemberTable;
use snipegate_fleet::ViewKeeper;
use snipegate_fleet::ViewQuery;
use snipegate_fleet::ViewScope;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_service::encode_message;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

use crate::local_fleet::LocalFleet;
use crate::local_fleet::LocalVm;
use crate::local_fleet::write;

/// HTTP head of a request and its response, in bytes, read off a connection.
const HTTP_BYTES: usize = 260;
/// TCP and IP headers of the segments of an exchange and their acknowledgements.
const PACKET_BYTES: usize = 5 * 52;
/// Workspaces with ten budgets each, upstreams and members.
const VIEW_SIZES: [[usize; 3]; 3] = [[10, 13, 27], [1_200, 60, 111], [12_000, 600, 1_110]];
/// Fleet sizes.
const SIZES: [usize; 3] = [9, 100, 370];
/// Sizes that run as connected keepers in this process.
const LOCAL_SIZES: [usize; 3] = [3, 9, 30];
/// Changes for each distribution where the command line names no other number.
const DEFAULT_RUNS: usize = 200;
/// Time over which the processor time of idle keepers is taken.
const IDLE_SPAN: Duration = Duration::from_secs(10);
/// Rounds of heartbeats that are counted.
const ROUNDS: usize = 60;
/// Clock ticks in a second of processor time, as Linux reports it.
const TICKS_PER_SECOND: f64 = 100.0;

fn keeper(number: usize) -> IncarnationId {
    IncarnationId {
        vm: format!("vm-bog-a-{number:04}").parse().expect("a name"),
        role: ProcessRole::Keeper,
        start: 0x1876_5432_10ab_cdef,
    }
}

/// Bytes and processor time of heartbeats, for each keeper and second.
fn heartbeats(size: usize, failing: usize) -> Value {
    let members: Vec<_> = (0..size).map(keeper).collect();
    let tables = members.iter().enumerate().map(|(seed, me)| {
        let mut table = MemberTable::new(me.clone(), seed as u64);
        table.set_members(members.iter());
        table
    });
    let mut tables: Vec<MemberTable> = tables.collect();
    let mut now = Instant::now();
    let (mut bytes, mut messages) = (0, 0);
    let began = Instant::now();
    for round in 0..ROUNDS {
        now += HEARTBEAT_PERIOD;
        for from in 0..size {
            for member in tables[from].probes() {
                let to = members.iter().position(|m| *m == member).expect("a member");
                // A few keepers in turn fail to answer for some rounds.
                if to < failing && round / 10 % 2 == 1 {
                    tables[from].probe_failed(&member, now);
                    continue;
                }
                let beat = tables[from].heartbeat(&member);
                tables[to].receive(&beat, now);
                let answer = tables[to].heartbeat(&beat.sender);
                tables[from].receive(&answer, now);
                let payload = encode_message(&beat).len() + encode_message(&answer).len();
                bytes += payload + HTTP_BYTES + PACKET_BYTES;
                messages += 1;
            }
        }
    }
    let per_second = 1.0 / (size * ROUNDS) as f64;
    // Each exchange is paid for at both ends.
    json!({
        "nodes": size,
        "failing": failing,
        "exchanges_per_node_s": 2.0 * f64::from(messages) * per_second,
        "bytes_per_node_s": 2.0 * bytes as f64 * per_second,
        "cpu_us_per_node_s": began.elapsed().as_secs_f64() * 1e6 * per_second,
    })
}

/// The configuration of the size that the letter names, scaled.
fn listing(workspaces: usize, upstreams: usize, members: usize) -> StoreListing {
    let mut entries = vec![(FleetKey::Settings.to_string(), "{}".to_owned())];
    for number in 0..workspaces {
        let budgets: Vec<String> = (0..10).map(|b| format!("budget-{number:05}-{b}")).collect();
        let record = json!({
            "key_digests": [format!("{number:064x}")], "budgets": budgets,
            "default_budget": budgets[0], "requests_per_second": 100,
            "concurrent_requests": 100, "max_output_tokens": 4096,
            "profiles": ["advice", "checkout"], "default_profile": "advice",
        });
        entries.push((
            format!("{}w-{number:05}", FleetKey::WORKSPACE_PREFIX),
            record.to_string(),
        ));
    }
    for number in 0..upstreams {
        let record = json!({
            "data_centre": "bog-a", "address": format!("10.0.{}.{}:8000", number / 250, number % 250),
            "kind": "model_engine", "models": ["m-1", "m-2"], "capacity_slots": 64,
        });
        entries.push((
            format!("{}u-{number:04}", FleetKey::UPSTREAM_PREFIX),
            record.to_string(),
        ));
    }
    for number in 0..members {
        let role = ["keeper", "router", "directory"][number % 3];
        let vm = format!("vm-bog-a-{:04}", number / 3);
        let record = json!({
            "incarnation": {"vm": vm, "role": role, "start": 1_790_000_000_000_000_000_u64},
            "data_centre": "bog-a", "region": "co-centro", "weight": 1,
            "address": format!("10.1.{}.{}:8080", number / 250, number % 250), "listed_at": 7,
        });
        entries.push((
            format!("{}{vm}/{role}", FleetKey::MEMBER_PREFIX),
            record.to_string(),
        ));
    }
    let numbered = entries.into_iter().enumerate().map(|(at, (key, value))| {
        let revision = StoreRevision(at as u64 + 1);
        (
            key,
            StoredValue {
                revision,
                value: value.into_bytes(),
            },
        )
    });
    let entries: Vec<_> = numbered.collect();
    StoreListing {
        revision: StoreRevision(entries.len() as u64),
        entries,
        more_after: None,
    }
}

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * 1024
}

fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    (ticks(12).unwrap_or_default() + ticks(13).unwrap_or_default()) / TICKS_PER_SECOND
}

/// Memory and processor time of the view at one size.
fn view(holder: &str, [workspaces, upstreams, members]: [usize; 3]) -> Value {
    let now = Instant::now();
    let mut page = listing(workspaces, upstreams, members);
    let mut keeper_state = ViewKeeper::new();
    match holder {
        "keeper" => keeper_state = ViewKeeper::passing_workspaces_on(),
        "directory" => page
            .entries
            .retain(|(key, _)| ViewScope::Members.covers(key)),
        _ => {}
    }
    let stored: usize = page.entries.iter().map(|(_, s)| s.value.len()).sum();
    let before = resident_bytes();
    let began = Instant::now();
    keeper_state.apply_page(&page, now);
    let view = black_box(keeper_state.view());
    let applied = began.elapsed();
    let after = resident_bytes();
    let (key, last) = page.entries.last().cloned().expect("not empty");
    let change = StoreListing {
        revision: StoreRevision(last.revision.0 + 1),
        entries: vec![(
            key,
            StoredValue {
                revision: StoreRevision(last.revision.0 + 1),
                ..last
            },
        )],
        more_after: Some("~".to_owned()),
    };
    let began = Instant::now();
    keeper_state.apply_page(&change, now);
    black_box(keeper_state.view());
    let rebuilt = began.elapsed();
    let both = resident_bytes();
    let began = Instant::now();
    let full = keeper_state.reply_to(&keeper(0), StoreRevision(0), ViewScope::Whole, now);
    let replied = began.elapsed();
    let began = Instant::now();
    let newest = StoreRevision(last.revision.0 + 1);
    let idle = keeper_state.reply_to(&keeper(0), newest, ViewScope::Whole, now);
    let idled = began.elapsed();
    let full_bytes = encode_message(&full).len();
    drop((full, view, page));
    json!({
        "holder": holder, "workspaces": workspaces, "upstreams": upstreams, "members": members,
        "stored_bytes": stored,
        "view_bytes": after.saturating_sub(before),
        "rebuild_extra_bytes": both.saturating_sub(after),
        "first_load_ms": applied.as_secs_f64() * 1e3,
        "one_change_ms": rebuilt.as_secs_f64() * 1e3,
        "full_reply_ms": replied.as_secs_f64() * 1e3,
        "full_reply_bytes": full_bytes,
        "idle_reply_us": idled.as_secs_f64() * 1e6,
        "idle_reply_bytes": encode_message(&idle).len(),
    })
}

fn idle_exchange_bytes() -> usize {
    let mut known = ViewKeeper::new();
    known.apply_page(&listing(1, 1, 3), Instant::now());
    let reply = known.reply_to(
        &keeper(0),
        known.complete_to(),
        ViewScope::Whole,
        Instant::now(),
    );
    let query = ViewQuery {
        asker: Some(keeper(1)),
        leaving: false,
        after: known.complete_to(),
        scope: ViewScope::Whole,
        liveness_version: None,
        wait_ms: 1_000,
    };
    encode_message(&query).len() + encode_message(&reply).len() + HTTP_BYTES + PACKET_BYTES
}

fn percentiles(mut samples: Vec<f64>) -> Value {
    samples.sort_by(f64::total_cmp);
    let at = |share: f64| samples[((samples.len() - 1) as f64 * share) as usize];
    json!({"p50_ms": at(0.5), "p95_ms": at(0.95), "p99_ms": at(0.99), "max_ms": at(1.0)})
}

/// Time from the write of a change until the followers on all VMs have it.
async fn time_in_force(fleet: &LocalFleet, runs: usize) -> Value {
    let mut samples = Vec::new();
    for run in 0..runs {
        // Steps of odd length spread the writes over the polls' phases.
        sleep(Duration::from_millis(7 * (run as u64 % 13))).await;
        let value = format!("{{\"grant_horizon_ms\":{}}}", 1_000 + run);
        let began = Instant::now();
        let revision = write(&fleet.store, "fleet/config/fleet", &value).await;
        let known = fleet.vms.iter().map(async |vm: &LocalVm| {
            let mut views = vm.follower.views();
            let newest = views.wait_for(|view| view.settings_revision() >= Some(revision));
            newest.await.map(drop)
        });
        join_all(known).await;
        samples.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let shown = percentiles(samples);
    eprintln!("{} VMs: {shown}", fleet.vms.len());
    shown
}

/// Connected keepers and followers: idle cost, and distributions of the time
/// until a change is in force.
async fn local(size: usize, runs: usize) -> Value {
    let fleet = LocalFleet::start(size).await;
    sleep(Duration::from_secs(2)).await;
    let began = processor_seconds();
    sleep(IDLE_SPAN).await;
    let idle = (processor_seconds() - began) / IDLE_SPAN.as_secs_f64() / size as f64;
    let store_up = time_in_force(&fleet, runs).await;
    fleet.vms[1].cut.set(true);
    let one_cut = time_in_force(&fleet, runs).await;
    fleet.vms.iter().skip(1).for_each(|vm| vm.cut.set(true));
    let all_but_one_cut = time_in_force(&fleet, runs).await;
    json!({
        "nodes": size,
        "idle_core_share_per_node": idle,
        "in_force": {
            "store_up": store_up,
            "one_keeper_cut_off": one_cut,
            "all_but_one_keeper_cut_off": all_but_one_cut,
        },
    })
}

/// Measures a view in a process of its own, where no freed memory is used again.
fn view_apart(holder: &str, size: &str) -> Value {
    let program = std::env::current_exe().expect("this program has a path");
    let mut command = Command::new(program);
    let output = command.args(["view", holder, size]).output();
    let output = output.expect("this program runs");
    serde_json::from_slice(&output.stdout).expect("it prints JSON")
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [command, holder, size] = arguments.as_slice()
        && command == "view"
    {
        let at = size.parse().unwrap_or(0);
        println!("{}", view(holder, VIEW_SIZES[at]));
        return;
    }
    let runs = arguments.first().and_then(|text| text.parse().ok());
    ntex::rt::System::new("slopes", ntex::rt::DefaultRuntime)
        .block_on(measure(runs.unwrap_or(DEFAULT_RUNS)));
}

async fn measure(runs: usize) {
    let holders = ["router", "keeper", "directory"];
    let views: Vec<Value> = holders
        .iter()
        .flat_map(|holder| ["0", "1", "2"].map(|size| view_apart(holder, size)))
        .collect();
    let quiet: Vec<Value> = SIZES.iter().map(|&size| heartbeats(size, 0)).collect();
    let failing: Vec<Value> = SIZES.iter().map(|&size| heartbeats(size, 3)).collect();
    let mut fleets = Vec::new();
    for size in LOCAL_SIZES {
        fleets.push(local(size, runs).await);
    }
    let measured = json!({
        "runs": runs,
        "assumed": {"http_bytes": HTTP_BYTES, "packet_bytes": PACKET_BYTES},
        "heartbeats_quiet": quiet,
        "heartbeats_three_failing": failing,
        "idle_view_exchange_bytes": idle_exchange_bytes(),
        "views": views,
        "local_fleets": fleets,
    });
    println!("{measured:#}");
}
