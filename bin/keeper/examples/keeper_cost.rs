//! Measures the CPU time and memory use of a running keeper, idle and under load.
//!
//! Sends bills to the keeper at `--keeper` at several rates and reads the CPU time
//! and resident memory of process `--pid`. Nine routers are simulated, each with one
//! batch in flight that contains all bills that have become due. Prints JSON.

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

/// Bills per second of each run, in total.
const RATES: [u64; 4] = [0, 100, 1_000, 5_000];

/// Number of simulated routers.
const ROUTERS: u64 = 9;

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(10);

/// Timeout of a call to the keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Clock ticks per second in `/proc`, which is fixed on Linux.
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

fn arg_value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.unwrap_or_else(|| unreachable!("argument {name} has neither a default nor a value"))
}

/// The keeper and shard that batches are sent to.
struct LedgerTarget {
    client: MessageClient,
    keeper: SocketAddr,
    shard: ShardId,
}

impl LedgerTarget {
    /// Sends a batch until it is decided, and returns the elapsed time.
    async fn submit(&self, operations: Vec<LedgerOperation>) -> Duration {
        let batch = LedgerBatch {
            shard: self.shard,
            sender: router_id(),
            first: None,
            operations,
        };
        let start = Instant::now();
        loop {
            let call = self
                .client
                .call(self.keeper, LEDGER_PATH, &batch, CALL_TIMEOUT);
            if let Ok(LedgerAnswer::Results(_)) = call.await {
                return start.elapsed();
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn router_id() -> IncarnationId {
    "cost-1/router/1".parse().expect("valid id")
}

fn budget_id() -> BudgetId {
    "cost".parse().expect("valid id")
}

/// Returns operations that create the budget and grant all of it to the router.
fn funding_operations() -> Vec<LedgerOperation> {
    let amount = TokenCount(1 << 40);
    vec![
        LedgerOperation::TopUp {
            operation: OperationId::from_number(1),
            budget: budget_id(),
            amount,
        },
        LedgerOperation::Grant {
            operation: OperationId::from_number(2),
            budget: budget_id(),
            wanted: amount,
            least: TokenCount(1),
        },
    ]
}

fn bill(number: u64) -> LedgerOperation {
    LedgerOperation::Bill {
        request: RequestId::from_number(u128::from(number) + 1),
        budget: budget_id(),
        amount: TokenCount(700),
        holder: router_id(),
        position: None,
    }
}

/// Returns the CPU seconds that a process has used and its resident bytes.
fn process_usage(pid: u32) -> (f64, u64) {
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

/// Sends the bills of one router, and returns the delay of each bill from its due
/// time until it is decided.
async fn send_bills(target: Rc<LedgerTarget>, rate: f64, first: u64) -> Vec<Duration> {
    let start = Instant::now();
    let mut delays = Vec::new();
    while start.elapsed() < RUN_DURATION {
        let sent = delays.len() as u64;
        let due = (start.elapsed().as_secs_f64() * rate) as u64;
        if due > sent {
            let bills = (sent..due).map(|number| bill(first + number)).collect();
            target.submit(bills).await;
            let due_at = |number: u64| Duration::from_secs_f64(number as f64 / rate);
            let decided = start.elapsed();
            let batch_delays = (sent..due).map(|number| decided.saturating_sub(due_at(number + 1)));
            delays.extend(batch_delays);
        }
        sleep(Duration::from_millis(2)).await;
    }
    delays
}

async fn run(target: &Rc<LedgerTarget>, pid: u32, rate: u64, first: u64) -> Value {
    let (before, _) = process_usage(pid);
    let start = Instant::now();
    let senders: Vec<_> = (0..ROUTERS)
        .map(|sender| {
            let router_rate = rate as f64 / ROUTERS as f64;
            let first = first + sender * rate * RUN_DURATION.as_secs();
            spawn(send_bills(Rc::clone(target), router_rate, first))
        })
        .collect();
    let mut delays = Vec::new();
    for sender in senders {
        delays.extend(sender.await.unwrap_or_default());
    }
    let elapsed = start.elapsed().as_secs_f64();
    let (after, resident) = process_usage(pid);
    delays.sort_unstable();
    let percentile_ms = |percent: usize| {
        let last = delays.len().saturating_sub(1);
        delays
            .get(last * percent / 100)
            .map(|d| d.as_secs_f64() * 1e3)
    };
    json!({
        "bills_per_second": rate,
        "answered": delays.len(),
        "core_percent": (after - before) / elapsed * 100.0,
        "resident_bytes": resident,
        "delay_ms_median": percentile_ms(50),
        "delay_ms_p99": percentile_ms(99),
    })
}

#[ntex::main]
async fn main() {
    let matches = command().get_matches();
    let pid = arg_value::<u32>(&matches, "pid");
    let target = Rc::new(LedgerTarget {
        client: MessageClient::new(),
        keeper: arg_value(&matches, "keeper"),
        shard: ShardId(arg_value(&matches, "shard")),
    });
    target.submit(funding_operations()).await;
    let mut runs = Vec::new();
    let mut first = 0;
    for rate in RATES {
        runs.push(run(&target, pid, rate, first).await);
        first += rate * RUN_DURATION.as_secs() * ROUTERS;
    }
    let report = json!({ "run_seconds": RUN_DURATION.as_secs(), "routers": ROUTERS, "runs": runs });
    println!("{report:#}");
}
