//! Client for the store and the processes of the fleet.

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
use snipegate_fleet::ViewQuery;
use snipegate_fleet::ViewReply;
use snipegate_fleet::ViewScope;
use snipegate_fleet::ViewState;
use snipegate_platform::ConfigStore;
use snipegate_platform::HttpStore;
use snipegate_platform::PlatformSettings;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::ProcessRole;

use crate::outcome::CommandError;

/// Maximum size of an HTTP response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Connections and timeouts shared by all commands.
pub(crate) struct FleetClient {
    pub(crate) store: HttpStore,
    pub(crate) messages: MessageClient,
    http: Client,
    keepers: Vec<SocketAddr>,
    /// Timeout of a single call.
    pub(crate) call_timeout: Duration,
    /// Maximum time to wait for all members to confirm a change.
    pub(crate) confirm_timeout: Duration,
}

impl FleetClient {
    /// Creates a client from the command-line arguments.
    pub(crate) async fn from_matches(matches: &ArgMatches) -> Result<Self, CommandError> {
        let call_timeout = *matches.get_one::<Duration>("timeout").expect("has default");
        let platform = PlatformSettings {
            address: *matches.get_one("platform").expect("has default"),
            call_timeout,
            vm: "operator".parse().expect("valid id"),
            data_centre: "operator".parse().expect("valid id"),
        };
        let client_error = |error: String| CommandError::FleetUnreachable {
            target: "HTTP client".to_owned(),
            error,
        };
        let store = HttpStore::new(platform).await;
        let http = Client::builder()
            .disable_timeout()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::new("ctl"))
            .await;
        Ok(Self {
            store: store.map_err(|error| client_error(error.to_string()))?,
            messages: MessageClient::new(),
            http: http.map_err(|error| client_error(error.to_string()))?,
            keepers: matches
                .get_many::<SocketAddr>("keeper")
                .map_or_else(Vec::new, |keepers| keepers.copied().collect()),
            call_timeout,
            confirm_timeout: *matches.get_one("wait").expect("has default"),
        })
    }

    /// Returns a view of the fleet.
    ///
    /// The records are read from the store, or from a keeper if the store is
    /// unavailable. The liveness of members comes from the first keeper that answers.
    pub(crate) async fn view(&self) -> Result<FleetView, CommandError> {
        let mut view_keeper = ViewState::new();
        let listed = self.list_records(&mut view_keeper).await;
        let view = view_keeper.view();
        let registered = view
            .members(ProcessRole::Keeper)
            .map(|entry| entry.record.peer());
        let keepers = self.keepers.iter().copied().chain(registered);
        for address in keepers.collect::<Vec<SocketAddr>>() {
            if self.query_keeper(&mut view_keeper, address).await.is_ok() {
                break;
            }
        }
        if !view_keeper.is_ready() {
            listed?;
        }
        Ok(view_keeper.view())
    }

    /// Reads all records from the store.
    async fn list_records(&self, view_keeper: &mut ViewState) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        loop {
            let page = self.store.list(FleetKey::PREFIX, after.as_deref()).await?;
            view_keeper.apply_page(&page, Instant::now());
            after = page.more_after;
            if after.is_none() {
                return Ok(());
            }
        }
    }

    /// Requests the liveness of members and newer records from a keeper.
    async fn query_keeper(
        &self,
        view_keeper: &mut ViewState,
        address: SocketAddr,
    ) -> Result<(), CallError> {
        let after = if view_keeper.is_ready() {
            view_keeper.complete_to()
        } else {
            StoreRevision::new(0)
        };
        let query = ViewQuery {
            asker: None,
            leaving: false,
            after,
            scope: ViewScope::Whole,
            liveness_version: Some(0),
            wait_ms: 0,
        };
        let sent_at = Instant::now();
        let call = self
            .messages
            .call(address, VIEW_PATH, &query, self.call_timeout);
        let reply: ViewReply = call.await?;
        view_keeper.apply_reply(after, &reply, sent_at);
        view_keeper.set_liveness(reply.liveness.unwrap_or_default());
        Ok(())
    }

    /// Returns the status of all keepers that answer.
    pub(crate) async fn statuses(&self, view: &FleetView) -> Vec<FleetStatus> {
        let keepers: Vec<SocketAddr> = view
            .members(ProcessRole::Keeper)
            .filter(|entry| !view.is_ended(entry))
            .map(|entry| entry.record.peer())
            .collect();
        let mut statuses = Vec::new();
        for chunk in keepers.chunks(MAX_CONCURRENT_CALLS) {
            let calls = chunk
                .iter()
                .map(|address| self.fetch(*address, FLEET_STATUS_PATH, None));
            statuses.extend(join_all(calls).await.into_iter().flatten());
        }
        statuses
    }

    /// Sends a `GET` request to a process and decodes the JSON response.
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
        let limit = Millis(self.call_timeout.as_millis() as u32);
        let bytes = timeout(limit, exchange)
            .await
            .map_err(|()| CallError::ReplyLost)??;
        serde_json::from_slice(&bytes).map_err(|_| CallError::InvalidReply)
    }

    /// Returns the usable keepers of the view and those given with `--keeper`.
    pub(crate) fn usable_keepers(&self, view: &FleetView) -> Vec<SocketAddr> {
        let members = view.usable_members(ProcessRole::Keeper);
        let usable = members.map(|entry| entry.record.peer());
        let mut keepers: Vec<SocketAddr> = usable.chain(self.keepers.iter().copied()).collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers
    }
}
