//! Measures the cost of following the fleet view and the time until a change is in
//! force, and prints the results as a JSON object.
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
use snipegate_fleet::ViewQuery;
use snipegate_fleet::ViewScope;
use snipegate_fleet::ViewState;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_service::encode_message;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;

use crate::local_fleet::LocalFleet;
use crate::local_fleet::LocalVm;
use crate::local_fleet::write;

/// Size of the HTTP heads of a request and its response in bytes, as captured from a
/// connection.
const HTTP_BYTES: usize = 260;
/// Size of the TCP and IP headers of the segments of an exchange and of their
/// acknowledgements, in bytes.
const PACKET_BYTES: usize = 5 * 52;
/// The measured view sizes: the numbers of workspaces with ten budgets each, of
/// upstreams and of members.
const VIEW_SIZES: [[usize; 3]; 3] = [[10, 13, 27], [1_200, 60, 111], [12_000, 600, 1_110]];
/// Fleet sizes for the simulation of heartbeats.
const HEARTBEAT_SIZES: [usize; 3] = [9, 100, 370];
/// Sizes of the fleets that run in this process with real connections.
const LOCAL_SIZES: [usize; 3] = [3, 9, 30];
/// Default number of changes per latency distribution.
const DEFAULT_RUNS: usize = 200;
/// Time over which the CPU time of idle keepers is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Number of simulated rounds of heartbeats.
const ROUNDS: usize = 60;
/// Clock ticks per second in the CPU times that Linux reports.
const TICKS_PER_SECOND: f64 = 100.0;

fn keeper(number: usize) -> IncarnationId {
    IncarnationId {
        vm: format!("vm-bog-a-{number:04}").parse().expect("a name"),
        role: ProcessRole::Keeper,
        start: 0x1876_5432_10ab_cdef,
    }
}

