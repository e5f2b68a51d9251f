//! Tests of the router process: settings, sockets and system resources.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;

const ROUTER: &str = env!("CARGO_BIN_EXE_snipegate-router");

/// Maximum number of polls until the process responds. Generous, since start-up time is
/// not under test.
const MAX_START_POLLS: u32 = 600;

struct RunningRouter {
    child: Child,
    listen: SocketAddr,
}

impl Drop for RunningRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn router_command(guard: SocketAddr, listen: SocketAddr) -> Command {
    let mut command = Command::new(ROUTER);
    command
        .args(["--vm", "vm-1", "--data-centre", "d1", "--region", "r1"])
        .args(["--platform", "127.0.0.1:1"])
        .arg("--guard")
        .arg(guard.to_string())
        .arg("--listen")
        .arg(listen.to_string())
        .arg("--peer-listen")
        .arg(free_address().to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

fn fetch(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn start_router() -> RunningRouter {
    let listen = free_address();
    let child = router_command(free_address(), listen).spawn().unwrap();
    let router = RunningRouter { child, listen };
    for _ in 0..MAX_START_POLLS {
        if fetch(listen, "GET /health HTTP/1.0\r\n\r\n").is_some() {
            return router;
        }
        sleep(Duration::from_millis(50));
    }
    panic!("router did not start");
}

#[test]
fn invalid_setting_is_reported_with_exit_code_2() {
    let listen = free_address();
    let output = router_command(free_address(), listen)
        .args(["--body-wait", "soon"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for part in ["--body-wait", "soon", "number followed by ms, s or min"] {
        assert!(text.contains(part), "{part} is missing from: {text}");
    }
}

#[test]
fn process_opens_no_io_uring() {
    let router = start_router();
    let descriptors = fs::read_dir(format!("/proc/{}/fd", router.child.id())).unwrap();
    let targets: Vec<String> = descriptors
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(!targets.is_empty());
    let io_urings: Vec<_> = targets.iter().filter(|t| t.contains("io_uring")).collect();
    assert!(io_urings.is_empty(), "{io_urings:?}");
}

#[test]
fn second_process_with_same_guard_port_fails_to_start() {
    let guard = free_address();
    let listen = free_address();
    let child = router_command(guard, listen).spawn().unwrap();
    let first = RunningRouter { child, listen };
    for _ in 0..MAX_START_POLLS {
        if fetch(first.listen, "GET /health HTTP/1.0\r\n\r\n").is_some() {
            break;
        }
        sleep(Duration::from_millis(50));
    }
    let second = router_command(guard, free_address()).output().unwrap();
    assert!(!second.status.success());
}

#[test]
fn missing_configuration_is_refused_with_code_and_retry_delay() {
    let router = start_router();
    let request = "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer secret\r\n\
        Content-Length: 2\r\n\r\n{}";
    let answer = fetch(router.listen, request).unwrap();
    assert!(answer.starts_with("HTTP/1.0 503") || answer.starts_with("HTTP/1.1 503"));
    let lower = answer.to_lowercase();
    for part in [
        "x-snipegate-code: 4002",
        "x-snipegate-run: not_run",
        "retry-after: 1",
    ] {
        assert!(lower.contains(part), "{part} is missing from: {answer}");
    }
    assert!(!answer.contains("secret"));
    let ready = fetch(router.listen, "GET /ready HTTP/1.0\r\n\r\n").unwrap();
    assert!(ready.contains("503"));
}
