//! Runners read slowly, and the machine holds requests of a size that the configuration allows.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Client;
use crate::fleet::Machine;
use crate::fleet::Outcome;
use crate::fleet::Record;
use crate::fleet::WorkFolder;
use crate::fleet::machine_ip;
use crate::fleet::memory_of;
use crate::fleet::request_head;
use crate::runner::Runner;
use crate::store::Store;

/// Memory limit of a machine in MB, and in bytes at its most lenient reading.
const MEMORY_MB: u64 = 110;
const MEMORY_BYTES: u64 = MEMORY_MB * 1024 * 1024;

const CLIENTS: usize = 40;

/// The configuration's `maxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// Time between two requests: 13.3 a second, the usual traffic of one of the site's machines.
const SPACING: Duration = Duration::from_millis(75);

const DEADLINE_MS: u64 = 10_000;

/// Bytes per second that a runner which reads slowly takes of each request.
const SLOW_RATE: u64 = 1_000_000;

/// Requests that may be lost by the rule.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"app.example","pathPrefix":"/reserva/","routeKind":"non_idempotent","timeoutMs":10000,"goalMs":1000,"priority":1,"service":"tienda","maxAttempts":1,"public":false}],"services":[{"name":"tienda","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"acme","apiKeys":["key-of-acme"],"priority":1}]}"#;

pub fn run(folder: &str, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let work = WorkFolder::create();
    let store = Store::start("127.0.0.1");
    store.put("op/config", CONFIG);
    let runners: Vec<Runner> = (1..=4)
        .map(|number| {
            let name = format!("i-{number}");
            Runner::start(
                &name,
                "tienda",
                "bog-a",
                "127.0.0.1",
                |runner, request, connection| {
                    thread::sleep(Duration::from_millis(15));
                    runner.answer(request, connection, "confirmed")
                },
            )
        })
        .collect();
    for runner in &runners {
        store.put(&runner.key(), &runner.entry("ready", 1));
    }
    let mut machine = Machine::prepare(
        &work.path,
        "edge-bog-a-1",
        "bog-a",
        &machine_ip(1),
        MEMORY_MB,
        &store,
    );
    machine.start();
    if !machine.wait_until_ready(Duration::from_secs(15)) {
        record.say("the machine did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_millis(1500));
    record.say(&format!(
        "ready, {} bytes of memory in use",
        machine.memory()
    ));
    let (ip, port) = (machine.ip.clone(), machine.front);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let Ok(mut client) = Client::connect(&ip, port, Duration::from_secs(12)) else {
            record.say("a client could not connect");
            return 2;
        };
        let head = request_head(
            "POST",
            "/reserva/first",
            &format!("first-{number}"),
            "key-of-acme",
            1500,
            "",
            5,
        );
        match client.call(&head, b"hello") {
            Outcome::Answer(answer) if answer.status() == 200 => clients.push(client),
            other => {
                record.say(&format!(
                    "a small request on a quiet machine failed: {other:?}"
                ));
                return 2;
            }
        }
    }
    record.say(&format!(
        "{CLIENTS} kept connections, each with one small request answered"
    ));
    if trouble {
        for runner in &runners {
            runner.read_rate.store(SLOW_RATE, Ordering::Relaxed);
        }
        record.say("the runners read slowly from here on");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let machine = Arc::new(Mutex::new(machine));
    let platform = watch_memory(&record, &machine, &is_over);
    let threads: Vec<JoinHandle<(String, Option<u16>)>> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let (record, began) = (record.clone(), Instant::now());
            let wait = SPACING * number as u32;
            thread::spawn(move || {
                thread::sleep(wait.saturating_sub(began.elapsed()));
                send_large(&record, number, client)
            })
        })
        .collect();
    let results: Vec<(String, Option<u16>)> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    let peak = platform.join().unwrap_or_default();
    machine.lock().unwrap().kill();
    let passed_on = |id: &str| {
        runners.iter().any(|runner| {
            runner
                .arrivals
                .lock()
                .unwrap()
                .iter()
                .any(|arrival| arrival.id == id)
        })
    };
    for runner in &runners {
        for arrival in runner.arrivals.lock().unwrap().iter() {
            record.say_at(
                arrival.at,
                &format!(
                    "runner {}: {} arrives, body of {} bytes, answered: {}",
                    runner.name,
                    arrival.id,
                    arrival.body_length,
                    arrival.answered.is_some()
                ),
            );
        }
    }
    let answered = results
        .iter()
        .filter(|(_, status)| status.is_some())
        .count();
    let lost = results
        .iter()
        .filter(|(id, status)| status.is_none() && passed_on(id))
        .count();
    record.say(&format!(
        "{answered} of {CLIENTS} answered; {lost} were passed on to a sound runner from a kept connection that was closed without an answer ({ALLOWED} allowed); most memory in use {peak} bytes, limit {MEMORY_BYTES}"
    ));
    i32::from(lost > ALLOWED)
}

/// Kills and restarts the process if it exceeds its memory, as the platform does. Returns the
/// most memory that was in use.
fn watch_memory(
    record: &Record,
    machine: &Arc<Mutex<Machine>>,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<u64> {
    let (record, machine, is_over) = (record.clone(), Arc::clone(machine), Arc::clone(is_over));
    thread::spawn(move || {
        let mut peak = 0;
        while !is_over.load(Ordering::Relaxed) {
            let pid = machine.lock().unwrap().pid();
            let memory = memory_of(pid);
            peak = peak.max(memory);
            if memory > MEMORY_BYTES {
                record.say(&format!("the process has {memory} bytes of memory: killed"));
                machine.lock().unwrap().kill();
                thread::sleep(Duration::from_millis(500));
                machine.lock().unwrap().start();
                record.say("started again");
            }
            thread::sleep(Duration::from_millis(2));
        }
        peak
    })
}

fn send_large(record: &Record, number: usize, mut client: Client) -> (String, Option<u16>) {
    let id = format!("large-{number}");
    let body = vec![b'x'; BODY_BYTES];
    let head = request_head(
        "POST",
        "/reserva/large",
        &id,
        "key-of-acme",
        DEADLINE_MS,
        "",
        BODY_BYTES,
    );
    record.say(&format!("client: {id} sent, body of {BODY_BYTES} bytes"));
    match client.call(&head, &body) {
        Outcome::Answer(answer) => {
            record.say(&format!("client: {id} answered with {}", answer.status()));
            (id, Some(answer.status()))
        }
        Outcome::Ended(reason) => {
            record.say(&format!("client: {id} ended {reason}"));
            (id, None)
        }
    }
}