/// Simulates heartbeats and returns their traffic and CPU time per keeper and second.
///
/// The first `failing` keepers alternate between ten rounds in which they answer and ten
/// rounds in which they do not.
fn measure_heartbeats(size: usize, failing: usize) -> Value {
    let members: Vec<_> = (0..size).map(keeper).collect();
    let tables = members.iter().enumerate().map(|(seed, me)| {
        let mut table = MemberTable::new(me.clone(), seed as u64);
        table.set_members(members.iter());
        table
    });
    let mut tables: Vec<MemberTable> = tables.collect();
    let mut now = Instant::now();
    let (mut bytes, mut messages) = (0, 0);
    let started = Instant::now();
    for round in 0..ROUNDS {
        now += HEARTBEAT_PERIOD;
        for from in 0..size {
            for member in tables[from].probes() {
                let to = members.iter().position(|m| *m == member).expect("a member");
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
    // Each exchange costs traffic on both sides, hence the factor of two.
    json!({
        "nodes": size,
        "failing": failing,
        "exchanges_per_node_s": 2.0 * f64::from(messages) * per_second,
        "bytes_per_node_s": 2.0 * bytes as f64 * per_second,
        "cpu_us_per_node_s": started.elapsed().as_secs_f64() * 1e6 * per_second,
    })
}

/// Creates a configuration with the given numbers of records.
fn create_listing(workspaces: usize, upstreams: usize, members: usize) -> StoreListing {
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
        let revision = StoreRevision::new(at as u64 + 1);
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
        revision: StoreRevision::new(entries.len() as u64),
        entries,
        more_after: None,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Returns the CPU time of this process in seconds.
fn cpu_seconds() -> f64 {
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

/// Measures the memory and the CPU time of the view of a process with the role
/// `holder`.
fn measure_view(holder: &str, [workspaces, upstreams, members]: [usize; 3]) -> Value {
    let now = Instant::now();
    let mut page = create_listing(workspaces, upstreams, members);
    let mut view_state = ViewState::new();
    match holder {
        "keeper" => view_state = ViewState::relaying_workspaces(),
        "directory" => page
            .entries
            .retain(|(key, _)| ViewScope::Members.covers(key)),
        _ => {}
    }
    let stored_bytes: usize = page.entries.iter().map(|(_, s)| s.value.len()).sum();
    let memory_before = resident_bytes();
    let started = Instant::now();
    view_state.apply_page(&page, now);
    let view = black_box(view_state.view());
    let first_load_time = started.elapsed();
    let memory_loaded = resident_bytes();
    let (key, last) = page.entries.last().cloned().expect("not empty");
    let change = StoreListing {
        revision: StoreRevision::new(last.revision.number + 1),
        entries: vec![(
            key,
            StoredValue {
                revision: StoreRevision::new(last.revision.number + 1),
                ..last
            },
        )],
        more_after: Some("~".to_owned()),
    };
    let started = Instant::now();
    view_state.apply_page(&change, now);
    black_box(view_state.view());
    let change_time = started.elapsed();
    let memory_changed = resident_bytes();
    let started = Instant::now();
    let full_reply = view_state.reply_to(&keeper(0), StoreRevision::new(0), ViewScope::Whole, now);
    let full_reply_time = started.elapsed();
    let started = Instant::now();
    let newest = StoreRevision::new(last.revision.number + 1);
    let idle_reply = view_state.reply_to(&keeper(0), newest, ViewScope::Whole, now);
    let idle_reply_time = started.elapsed();
    let full_reply_bytes = encode_message(&full_reply).len();
    drop((full_reply, view, page));
    json!({
        "holder": holder, "workspaces": workspaces, "upstreams": upstreams, "members": members,
        "stored_bytes": stored_bytes,
        "view_bytes": memory_loaded.saturating_sub(memory_before),
        "rebuild_extra_bytes": memory_changed.saturating_sub(memory_loaded),
        "first_load_ms": first_load_time.as_secs_f64() * 1e3,
        "one_change_ms": change_time.as_secs_f64() * 1e3,
        "full_reply_ms": full_reply_time.as_secs_f64() * 1e3,
        "full_reply_bytes": full_reply_bytes,
        "idle_reply_us": idle_reply_time.as_secs_f64() * 1e6,
        "idle_reply_bytes": encode_message(&idle_reply).len(),
    })
}

/// Returns the traffic of a view query that finds no changes, in bytes.
fn idle_exchange_bytes() -> usize {
    let mut view_state = ViewState::new();
    view_state.apply_page(&create_listing(1, 1, 3), Instant::now());
    let reply = view_state.reply_to(
        &keeper(0),
        view_state.complete_to(),
        ViewScope::Whole,
        Instant::now(),
    );
    let query = ViewQuery {
        asker: Some(keeper(1)),
        leaving: false,
        after: view_state.complete_to(),
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

/// Measures the time from the write of a change until the followers on all VMs have
/// applied it.
async fn measure_propagation(fleet: &LocalFleet, runs: usize) -> Value {
    let mut samples = Vec::new();
    for run in 0..runs {
        // Varying delays spread the writes over the phases of the polling periods.
        sleep(Duration::from_millis(7 * (run as u64 % 13))).await;
        let value = format!("{{\"grant_horizon_ms\":{}}}", 1_000 + run);
        let started = Instant::now();
        let revision = write(&fleet.store, "fleet/config/fleet", &value).await;
        let updates = fleet.vms.iter().map(async |vm: &LocalVm| {
            let mut views = vm.follower.views();
            let newest = views.wait_for(|view| view.settings_revision() >= Some(revision));
            newest.await.map(drop)
        });
        join_all(updates).await;
        samples.push(started.elapsed().as_secs_f64() * 1e3);
    }
    let summary = percentiles(samples);
    eprintln!("{} VMs: {summary}", fleet.vms.len());
    summary
}

/// Measures the idle cost of a local fleet and the distributions of the time until a
/// change is in force.
async fn measure_local_fleet(size: usize, runs: usize) -> Value {
    let fleet = LocalFleet::start(size).await;
    sleep(Duration::from_secs(2)).await;
    let cpu_before = cpu_seconds();
    sleep(IDLE_TIME).await;
    let idle = (cpu_seconds() - cpu_before) / IDLE_TIME.as_secs_f64() / size as f64;
    let store_up = measure_propagation(&fleet, runs).await;
    fleet.vms[1].disconnected.set(true);
    let one_cut_off = measure_propagation(&fleet, runs).await;
    fleet
        .vms
        .iter()
        .skip(1)
        .for_each(|vm| vm.disconnected.set(true));
    let all_but_one_cut_off = measure_propagation(&fleet, runs).await;
    json!({
        "nodes": size,
        "idle_core_share_per_node": idle,
        "in_force": {
            "store_up": store_up,
            "one_keeper_cut_off": one_cut_off,
            "all_but_one_keeper_cut_off": all_but_one_cut_off,
        },
    })
}

/// Measures a view in a separate process, so that no memory freed by an earlier
/// measurement is reused.
fn measure_view_in_process(holder: &str, size: &str) -> Value {
    let program = std::env::current_exe().expect("path of this program");
    let mut command = Command::new(program);
    let output = command.args(["view", holder, size]).output();
    let output = output.expect("this program can be started");
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [command, holder, size] = arguments.as_slice()
        && command == "view"
    {
        let at = size.parse().unwrap_or(0);
        println!("{}", measure_view(holder, VIEW_SIZES[at]));
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
        .flat_map(|holder| ["0", "1", "2"].map(|size| measure_view_in_process(holder, size)))
        .collect();
    let sizes = HEARTBEAT_SIZES.iter();
    let quiet: Vec<Value> = sizes.clone().map(|&n| measure_heartbeats(n, 0)).collect();
    let failing: Vec<Value> = sizes.map(|&n| measure_heartbeats(n, 3)).collect();
    let mut fleets = Vec::new();
    for size in LOCAL_SIZES {
        fleets.push(measure_local_fleet(size, runs).await);
    }
    let results = json!({
        "runs": runs,
        "assumed": {"http_bytes": HTTP_BYTES, "packet_bytes": PACKET_BYTES},
        "heartbeats_quiet": quiet,
        "heartbeats_three_failing": failing,
        "idle_view_exchange_bytes": idle_exchange_bytes(),
        "views": views,
        "local_fleets": fleets,
    });
    println!("{results:#}");
}
