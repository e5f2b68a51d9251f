//! Tests of the command output and exit codes against the platform stand-in.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use snipegate_service::DaemonContext;
use snipegate_service::LogFormat;
use snipegate_service::LogLevel;
use snipegate_service::MetricRegistry;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_standin_platform::PlatformState;
use snipegate_standin_platform::configure;

/// Rate limit of the store, high enough not to take effect.
const CALLS_PER_SECOND: u32 = 100_000;

fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("bound listener");
    let logger = build_logger(LogFormat::Text, LogLevel::Error, "test");
    let metrics = MetricRegistry::new("test", None).expect("metrics disabled");
    let context = DaemonContext::new(logger, metrics);
    let state = PlatformState::new(CALLS_PER_SECOND, CALLS_PER_SECOND);
    let routes = move |config: &mut ntex::web::ServiceConfig| {
        config.state(state.clone());
        configure(config);
    };
    start_server(listener, 1, context, routes).expect("server starts");
    address
}

/// Runs `snipegate-ctl --json` and returns its exit code and JSON output.
async fn run(platform: SocketAddr, arguments: &str) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipegate-ctl"));
    command
        .args([
            "--platform",
            &platform.to_string(),
            "--json",
            "--wait",
            "0s",
            "--timeout",
            "30s",
        ])
        .args(arguments.split(' '));
    let output = ntex::rt::spawn_blocking(move || command.output()).await;
    let output = output
        .expect("task not cancelled")
        .expect("command executed");
    let bytes = match output.stdout.is_empty() {
        true => output.stderr,
        false => output.stdout,
    };
    let json = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    (output.status.code().unwrap_or(-1), json)
}

/// Creates a directory with one profile and fleet settings.
fn create_config_directory(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(root.join("profile")).expect("directory created");
    let profile = r#"{"model":"m","priority":5,"default_output_tokens":64,
        "max_output_tokens":512,"deadline_ms":8000,"requests_per_second":100,
        "concurrent_requests":50}"#;
    fs::write(root.join("profile/drivers.json"), profile).expect("file written");
    fs::write(root.join("fleet.json"), r#"{"ledger_shards":4}"#).expect("file written");
    root
}

async fn load_config(platform: SocketAddr, name: &str) {
    let root = create_config_directory(name);
    let (code, loaded) = run(platform, &format!("load-config {}", root.display())).await;
    assert_eq!((code, &loaded["records"]), (0, &Value::from(2)));
}

#[ntex::test]
async fn test_load_show_and_edit_records() {
    let platform = start_platform();
    load_config(platform, "edited").await;
    let (code, edited) = run(platform, "profile edit drivers --set deadline_ms=4000").await;
    assert_eq!((code, &edited["in_force"]), (0, &Value::from(true)));
    let (_, shown) = run(platform, "profile show drivers").await;
    assert_eq!(shown["record"]["deadline_ms"], 4000);
    assert_eq!(shown["revision"], edited["revision"]);
}

#[ntex::test]
async fn test_conflict_reports_both_versions() {
    let platform = start_platform();
    load_config(platform, "conflict").await;
    let (_, shown) = run(platform, "profile show drivers").await;
    let edit = format!("profile edit drivers --expect {} --set", shown["revision"]);
    let (code, _) = run(platform, &format!("{edit} priority=1")).await;
    assert_eq!(code, 0);
    let (code, conflict) = run(platform, &format!("{edit} priority=2")).await;
    assert_eq!(code, 5);
    assert_eq!(conflict["yours"]["priority"], 2);
    assert_eq!(conflict["theirs"]["record"]["priority"], 1);
}

#[ntex::test]
async fn test_repeated_operation_is_applied_once() {
    let platform = start_platform();
    load_config(platform, "repeated").await;
    let edit = "profile edit drivers --set priority=2 --expect 2 \
                --operation 0123456789abcdef0123456789abcdef";
    let (code, first) = run(platform, edit).await;
    let (repeated_code, second) = run(platform, edit).await;
    assert_eq!((code, repeated_code), (0, 0));
    assert_eq!(first["revision"], second["revision"]);
}

#[ntex::test]
async fn test_exit_codes_of_errors() {
    let platform = start_platform();
    load_config(platform, "refusals").await;
    let cases = [
        ("profile edit drivers --set deadline_ms=0", 4),
        ("profile edit drivers --set dead=1", 4),
        ("fleet-settings edit --set ledger_shards=9", 4),
        ("profile show nobody", 3),
        ("no-such-command", 2),
        ("load-config /dev/null/nothing", 11),
    ];
    for (arguments, expected) in cases {
        assert_eq!(run(platform, arguments).await.0, expected, "{arguments}");
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("bound listener");
    drop(listener);
    assert_eq!(run(address, "profile list").await.0, 6);
}
