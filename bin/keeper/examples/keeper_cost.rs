//! Measures what a running keeper costs, at rest and under bills.
//!
//! Sends bills as nine routers do, each with one batch in flight that holds what
//! has become due, to the keeper that `--keeper` names, at each of a few rates,
//! and reads the processor time and memory of process `--pid` meanwhile. Prints
//! JSON.

use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use ntex::rt::spawn;
use ntex::time::sleep;
use serde_json::Value;
use serde_json::json;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_service::MessageClient;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// Bills a second of each run.
const RATES: [u64; 4] = [0, 100, 1_000, 5_000];

/// Routers that send them.
const ROUTERS: u64 = 9;

/// Length of each run.
const RUN_SPAN: Duration = Duration::from_secs(10);

/// Longest wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_secs(3);

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

fn command() -> Command {
    Command::new("keeper_cost")
        .arg(
            Arg::new("keeper")
                .long("keeper")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("pid")
                .long("pid")
                .required(true)
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("shard")
                .long("shard")
                .default_value("0")
                .value_parser(value_parser!(u16)),
        )
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.unwrap_or_else(|| unreachable!("{name} has a value"))
}

/// Where batches go.
struct LedgerTarget {
    client: MessageClient,
    keeper: SocketAddr,
    shard: ShardId,
}

impl LedgerTarget {
    /// Sends operations until they are decided; returns how long that took.
    async fn decide(&self, operations: Vec<LedgerOperation>) -> Duration {
        let batch = LedgerBatch {
            shard: self.shard,
            sender: router(),
            first: None,
            operations,
        };
        let start = Instant::now();
        loop {
            let call = self
                .client
                .call(self.keeper, LEDGER_PATH, &batch, ANSWER_WAIT);
            if let Ok(LedgerAnswer::Results(_)) = call.await {
                return start.elapsed();
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn router() -> IncarnationId {
    "cost-1/router/1".parse().expect("the name is well formed")
}

fn budget() -> BudgetId {
    "cost".parse().expect("the name is well formed")
}

fn fund() -> Vec<LedgerOperation> {
    let amount = TokenCount(1 << 40);
    vec![
        LedgerOperation::TopUp {
            operation: OperationId::from_number(1),
            budget: budget(),
            amount,
        },
        LedgerOperation::Grant {
            operation: OperationId::from_number(2),
            budget: budget(),
            wanted: amount,
            least: TokenCount(1),
        },
    ]
}

fn bill(number: u64) -> LedgerOperation {
    LedgerOperation::Bill {
        request: RequestId::from_number(u128::from(number) + 1),
        budget: budget(),
        amount: TokenCount(700),
        holder: router(),
        position: None,
    }
}

/// Returns processor seconds used so far and resident bytes of a process.
fn process_cost(pid: u32) -> (f64, u64) {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0.0)
    };
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    let seconds = (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    (seconds, kib.unwrap_or(0) * 1024)
}

/// Sends the bills of one router; returns each one's time from due to decided.
async fn send_bills(target: Rc<LedgerTarget>, rate: f64, first: u64) -> Vec<Duration> {
    let start = Instant::now();
    let mut delays = Vec::new();
    while start.elapsed() < RUN_SPAN {
        let sent = delays.len() as u64;
        let due = (start.elapsed().as_secs_f64() * rate) as u64;
        if due > sent {
            let bills = (sent..due).map(|number| bill(first + number)).collect();
            target.decide(bills).await;
            let due_at = |number: u64| Duration::from_secs_f64(number as f64 / rate);
            let decided = start.elapsed();
            let waited = (sent..due).map(|number| decided.saturating_sub(due_at(number + 1)));
            delays.extend(waited);
        }
        sleep(Duration::from_millis(2)).await;
    }
    delays
}

async fn run(target: &Rc<LedgerTarget>, pid: u32, rate: u64, first: u64) -> Value {
    let (before, _) = process_cost(pid);
    let start = Instant::now();
    let senders: Vec<_> = (0..ROUTERS)
        .map(|sender| {
            let share = rate as f64 / ROUTERS as f64;
            let first = first + sender * rate * RUN_SPAN.as_secs();
            spawn(send_bills(Rc::clone(target), share, first))
        })
        .collect();
    let mut delays = Vec::new();
    for sender in senders {
        delays.extend(sender.await.unwrap_or_default());
    }
    let span = start.elapsed().as_secs_f64();
    let (after, resident) = process_cost(pid);
    delays.sort_unstable();
    let delay = |part: usize| {
        let last = delays.len().saturating_sub(1);
        delays.get(last * part / 100).map(|d| d.as_secs_f64() * 1e3)
    };
    json!({
        "bills_per_second": rate,
        "answered": delays.len(),
        "core_percent": (after - before) / span * 100.0,
        "resident_bytes": resident,
        "delay_ms_median": delay(50),
        "delay_ms_p99": delay(99),
    })
}

#[ntex::main]
async fn main() {
    let matches = command().get_matches();
    let pid = value::<u32>(&matches, "pid");
    let target = Rc::new(LedgerTarget {
        client: MessageClient::new(),
        keeper: value(&matches, "keeper"),
        shard: ShardId(value(&matches, "shard")),
    });
    target.decide(fund()).await;
    let mut runs = Vec::new();
    let mut first = 0;
    for rate in RATES {
        runs.push(run(&target, pid, rate, first).await);
        first += rate * RUN_SPAN.as_secs() * ROUTERS;
    }
    let report = json!({ "run_seconds": RUN_SPAN.as_secs(), "routers": ROUTERS, "runs": runs });
    println!("{report:#}");
}
