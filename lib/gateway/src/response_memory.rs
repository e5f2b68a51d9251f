//! Bounds the memory used to buffer responses before they are forwarded, and shares it fairly.
//!
//! While there is room, each response takes what it needs. Once there is none, a response that
//! needs more displaces the largest one of the upstream, the service or the workspace that uses
//! most, if that uses more than its own would. So none of them can take the room of the others,
//! whatever it sends and however slowly.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use slog::info;
use snipegate_types::ByteCount;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;
use strum::IntoStaticStr;
use tokio::sync::Notify;

use crate::config::ServiceName;
use crate::gateway::Gateway;

/// Response buffers may use this VM's memory divided by this.
const MEMORY_DIVISOR: u64 = 4;

/// Whose response a buffer holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseOwner {
    /// Upstream that sends the response.
    pub upstream: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Workspace of the caller; `None` on a public route.
    pub workspace: Option<WorkspaceId>,
}

/// What responses are grouped by when memory is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SharingGroup {
    /// Responses of one upstream.
    Upstream,
    /// Responses of one service.
    Service,
    /// Responses to one workspace.
    Workspace,
}

impl SharingGroup {
    const ALL: [Self; 3] = [Self::Upstream, Self::Service, Self::Workspace];

    /// Returns what the responses of one group have in common.
    fn member(self, owner: &ResponseOwner) -> Option<&str> {
        match self {
            Self::Upstream => Some(owner.upstream.as_str()),
            Self::Service => Some(&owner.service),
            Self::Workspace => owner.workspace.as_ref().map(WorkspaceId::as_str),
        }
    }
}

/// A response whose buffers were given to others.
#[derive(Clone, Debug)]
pub struct DisplacedResponse {
    /// Whose response it is.
    pub owner: ResponseOwner,
    /// Bytes that it had reserved.
    pub bytes: ByteCount,
    /// The group that used most.
    pub group: SharingGroup,
}

/// State of one buffered response.
#[derive(Debug)]
struct BufferState {
    owner: ResponseOwner,
    bytes: Cell<ByteCount>,
    is_displaced: Cell<bool>,
    displaced: Notify,
}

/// The memory limit for response buffers, shared by all requests of a VM.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: ByteCount,
    reserved: Cell<ByteCount>,
    next_buffer: Cell<u64>,
    buffers: RefCell<IndexMap<u64, Rc<BufferState>>>,
}

impl ResponseMemory {
    /// Derives the limit from the memory of the VM.
    pub fn new(memory: ByteCount) -> Self {
        Self {
            limit: ByteCount(memory.0 / MEMORY_DIVISOR),
            reserved: Cell::default(),
            next_buffer: Cell::default(),
            buffers: RefCell::default(),
        }
    }

    /// Opens an empty buffer; returns its number.
    pub fn open(&self, owner: ResponseOwner) -> u64 {
        self.open_state(owner).0
    }

    fn open_state(&self, owner: ResponseOwner) -> (u64, Rc<BufferState>) {
        let number = self.next_buffer.get();
        self.next_buffer.set(number + 1);
        let state = Rc::new(BufferState {
            owner,
            bytes: Cell::default(),
            is_displaced: Cell::default(),
            displaced: Notify::new(),
        });
        let mut buffers = self.buffers.borrow_mut();
        buffers.insert(number, Rc::clone(&state));
        (number, state)
    }

    /// Reserves memory for a buffer, displacing others if there is no room; returns these.
    ///
    /// # Errors
    ///
    /// Reserves nothing if the buffer was displaced or the limit would be exceeded and nobody
    /// uses more than the buffer's groups.
    pub fn reserve(
        &self,
        number: u64,
        bytes: ByteCount,
    ) -> Result<Vec<DisplacedResponse>, NoResponseMemory> {
        let state = self.state(number).ok_or(NoResponseMemory)?;
        let mut displaced = Vec::new();
        while self.reserved.get().saturating_add(bytes) > self.limit {
            if state.is_displaced.get() || bytes > self.limit {
                return Err(NoResponseMemory);
            }
            let victim = self.displace_for(&state, bytes).ok_or(NoResponseMemory)?;
            displaced.push(victim);
        }
        if state.is_displaced.get() {
            return Err(NoResponseMemory);
        }
        state.bytes.set(state.bytes.get().saturating_add(bytes));
        self.reserved.set(self.reserved.get().saturating_add(bytes));
        Ok(displaced)
    }

