//! Calls to the store and to the fleet's processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use futures_util::future::join_all;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::time::Millis;
use ntex::time::timeout;
use serde::de::DeserializeOwned;
use snipegate_fleet::FLEET_STATUS_PATH;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetStatus;
use snipegate_fleet::FleetView;
use snipegate_fleet::VIEW_PATH;
use snipegate_fleet::ViewKeeper;
use snipegate_fleet::ViewQuery;
use snipegate_fleet::ViewReply;
use snipegate_fleet::ViewScope;
use snipegate_platform::ConfigStore;
use snipegate_platform::HttpStore;
use snipegate_platform::PlatformSettings;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::ProcessRole;

use crate::outcome::CommandError;

/// Largest JSON answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How many processes are asked at the same time.
const CALLS_AT_ONCE: usize = 32;

/// What every command uses.
pub(crate) struct FleetClient {
    pub(crate) store: HttpStore,
    pub(crate) messages: MessageClient,
    http: Client,
    keepers: Vec<SocketAddr>,
    /// Longest wait for an answer to one call.
    pub(crate) timeout: Duration,
    /// Longest wait for every member to confirm a change.
    pub(crate) wait: Duration,
}

impl FleetClient {
    /// Prepares the connections that a command line names.
    pub(crate) async fn from_matches(matches: &ArgMatches) -> Result<Self, CommandError> {
        let call_timeout = *matches.get_one::<Duration>("timeout").expect("has default");
        let platform = PlatformSettings {
            address: *matches.get_one("platform").expect("has default"),
            call_timeout,
            vm: "operator".parse().expect("a name"),
            data_centre: "operator".parse().expect("a name"),
        };
        let unusable = |error: String| CommandError::Fleet {
            what: "HTTP client".to_owned(),
            error,
        };
        let store = HttpStore::new(platform).await;
        let http = Client::builder()
            .disable_timeout()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("ctl"))
            .await;
        Ok(Self {
            store: store.map_err(|error| unusable(error.to_string()))?,
            messages: MessageClient::new(),
            http: http.map_err(|error| unusable(error.to_string()))?,
            keepers: matches
                .get_many::<SocketAddr>("keeper")
                .map_or_else(Vec::new, |keepers| keepers.copied().collect()),
            timeout: call_timeout,
            wait: *matches.get_one("wait").expect("has default"),
        })
    }

    /// Learns the fleet: its records from the store or, failing that, from a
    /// keeper, and who is up from a keeper.
    pub(crate) async fn view(&self) -> Result<FleetView, CommandError> {
        let mut keeper = ViewKeeper::new();
        let listed = self.list(&mut keeper).await;
        let view = keeper.view();
        let known = view
            .members(ProcessRole::Keeper)
            .map(|entry| entry.record.peer());
        let known: Vec<SocketAddr> = self.keepers.iter().copied().chain(known).collect();
        for address in known {
            if self.ask_keeper(&mut keeper, address).await.is_ok() {
                break;
            }
        }
        if !keeper.is_ready() {
            listed?;
        }
        Ok(keeper.view())
    }

    async fn list(&self, keeper: &mut ViewKeeper) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        loop {
            let page = self.store.list(FleetKey::PREFIX, after.as_deref()).await?;
            keeper.apply_page(&page, Instant::now());
            after = page.more_after;
            if after.is_none() {
                return Ok(());
            }
        }
    }

    async fn ask_keeper(
        &self,
        keeper: &mut ViewKeeper,
        address: SocketAddr,
    ) -> Result<(), CallError> {
        let after = if keeper.is_ready() {
            keeper.complete_to()
        } else {
            StoreRevision(0)
        };
        let query = ViewQuery {
            asker: None,
            leaving: false,
            after,
            scope: ViewScope::Whole,
            liveness_version: Some(0),
            wait_ms: 0,
        };
        let asked = Instant::now();
        let call = self.messages.call(address, VIEW_PATH, &query, self.timeout);
        let reply: ViewReply = call.await?;
        keeper.apply_reply(after, &reply, asked);
        keeper.set_liveness(reply.liveness.unwrap_or_default());
        Ok(())
    }

    /// Asks every keeper for its status; those that don't answer are left out.
    pub(crate) async fn statuses(&self, view: &FleetView) -> Vec<FleetStatus> {
        let keepers: Vec<SocketAddr> = view
            .members(ProcessRole::Keeper)
            .filter(|entry| !view.is_ended(entry))
            .map(|entry| entry.record.peer())
            .collect();
        let mut statuses = Vec::new();
        for some in keepers.chunks(CALLS_AT_ONCE) {
            let asked = some
                .iter()
                .map(|address| self.fetch(*address, FLEET_STATUS_PATH, None));
            statuses.extend(join_all(asked).await.into_iter().flatten());
        }
        statuses
    }

    /// Reads JSON from a path of a process.
    pub(crate) async fn fetch<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        api_key: Option<&str>,
    ) -> Result<R, CallError> {
        let mut request = self.http.get(format!("http://{address}{path}"));
        if let Some(key) = api_key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let exchange = async {
            let response = request.send().await.map_err(|_| CallError::NotSent)?;
            if !response.status().is_success() {
                return Err(CallError::Status(response.status().as_u16()));
            }
            response.body().await.map_err(|_| CallError::ReplyLost)
        };
        let limit = Millis(self.timeout.as_millis() as u32);
        let bytes = timeout(limit, exchange)
            .await
            .map_err(|()| CallError::ReplyLost)??;
        serde_json::from_slice(&bytes).map_err(|_| CallError::InvalidReply)
    }

    /// Returns the keepers that may be asked when the store can't be reached.
    pub(crate) fn known_keepers(&self, view: &FleetView) -> Vec<SocketAddr> {
        let members = view.usable_members(ProcessRole::Keeper);
        let known = members.map(|entry| entry.record.peer());
        let mut keepers: Vec<SocketAddr> = known.chain(self.keepers.iter().copied()).collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers
    }
}
