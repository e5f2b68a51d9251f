//! The HTTP client that all platform clients are built on.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::client::error::ClientBuilderError;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::time::timeout;
use ntex::util::Bytes;
use snipegate_types::DataCentre;
use snipegate_types::VmId;

use crate::call::CLIENT_DATA_CENTRE_HEADER;
use crate::call::CLIENT_VM_HEADER;
use crate::store::StoreError;

/// Maximum number of connections of one client to the platform.
const MAX_CONNECTIONS: usize = 64;

/// Maximum size of a reply.
///
/// A listing can exceed its own limit when it consists of a single entry, so this
/// limit leaves room for one value of the maximum size.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Retry delay if the platform sends no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of a process's connection to the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the platform API.
    pub address: SocketAddr,
    /// Maximum time to wait for an answer, in addition to the wait time of a watch.
    pub call_timeout: Duration,
    /// The VM that this process runs on, sent with every call.
    pub vm: VmId,
    /// The data centre of that VM, sent with every call.
    pub data_centre: DataCentre,
}

/// Returns whether a failed HTTP request was never written to a connection.
///
/// Only such a request may be reported as "not run". If the peer closes the
/// connection without answering, ntex reports `Disconnected(None)`. It is the only
/// connect error that can also occur after the request was sent.
pub fn was_never_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => true,
        _ => false,
    }
}

/// An HTTP client that replaces all of its connections after a request times out.
pub(crate) struct PlatformClient {
    settings: PlatformSettings,
    client: RefCell<Client>,
}

impl PlatformClient {
    pub(crate) async fn new(settings: PlatformSettings) -> Result<Self, ClientBuilderError> {
        let client = RefCell::new(build_client(&settings).await?);
        Ok(Self { settings, client })
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// `wait` is how long the platform may block before it answers.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let client = self.client.borrow().clone();
        let url = format!("http://{}{path}", self.settings.address);
        let exchange = async {
            let request = client.request(method, url).send_body(body);
            let response = request.await.map_err(|error| classify_error(&error))?;
            read_response(response).await
        };
        match timeout(self.settings.call_timeout + wait, exchange).await {
            Ok(result) => result,
            Err(()) => {
                self.replace_connections().await;
                Err(StoreError::ReplyLost)
            }
        }
    }

    /// Replaces the connections, since a network fault that made one request time
    /// out may have left the idle connections unresponsive too.
    async fn replace_connections(&self) {
        if let Ok(client) = build_client(&self.settings).await {
            self.client.replace(client);
        }
    }
}

async fn build_client(settings: &PlatformSettings) -> Result<Client, ClientBuilderError> {
    Client::builder()
        .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
        .disable_timeout()
        .response_payload_limit(MAX_REPLY_BYTES)
        .header(CLIENT_VM_HEADER, settings.vm.as_str())
        .header(CLIENT_DATA_CENTRE_HEADER, settings.data_centre.as_str())
        .build(SharedCfg::new("platform-client"))
        .await
}

async fn read_response(response: ClientResponse) -> Result<Bytes, StoreError> {
    match response.status() {
        StatusCode::OK => response.body().await.map_err(|_| StoreError::ReplyLost),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited {
            retry_after: retry_after(&response),
        }),
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unreachable),
        _ => Err(StoreError::InvalidReply),
    }
}

fn retry_after(response: &ClientResponse) -> Duration {
    response
        .header("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs_f64)
}

fn classify_error(error: &ClientError) -> StoreError {
    if was_never_sent(error) {
        StoreError::Unreachable
    } else {
        StoreError::ReplyLost
    }
}
