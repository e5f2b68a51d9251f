//! The fronts' processes and their settings.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use snipegate_testing_fleet::ChildProcess;

/// Ports of a front; each VM has an address of its own.
const FRONT_PORT: u16 = 7001;
const READINESS_PORT: u16 = 7002;
const DIRECTORY_PORT: u16 = 7003;
const GOSSIP_PORT: u16 = 7100;

/// A VM whose process comes and goes.
pub struct EdgeVm {
    name: String,
    address: IpAddr,
    directory: PathBuf,
    process: Option<ChildProcess>,
    started: usize,
    is_stopping: bool,
}

impl EdgeVm {
    /// Writes the settings of a VM; runs do not share addresses.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be written.
    pub fn new(run: u64, vm: usize, store: SocketAddr, directory: PathBuf) -> io::Result<Self> {
        let [high, low] = ((run % 50_000) as u16).to_be_bytes();
        let address = IpAddr::V4(Ipv4Addr::new(127, 16 + high, low, 1 + vm as u8));
        fs::create_dir_all(&directory)?;
        let edge = Self {
            name: format!("vm-{vm}"),
            address,
            directory,
            process: None,
            started: 0,
            is_stopping: false,
        };
        fs::write(edge.settings(), edge.settings_text(store))?;
        Ok(edge)
    }

    /// Returns where the VM takes callers.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.address, FRONT_PORT)
    }

    /// Returns where the VM tells which addresses to use.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.address, DIRECTORY_PORT)
    }

    /// Returns how many processes were started.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Starts a process if none runs.
    ///
    /// # Errors
    ///
    /// Fails if its log can't be written.
    pub fn start(&mut self) -> io::Result<()> {
        if self.process.is_some() {
            return Ok(());
        }
        self.started += 1;
        let log = File::create(self.directory.join(format!("{}.log", self.started)))?;
        let settings = self.settings().display().to_string();
        let args = ["--settings".to_owned(), settings];
        let process = ChildProcess::start_logged(&self.name, "snipegate-edge", &args, log);
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_stopping = false;
        self.process = None;
    }

    /// Pauses the process, or lets it run on.
    pub fn set_paused(&self, paused: bool) {
        match (&self.process, paused) {
            (Some(process), true) => process.pause(),
            (Some(process), false) => process.resume(),
            (None, _) => {}
        }
    }

    /// Asks the process to stop; tells whether it was not asked before.
    pub fn stop(&mut self) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        process.terminate();
        !std::mem::replace(&mut self.is_stopping, true)
    }

    /// Tells whether a process that was asked to stop has ended.
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

    fn settings(&self) -> PathBuf {
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
