//! A VM of the fleet with its keeper and router processes.

use std::net::SocketAddr;

use crate::caller::RouterTarget;
use crate::child::ChildProcess;
use crate::child::free_address;

/// Kind of process on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmRole {
    /// Writes the ledger.
    Keeper,
    /// Forwards requests to upstreams.
    Router,
}

/// A VM with its processes, whose addresses stay the same across restarts.
#[derive(Debug)]
pub struct FleetVm {
    /// The VM's ID.
    pub name: String,
    /// The VM's data centre.
    pub data_centre: String,
    /// The keeper's address.
    pub keeper_address: SocketAddr,
    keeper_guard_address: SocketAddr,
    router_address: SocketAddr,
    router_peer_address: SocketAddr,
    router_guard_address: SocketAddr,
    start_count: u32,
    keeper: Option<(String, ChildProcess)>,
    router: Option<(String, ChildProcess)>,
}

impl FleetVm {
    /// Creates a VM without running processes.
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            keeper_address: free_address(),
            keeper_guard_address: free_address(),
            router_address: free_address(),
            router_peer_address: free_address(),
            router_guard_address: free_address(),
            start_count: 0,
            keeper: None,
            router: None,
        }
    }

    /// Starts a process, after killing a running process of the same role.
    pub fn start(&mut self, role: VmRole, platform: SocketAddr, seeds: &[SocketAddr]) {
        self.start_count += 1;
        let mut args = self.common_args(role, platform);
        for seed in seeds {
            args.extend(["--seed".to_owned(), seed.to_string()]);
        }
        let (slot, kind, binary) = match role {
            VmRole::Keeper => (&mut self.keeper, "keeper", "snipegate-keeper"),
            VmRole::Router => {
                let peer = self.router_peer_address.to_string();
                let keeper = self.keeper_address.to_string();
                args.extend(["--peer-listen".to_owned(), peer]);
                args.extend(["--keeper".to_owned(), keeper]);
                (&mut self.router, "router", "snipegate-router")
            }
        };
        // The previous process holds the guard port until it exits.
        *slot = None;
        let name = format!("{}/{kind}/{}", self.name, self.start_count);
        let child = ChildProcess::start(&name, binary, &args);
        *slot = Some((name, child));
    }

    fn common_args(&self, role: VmRole, platform: SocketAddr) -> Vec<String> {
        let (listen, guard) = match role {
            VmRole::Keeper => (self.keeper_address, self.keeper_guard_address),
            VmRole::Router => (self.router_address, self.router_guard_address),
        };
        let pairs = [
            ("--vm", self.name.clone()),
            ("--data-centre", self.data_centre.clone()),
            ("--region", "uy-sur".to_owned()),
            ("--listen", listen.to_string()),
            ("--guard", guard.to_string()),
            ("--platform", platform.to_string()),
        ];
        pairs
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }

    /// Returns the process of a role and the name used for it in the history.
    pub fn process(&mut self, role: VmRole) -> Option<(&str, &mut ChildProcess)> {
        let slot = match role {
            VmRole::Keeper => &mut self.keeper,
            VmRole::Router => &mut self.router,
        };
        slot.as_mut().map(|(name, child)| (&**name, child))
    }

    /// Drops the process of a role, which kills it if it is still running.
    pub fn remove_process(&mut self, role: VmRole) {
        match role {
            VmRole::Keeper => self.keeper = None,
            VmRole::Router => self.router = None,
        }
    }

    /// Returns the name and address of the router.
    pub fn router_target(&self) -> RouterTarget {
        let name = self.router.as_ref().map(|(name, _)| name.clone());
        RouterTarget {
            name: name.unwrap_or_else(|| format!("{}/router/none", self.name)),
            address: self.router_address,
        }
    }

    /// Returns the address on which a process of a role listens.
    pub fn address(&self, role: VmRole) -> SocketAddr {
        match role {
            VmRole::Keeper => self.keeper_address,
            VmRole::Router => self.router_address,
        }
    }
}
