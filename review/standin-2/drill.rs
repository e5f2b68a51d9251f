//! Processes end without SIGTERM, and the store comes back from an older copy: tenants are told that
//! their prepaid tokens are used up.

use std::sync::Arc;
use std::sync::Mutex;
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
use crate::fleet::request_head;
use crate::runner::Runner;
use crate::store::Copy;
use crate::store::Store;

/// Tenants by number, and those of them whose budgets lie in shards in which the removed machine is
/// the keeper.
const TENANTS: [usize; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
const KEPT_BY_REMOVED: [usize; 4] = [1, 4, 6, 8];
const MACHINES: usize = 6;
const RUNNERS: usize = 3;

/// Tokens of a request: those of the prompt, and the most of the output, which are all delivered.
const INPUT: u64 = 1460;
const OUTPUT: u64 = 80;

/// Tokens of an event.
const STRIDE: u64 = 4;

/// Time between two requests of a tenant.
const SPACING: Duration = Duration::from_millis(100);

/// Prepaid tokens of a tenant: all its requests together need 50 or 61 in 100 of them.
const PREPAID: u64 = 1_386_000;

/// When the store is away, after the first request, for how long, and the age of its copy when it
/// comes back.
const OUTAGE: Duration = Duration::from_secs(11);
const OUTAGE_TIME: Duration = Duration::from_secs(2);
const COPY_AGE: Duration = Duration::from_secs(4);

/// The machine that is removed, by index, and when, after the first request.
const REMOVED: usize = 5;
const REMOVAL: Duration = Duration::from_secs(10);

/// When all processes are killed, after the first request, and when they are started again.
const KILL: Duration = Duration::from_millis(11_800);
const START: Duration = Duration::from_millis(12_300);

/// When all machines that are left are killed, and started again, after one was removed.
const FINAL_KILL: Duration = Duration::from_secs(25);
const FINAL_START: Duration = Duration::from_secs(26);

/// Bound of the rule RECOVER, `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);

/// What happens to the machines beside the store's return.
#[derive(Clone, Copy, PartialEq)]
pub enum Form {
    /// All processes are killed and started again while the store is away.
    AllKilled,
    /// One machine is removed for good shortly before; all others are killed later.
    OneRemoved,
}

impl Form {
    /// Returns the number of requests of each tenant.
    fn requests(self) -> usize {
        match self {
            Self::AllKilled => 450,
            Self::OneRemoved => 550,
        }
    }

    fn tenants(self) -> &'static [usize] {
        match self {
            Self::AllKilled => &TENANTS,
            Self::OneRemoved => &KEPT_BY_REMOVED,
        }
    }
}

const DEADLINE_MS: u64 = 6000;

/// What became of a request.
struct Ending {
    tenant: usize,
    /// When it was sent first, after the first request of all.
    sent: Duration,
    /// The last status; 0 if there was no answer.
    status: u16,
    events: u64,
}

