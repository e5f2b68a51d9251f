//! One VM of the fleet: a keeper and a router.

use std::net::SocketAddr;

use crate::caller::RouterTarget;
use crate::child::ChildProcess;
use crate::child::free_address;

/// The two kinds of process that a VM runs here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmRole {
    /// Writes the ledger.
    Keeper,
    /// Carries requests.
    Router,
}

/// A VM with its processes, which keep their addresses over restarts.
#[derive(Debug)]
pub struct FleetVm {
    /// The VM's id.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The keeper's address.
    pub keeper_address: SocketAddr,
    keeper_guard: SocketAddr,
    router_address: SocketAddr,
    router_peer: SocketAddr,
    router_guard: SocketAddr,
    runs: u32,
    keeper: Option<(String, ChildProcess)>,
    router: Option<(String, ChildProcess)>,
}

impl FleetVm {
    /// Makes a VM that runs nothing yet.
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            keeper_address: free_address(),
            keeper_guard: free_address(),
            router_address: free_address(),
            router_peer: free_address(),
            router_guard: free_address(),
            runs: 0,
            keeper: None,
            router: None,
        }
    }

    /// Starts a process; one of the role that still runs is killed first.
    pub fn start(&mut self, role: VmRole, platform: SocketAddr, seeds: &[SocketAddr]) {
        self.runs += 1;
        let mut args = self.common_args(role, platform);
        for seed in seeds {
            args.extend(["--seed".to_owned(), seed.to_string()]);
        }
        let (slot, kind, binary) = match role {
            VmRole::Keeper => (&mut self.keeper, "keeper", "snipegate-keeper"),
            VmRole::Router => {
                let peer = self.router_peer.to_string();
                let keeper = self.keeper_address.to_string();
                args.extend(["--peer-listen".to_owned(), peer]);
                args.extend(["--keeper".to_owned(), keeper]);
                (&mut self.router, "router", "snipegate-router")
            }
        };
        // The former process holds the guard port until it has ended.
        *slot = None;
        let name = format!("{}/{kind}/{}", self.name, self.runs);
        let child = ChildProcess::start(&name, binary, &args);
        *slot = Some((name, child));
    }

    fn common_args(&self, role: VmRole, platform: SocketAddr) -> Vec<String> {
        let (listen, guard) = match role {
            VmRole::Keeper => (self.keeper_address, self.keeper_guard),
            VmRole::Router => (self.router_address, self.router_guard),
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

    /// Returns the process of a role, with its name in the history.
    pub fn process(&mut self, role: VmRole) -> Option<(&str, &mut ChildProcess)> {
        let slot = match role {
            VmRole::Keeper => &mut self.keeper,
            VmRole::Router => &mut self.router,
        };
        slot.as_mut().map(|(name, child)| (&**name, child))
    }

    /// Forgets the process of a role, which has ended.
    pub fn forget(&mut self, role: VmRole) {
        match role {
            VmRole::Keeper => self.keeper = None,
            VmRole::Router => self.router = None,
        }
    }

    /// Returns the router as callers know it.
    pub fn target(&self) -> RouterTarget {
        let name = self.router.as_ref().map(|(name, _)| name.clone());
        RouterTarget {
            name: name.unwrap_or_else(|| format!("{}/router/none", self.name)),
            address: self.router_address,
        }
    }

    /// Returns where a process of a role serves.
    pub fn address(&self, role: VmRole) -> SocketAddr {
        match role {
            VmRole::Keeper => self.keeper_address,
            VmRole::Router => self.router_address,
        }
    }
}
