//! The `snipegate-edge` processes of the VMs and their settings.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use snipegate_testing_fleet::ChildProcess;

/// Ports of each VM. They can be the same since each VM has its own loopback address.
const FRONT_PORT: u16 = 7001;
const READINESS_PORT: u16 = 7002;
const DIRECTORY_PORT: u16 = 7003;
const GOSSIP_PORT: u16 = 7100;

/// Age of the oldest copy from which the store comes back: more than the longest fault.
const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// A VM whose process can be started, paused, stopped and killed.
pub struct EdgeVm {
    name: String,
    address: IpAddr,
    directory: PathBuf,
    process: Option<ChildProcess>,
    start_count: usize,
    is_stopping: bool,
}

impl EdgeVm {
    /// Creates a VM without a process and writes its settings.
    ///
    /// The address depends on `run`, so that concurrent runs do not share addresses.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be written to the directory.
    pub fn new(run: u64, vm: usize, store: SocketAddr, directory: PathBuf) -> io::Result<Self> {
        let [high, low] = ((run % 50_000) as u16).to_be_bytes();
        let address = IpAddr::V4(Ipv4Addr::new(127, 16 + high, low, 1 + vm as u8));
        fs::create_dir_all(&directory)?;
        let edge = Self {
            name: format!("vm-{vm}"),
            address,
            directory,
            process: None,
            start_count: 0,
            is_stopping: false,
        };
        fs::write(edge.settings_path(), edge.settings_text(store))?;
        Ok(edge)
    }

    /// Returns the address on which the VM accepts callers.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, FRONT_PORT)
    }

    /// Returns the address of the VM's address directory.
    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, DIRECTORY_PORT)
    }

    /// Returns how many processes were started so far.
    pub fn start_count(&self) -> usize {
        self.start_count
    }

    /// Starts a process unless one is running.
    ///
    /// # Errors
    ///
    /// Fails if its log file can't be created.
    pub fn start(&mut self) -> io::Result<()> {
        if self.process.is_some() {
            return Ok(());
        }
        self.start_count += 1;
        let log = File::create(self.directory.join(format!("{}.log", self.start_count)))?;
        let settings = self.settings_path().display().to_string();
        let copy_age = MAX_COPY_AGE.as_millis().to_string();
        let args = [
            "--settings".to_owned(),
            settings,
            "--max-copy-age-ms".to_owned(),
            copy_age,
        ];
        let process = ChildProcess::start_logged(&self.name, "snipegate-edge", &args, log);
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process if there is one.
    pub fn kill(&mut self) {
        self.is_stopping = false;
        self.process = None;
    }

    /// Pauses or resumes the process if there is one.
    pub fn set_paused(&self, paused: bool) {
        match (&self.process, paused) {
            (Some(process), true) => process.pause(),
            (Some(process), false) => process.resume(),
            (None, _) => {}
        }
    }

    /// Requests a graceful stop of the process. Returns whether this is the first request.
    pub fn stop(&mut self) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        process.terminate();
        !std::mem::replace(&mut self.is_stopping, true)
    }

    /// Returns whether there is no process or it has ended, so that it can be started again.
    pub fn has_stopped(&mut self) -> bool {
        let ended = self
            .process
            .as_mut()
            .is_none_or(|process| matches!(process.ended(), Ok(Some(_))));
        if ended {
            self.process = None;
            self.is_stopping = false;
        }
        ended
    }

    fn settings_path(&self) -> PathBuf {
        self.directory.join("settings.toml")
    }

    fn settings_text(&self, store: SocketAddr) -> String {
        let Self { name, address, .. } = self;
        format!(
            r#"nodeName = "{name}"
zone = "z1"
internalPorts = [{GOSSIP_PORT}, 7115]
[listen]
front = "{address}:{FRONT_PORT}"
readiness = "{address}:{READINESS_PORT}"
directory = "{address}:{DIRECTORY_PORT}"
[limits]
memoryMb = 260
maxFds = 4100
[bounds]
graceS = 8
retryRatio = 0.2
retrySlack = 60
retryWindowS = 10
ttl_max_s = 5
[platform]
address = "{store}"
"#
        )
    }
}