fn config() -> String {
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|n| {
            format!(
                r#"{{"name":"tenant-{n}","apiKeys":["key-{n}"],"priority":1,"prepaid":{PREPAID}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"app.example","pathPrefix":"/perfil/","routeKind":"streaming","timeoutMs":6000,"goalMs":500,"priority":1,"service":"asesor","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":200}}],"services":[{{"name":"asesor","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":288611,"kvTokenBytes":327680,"linkMbps":550000.0,"moves":true,"backups":true,"stride":{STRIDE},"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

pub fn run(folder: &str, trouble: bool, form: Form) -> i32 {
    let record = Record::create(folder);
    let work = WorkFolder::create();
    let store = Store::start("127.0.0.1");
    store.put("op/config", &config());
    for number in 1..=RUNNERS {
        let runner = Runner::start(
            &format!("i-{number}"),
            "asesor",
            "bog-a",
            "127.0.0.1",
            |runner, request, connection| {
                runner.stream(
                    request,
                    connection,
                    OUTPUT / STRIDE,
                    Duration::from_millis(1),
                )
            },
        );
        store.put(&runner.key(), &runner.entry("ready", 1));
    }
    let mut machines: Vec<Machine> = (1..=MACHINES)
        .map(|n| {
            Machine::prepare(
                &work.path,
                &format!("edge-bog-a-{n}"),
                "bog-a",
                &machine_ip(n),
                110,
                &store,
            )
        })
        .collect();
    machines.iter_mut().for_each(Machine::start);
    if !machines
        .iter()
        .all(|machine| machine.wait_until_ready(Duration::from_secs(15)))
    {
        record.say("a machine did not become ready");
        return 2;
    }
    // Budgets can't be granted before the registrations are old enough.
    thread::sleep(Duration::from_secs(10));
    record.say(&format!(
        "{MACHINES} machines ready; {} tenants send, each with {PREPAID} prepaid tokens",
        form.tenants().len()
    ));
    let addresses: Arc<Mutex<Vec<(String, u16)>>> = Arc::new(Mutex::new(
        machines
            .iter()
            .map(|machine| (machine.ip.clone(), machine.front))
            .collect(),
    ));
    let began = Instant::now();
    let threads: Vec<JoinHandle<Vec<Ending>>> = form
        .tenants()
        .iter()
        .map(|&tenant| {
            let (record, addresses) = (record.clone(), Arc::clone(&addresses));
            thread::spawn(move || send_all(&record, tenant, form.requests(), &addresses, began))
        })
        .collect();
    let wait = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    wait(OUTAGE + OUTAGE_TIME - COPY_AGE);
    let copy = store.copy();
    if form == Form::OneRemoved {
        wait(REMOVAL);
        let machine = &mut machines[REMOVED];
        // Callers no longer use the address, as they would soon learn.
        let address = (machine.ip.clone(), machine.front);
        addresses.lock().unwrap().retain(|other| *other != address);
        machine.kill();
        record.say(&format!(
            "{} is removed for good, without SIGTERM",
            machine.name
        ));
    }
    if trouble {
        wait(OUTAGE);
        store.set_silent(true);
        record.say("the store is away");
    }
    let (kill, start) = match form {
        Form::AllKilled => (KILL, START),
        Form::OneRemoved => (FINAL_KILL, FINAL_START),
    };
    if form == Form::OneRemoved {
        come_back(&record, &store, &copy, trouble, began);
    }
    let mut back = start;
    if trouble || form == Form::OneRemoved {
        wait(kill);
        let is_left = |machine: &&mut Machine| machine.child.is_some();
        let left: Vec<&mut Machine> = machines.iter_mut().filter(is_left).collect();
        let mut killed: Vec<&mut Machine> = Vec::new();
        for machine in left {
            machine.kill();
            killed.push(machine);
        }
        record.say(&format!("{} processes are killed", killed.len()));
        wait(start);
        killed.iter_mut().for_each(|machine| machine.start());
        record.say("they are started again");
        if form == Form::AllKilled {
            come_back(&record, &store, &copy, trouble, began);
        }
        if !killed
            .iter()
            .all(|machine| machine.wait_until_ready(Duration::from_secs(10)))
        {
            record.say("a machine did not become ready again");
            return 2;
        }
        back = began.elapsed();
        record.say("all machines that are left are ready");
    }
    let endings: Vec<Ending> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .flatten()
        .collect();
    machines.iter_mut().for_each(Machine::kill);
    let mut denied = 0;
    for &tenant in form.tenants() {
        let own: Vec<&Ending> = endings
            .iter()
            .filter(|ending| ending.tenant == tenant)
            .collect();
        let served = own.iter().filter(|ending| ending.status == 200).count() as u64;
        let tokens: u64 = own
            .iter()
            .filter(|ending| ending.status == 200)
            .map(|ending| INPUT + ending.events * STRIDE)
            .sum();
        let refused = own.iter().filter(|ending| ending.status == 402).count();
        let other = own.len() as u64 - served - refused as u64;
        denied += refused;
        record.say(&format!("tenant-{tenant}: {served} served with {tokens} of {PREPAID} tokens, {refused} ended with 402, {other} otherwise"));
    }
    let (all_before, before) = count(&endings, |sent| sent < kill);
    let (all_after, after) = count(&endings, |sent| sent > back + RECOVER);
    record.say(&format!("{denied} of {} requests were ended with 402; before the final fault {before} of {all_before} were served; later than {RECOVER:?} after the machines were back {after} of {all_after}, a quarter is the least", endings.len()));
    if 4 * before < all_before || all_after == 0 {
        return 2;
    }
    i32::from(4 * after < all_after)
}

/// Lets the store come back, if it was away.
fn come_back(record: &Record, store: &Store, copy: &Copy, trouble: bool, began: Instant) {
    if trouble {
        thread::sleep((OUTAGE + OUTAGE_TIME).saturating_sub(began.elapsed()));
        store.come_back(copy);
        record.say(&format!(
            "the store is back from a copy that is {COPY_AGE:?} old"
        ));
    }
}

/// Counts the requests sent at some time, and those of them that were served.
fn count(endings: &[Ending], is_meant: impl Fn(Duration) -> bool) -> (usize, usize) {
    let meant: Vec<&Ending> = endings
        .iter()
        .filter(|ending| is_meant(ending.sent))
        .collect();
    let served = meant.iter().filter(|ending| ending.status == 200).count();
    (meant.len(), served)
}

fn send_all(
    record: &Record,
    tenant: usize,
    requests: usize,
    addresses: &Arc<Mutex<Vec<(String, u16)>>>,
    began: Instant,
) -> Vec<Ending> {
    let pending: Vec<JoinHandle<Ending>> = (0..requests)
        .map(|number| {
            let at = SPACING * number as u32;
            thread::sleep(at.saturating_sub(began.elapsed()));
            let (record, addresses) = (record.clone(), Arc::clone(addresses));
            thread::spawn(move || send(&record, tenant, number, &addresses))
        })
        .collect();
    pending
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect()
}

/// Sends a request, and once more after a promise that it has not run, as a client does.
fn send(
    record: &Record,
    tenant: usize,
    number: usize,
    addresses: &Arc<Mutex<Vec<(String, u16)>>>,
) -> Ending {
    let sent = SPACING * number as u32;
    let mut ending = Ending {
        tenant,
        sent,
        status: 0,
        events: 0,
    };
    for attempt in 0..3 {
        let known = addresses.lock().unwrap().clone();
        let (ip, port) = &known[(tenant + number + attempt) % known.len()];
        let id = format!("t{tenant}-{number}-{attempt}");
        let extra = format!(
            "X-Model: m\r\nX-Token-Usage: {INPUT},{OUTPUT}\r\nX-Prefix-Hash: aa{tenant}:800,bb{tenant}{number}:660\r\n"
        );
        let head = request_head(
            "POST",
            "/perfil/2f",
            &id,
            &format!("key-{tenant}"),
            DEADLINE_MS,
            &extra,
            0,
        );
        let Ok(mut client) = Client::connect(ip, *port, Duration::from_secs(7)) else {
            record.say(&format!("client: {id} no connection"));
            continue;
        };
        match client.call(&head, b"") {
            Outcome::Answer(answer) => {
                ending.status = answer.status();
                ending.events = String::from_utf8_lossy(&answer.body)
                    .matches("id: ")
                    .count() as u64;
                record.say(&format!(
                    "client: {id} {} events {}",
                    ending.status, ending.events
                ));
                if answer.status() != 503 {
                    return ending;
                }
                let after: f64 = answer.header("retry-after").parse().unwrap_or(0.3);
                thread::sleep(Duration::from_secs_f64(after.min(2.0)));
            }
            Outcome::Ended(reason) => {
                record.say(&format!("client: {id} ended {reason}"));
                return ending;
            }
        }
    }
    ending
}