    /// Releases what a buffer has reserved.
    pub fn clear(&self, number: u64) {
        if let Some(state) = self.state(number) {
            self.release(&state);
        }
    }

    /// Releases what a buffer has reserved, and the buffer.
    pub fn close(&self, number: u64) {
        self.clear(number);
        self.buffers.borrow_mut().swap_remove(&number);
    }

    /// Returns the share that is not reserved.
    pub fn free_share(&self) -> f64 {
        1.0 - self.reserved.get().0 as f64 / self.limit.0.max(1) as f64
    }

    /// Returns the bytes that are reserved.
    pub fn reserved(&self) -> ByteCount {
        self.reserved.get()
    }

    fn state(&self, number: u64) -> Option<Rc<BufferState>> {
        self.buffers.borrow().get(&number).cloned()
    }

    fn release(&self, state: &BufferState) {
        let bytes = state.bytes.take();
        self.reserved.set(self.reserved.get().saturating_sub(bytes));
    }

    /// Displaces the largest buffer of a group that would use more than the group of `needy`
    /// even after that one has got `bytes` more; `None` if there is no such group.
    fn displace_for(&self, needy: &BufferState, bytes: ByteCount) -> Option<DisplacedResponse> {
        let buffers = self.buffers.borrow();
        let found = SharingGroup::ALL.into_iter().find_map(|group| {
            let own = group.member(&needy.owner);
            let mut used: IndexMap<Option<&str>, u64> = IndexMap::new();
            for state in buffers.values() {
                *used.entry(group.member(&state.owner)).or_default() += state.bytes.get().0;
            }
            let most = used.get(&own).copied().unwrap_or(0);
            let most = most.saturating_add(bytes.0);
            // The largest buffer decides among the groups that use too much.
            let excessive = buffers.values().filter(|state| {
                let other = group.member(&state.owner);
                other != own && used[&other] > most && state.bytes.get().0 > 0
            });
            let largest = excessive.max_by_key(|state| state.bytes.get())?;
            Some((group, Rc::clone(largest)))
        });
        drop(buffers);
        let (group, victim) = found?;
        let displaced = DisplacedResponse {
            owner: victim.owner.clone(),
            bytes: victim.bytes.get(),
            group,
        };
        self.release(&victim);
        victim.is_displaced.set(true);
        victim.displaced.notify_one();
        Some(displaced)
    }
}

/// There is no memory left for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResponseMemory;

/// The response memory reserved by one request; released on drop.
pub struct MemoryReservation {
    gateway: Rc<Gateway>,
    buffer: u64,
    state: Rc<BufferState>,
}

impl MemoryReservation {
    /// Creates an empty reservation.
    pub fn new(gateway: &Rc<Gateway>, owner: ResponseOwner) -> Self {
        let (buffer, state) = gateway.response_memory.open_state(owner);
        Self {
            gateway: Rc::clone(gateway),
            buffer,
            state,
        }
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// Reserves nothing if there is no room for it.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), NoResponseMemory> {
        let memory = &self.gateway.response_memory;
        let displaced = memory.reserve(self.buffer, ByteCount(bytes as u64));
        let displaced = displaced.inspect_err(|_| {
            self.gateway.metrics.count("response_memory.none");
        })?;
        for response in displaced {
            let group: &'static str = response.group.into();
            self.gateway
                .metrics
                .count_tagged("response_memory.displaced", group);
            info!(self.gateway.log, "response displaced"; "by" => group,
                "upstream" => %response.owner.upstream, "service" => %response.owner.service,
                "workspace" => response.owner.workspace.map(|id| id.to_string()),
                "bytes" => response.bytes.0, "for" => %self.state.owner.upstream,
                "reserved" => memory.reserved().0);
        }
        Ok(())
    }

    /// Completes once the reservation was given to others; its buffers have to be dropped.
    pub fn displaced(&self) -> impl Future<Output = ()> + use<> {
        let state = Rc::clone(&self.state);
        async move {
            while !state.is_displaced.get() {
                state.displaced.notified().await;
            }
        }
    }

    /// Releases everything that is reserved.
    pub fn clear(&mut self) {
        self.gateway.response_memory.clear(self.buffer);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.gateway.response_memory.close(self.buffer);
    }
}
