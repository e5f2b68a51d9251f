//! Tests of the keeper process against the platform stand-in.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use ntex::client::Client;
use ntex::time::sleep;
use ntex::web::App;
use ntex::web::test;
use ntex::web::test::TestServer;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetSettings;
use snipegate_ledger::BUDGETS_PATH;
use snipegate_ledger::BudgetStatus;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::HttpStore;
use snipegate_platform::PlatformSettings;
use snipegate_service::MessageClient;
use snipegate_standin_platform::PlatformState;
use snipegate_standin_platform::configure;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// Timeout for an expected result.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A keeper process that is killed on drop.
struct KeeperProcess {
    child: Child,
    address: SocketAddr,
}

impl Drop for KeeperProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start_keeper(vm: &str, platform: SocketAddr) -> KeeperProcess {
    let address = free_address();
    let child = Command::new(env!("CARGO_BIN_EXE_snipegate-keeper"))
        .args(["--vm", vm, "--data-centre", "mvd-centro"])
        .args(["--region", "uy-sur", "--log-level", "warning"])
        .args(["--listen", &address.to_string()])
        .args(["--guard", &free_address().to_string()])
        .args(["--platform", &platform.to_string()])
        .spawn()
        .unwrap();
    KeeperProcess { child, address }
}

async fn start_platform() -> (TestServer, HttpStore) {
    let state = PlatformState::new(400, 2_000);
    let server =
        test::server(async move || App::new().state(state.clone()).configure(configure)).await;
    let store = HttpStore::new(PlatformSettings {
        address: server.addr(),
        call_timeout: Duration::from_secs(3),
        vm: "operator".parse().unwrap(),
        data_centre: "mvd-centro".parse().unwrap(),
    });
    let store = store.await.unwrap();
    let settings = FleetSettings {
        ledger_shards: 1,
        ..FleetSettings::default()
    };
    let key = FleetKey::Settings.to_string();
    let value = serde_json::to_vec(&settings).unwrap();
    let swapped = store.swap(&key, ExpectedVersion::Absent, value, None).await;
    swapped.unwrap();
    (server, store)
}

fn budget() -> BudgetId {
    "depot".parse().unwrap()
}

fn top_up(number: u128, amount: u64) -> LedgerOperation {
    LedgerOperation::TopUp {
        operation: OperationId::from_number(number),
        budget: budget(),
        amount: TokenCount(amount),
    }
}

fn grant(number: u128, wanted: u64) -> LedgerOperation {
    LedgerOperation::Grant {
        operation: OperationId::from_number(number),
        budget: budget(),
        wanted: TokenCount(wanted),
        least: TokenCount(wanted),
    }
}

/// Sends operations to the keepers in turn until one of them decides the batch.
async fn submit(
    keepers: &[&KeeperProcess],
    operations: Vec<LedgerOperation>,
) -> Vec<OperationResult> {
    let client = MessageClient::new();
    let batch = LedgerBatch {
        shard: ShardId(0),
        sender: "vm-1/router/1".parse().unwrap(),
        first: None,
        operations,
    };
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        for keeper in keepers {
            let timeout = Duration::from_secs(3);
            let call = client.call(keeper.address, LEDGER_PATH, &batch, timeout);
            let answer = call.await;
            if let Ok(LedgerAnswer::Results(results)) = answer {
                return results;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("no keeper decided the operations in time");
}

/// Reads the status of the budget, retrying until the keeper keeps its shard.
async fn read_budget(keeper: &KeeperProcess) -> BudgetStatus {
    let client = Client::new().await;
    let path = format!("{BUDGETS_PATH}/{}?shard=0", budget());
    let url = format!("http://{}{path}", keeper.address);
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        let response = client.get(&url).send().await.unwrap();
        if response.status().is_success() {
            return response.json().await.unwrap();
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the keeper did not take the shard over in time");
}

fn granted(amount: u64, unassigned: u64) -> OperationResult {
    OperationResult::Granted {
        amount: TokenCount(amount),
        unassigned: TokenCount(unassigned),
    }
}

#[ntex::test]
async fn restarted_keeper_recovers_its_shard() {
    let (platform, store) = start_platform().await;
    let first = start_keeper("vm-a", platform.addr());
    let operations = vec![top_up(1, 1_000), grant(2, 300)];
    let results = submit(&[&first], operations.clone()).await;
    assert_eq!(results, [OperationResult::ToppedUp, granted(300, 700)]);
    drop(first);

    // A new process on the same VM takes the shard over; repeated operations return
    // the same results and change nothing.
    let second = start_keeper("vm-a", platform.addr());
    assert_eq!(submit(&[&second], operations).await, results);
    let results = submit(&[&second], vec![grant(3, 700)]).await;
    assert_eq!(results, [granted(700, 0)]);
    let status = read_budget(&second).await;
    assert_eq!((status.purchased, status.unassigned), (1_000, 0));
    assert_eq!(status.holdings[0].amount, 1_000);
    let listing = store.list("shard/0/segment/", None).await.unwrap();
    assert_eq!(listing.entries.len(), 4);
}

#[ntex::test]
async fn terminated_keeper_hands_its_shard_over() {
    let (platform, _store) = start_platform().await;
    let first = start_keeper("vm-a", platform.addr());
    submit(&[&first], vec![top_up(1, 1_000)]).await;
    let second = start_keeper("vm-b", platform.addr());
    let both = [&first, &second];
    submit(&both, vec![grant(2, 100)]).await;
    let signalled = Command::new("kill")
        .args(["-TERM", &first.child.id().to_string()])
        .status();
    assert!(signalled.unwrap().success());
    for number in 3..13 {
        submit(&both, vec![grant(number, 10)]).await;
    }
    let status = read_budget(&second).await;
    assert_eq!(status.holdings[0].amount, 200);
}
