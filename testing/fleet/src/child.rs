//! Processes under test, each ended by its own handle.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Once;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// First port given to daemons; below those that outgoing connections take.
const FIRST_PORT: u16 = 22_500;

/// Number of ports given to daemons.
const PORT_COUNT: u16 = 500;

/// What a stand-in prints before its address.
const LISTENING: &str = "listening on ";

/// Variable that lets the daemons' log lines through.
const SHOW_LOGS: &str = "SNIPEGATE_FLEET_LOGS";

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a binary of this workspace.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started.
    pub fn start(name: &str, binary: &str, args: &[String]) -> Self {
        Self::spawn(name, binary, args, Stdio::null())
    }

    /// Starts a binary of this workspace whose output goes to a file.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started.
    pub fn start_logged(name: &str, binary: &str, args: &[String], log: File) -> Self {
        Self::spawn(name, binary, args, log.into())
    }

    fn spawn(name: &str, binary: &str, args: &[String], output: Stdio) -> Self {
        let child = command(binary, args)
            .stdout(output)
            .spawn()
            .unwrap_or_else(|error| panic!("{binary} not started: {error}"));
        let name = name.to_owned();
        Self { name, child }
    }

    /// Starts a stand-in and reads the address that it serves on.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started or prints no address.
    pub fn start_stand_in(name: &str, binary: &str, args: &[String]) -> (Self, SocketAddr) {
        let mut process = Self::spawn(name, binary, args, Stdio::piped());
        let output = process
            .child
            .stdout
            .take()
            .expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("stand-in prints its address");
        let address = line.trim().strip_prefix(LISTENING).map(str::parse);
        let Some(Ok(address)) = address else {
            panic!("{binary} printed {line:?}");
        };
        (process, address)
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process from running, as a paused VM would be.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process run on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    fn signal(&self, signal: Signal) {
        // The child has not been waited for, so the id is still its own.
        let pid = Pid::from_raw(self.child.id().cast_signed());
        let _ = signal::kill(pid, signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn command(binary: &str, args: &[String]) -> Command {
    build_binaries();
    let mut command = Command::new(target_directory().join(binary));
    command.args(args).stdin(Stdio::null());
    if std::env::var_os(SHOW_LOGS).is_none() {
        command.stderr(Stdio::null());
    }
    command
}

/// Returns the directory of the binaries, next to that of the running test.
fn target_directory() -> PathBuf {
    let test = std::env::current_exe().expect("path of the running test");
    let deps = test.parent().expect("tests lie in a directory");
    deps.parent().expect("deps lies in a directory").to_owned()
}

/// Builds the binaries once: a test run alone builds only its own package's.
fn build_binaries() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let release = target_directory().ends_with("release");
        let status = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--workspace", "--bins"])
            .args(release.then_some("--release"))
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "binaries not built"
        );
    });
}

/// Returns an address of the loopback interface that nothing listens on.
///
/// # Panics
///
/// Panics if every port of the range is taken.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free from {FIRST_PORT} on");
}
