//! Child processes under test, signalled and killed through their own handles.

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

/// First port assigned to daemons; the range lies below the ephemeral ports that
/// outgoing connections use.
const FIRST_PORT: u16 = 22_500;

/// Number of ports available to daemons.
const PORT_COUNT: u16 = 500;

/// Prefix of the line in which a stand-in prints its address.
const ADDRESS_PREFIX: &str = "listening on ";

/// Environment variable that passes the processes' standard error through.
const SHOW_LOGS_VARIABLE: &str = "SNIPEGATE_FLEET_LOGS";

/// A child process, killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a binary of this workspace and discards its standard output.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started.
    pub fn start(name: &str, binary: &str, args: &[String]) -> Self {
        Self::spawn(name, binary, args, Stdio::null())
    }

    /// Starts a binary of this workspace and writes its standard output to a
    /// file.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started.
    pub fn start_logged(name: &str, binary: &str, args: &[String], log: File) -> Self {
        Self::spawn(name, binary, args, log.into())
    }

    fn spawn(name: &str, binary: &str, args: &[String], output: Stdio) -> Self {
        let child = build_command(binary, args)
            .stdout(output)
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {binary}: {error}"));
        let name = name.to_owned();
        Self { name, child }
    }

    /// Starts a stand-in and reads the address on which it listens from its
    /// standard output.
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
        let address = line.trim().strip_prefix(ADDRESS_PREFIX).map(str::parse);
        let Some(Ok(address)) = address else {
            panic!("{binary} printed {line:?} instead of its address");
        };
        (process, address)
    }

    /// Returns the name passed at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process with SIGSTOP, which simulates a paused VM.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't report the status.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    fn signal(&self, signal: Signal) {
        // The PID is not reused while the child has not been waited for.
        let pid = Pid::from_raw(self.child.id().cast_signed());
        let _ = signal::kill(pid, signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn build_command(binary: &str, args: &[String]) -> Command {
    build_binaries();
    let mut command = Command::new(target_directory().join(binary));
    command.args(args).stdin(Stdio::null());
    if std::env::var_os(SHOW_LOGS_VARIABLE).is_none() {
        command.stderr(Stdio::null());
    }
    command
}

/// Returns the directory of the binaries, the parent of the running test's
/// `deps` directory.
fn target_directory() -> PathBuf {
    let test = std::env::current_exe().expect("path of the running test is known");
    let deps = test.parent().expect("test binary is in a directory");
    deps.parent()
        .expect("deps has a parent directory")
        .to_owned()
}

/// Builds all binaries of the workspace once per test process, because a test
/// run of one package builds only that package's binaries.
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
            "failed to build the workspace binaries"
        );
    });
}

/// Returns a loopback address with an unused port.
///
/// The search starts at an offset that depends on the process ID, so that
/// concurrent test processes tend to try different ports.
///
/// # Panics
///
/// Panics if every port of the range is in use.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("all {PORT_COUNT} ports from {FIRST_PORT} on are in use");
}
