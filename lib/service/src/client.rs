//! RPC client for calls between snipegate processes.

use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientBuilder;
use ntex::client::Connector;
use ntex::time::Millis;
use ntex::time::timeout;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipegate_platform::was_never_sent;

use crate::message::MESSAGE_CONTENT_TYPE;
use crate::message::decode_message;
use crate::message::encode_message;
use crate::server::MAX_MESSAGE_BYTES;

/// Maximum number of connections of one HTTP client, over all addresses.
///
/// High enough never to be reached. ntex 3.12 treats 0 as unlimited, but then never
/// wakes requests that wait while another request connects to the same address, so
/// they hang.
pub const MAX_CONNECTIONS: usize = 1 << 20;

/// The reason why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established, so the peer did not receive the call.
    NotSent,
    /// The call was sent but no reply arrived. The peer may have acted on it.
    ReplyLost,
    /// The peer answered with this HTTP error status.
    Status(u16),
    /// The reply could not be decoded.
    InvalidReply,
}

impl CallError {
    /// Returns whether the peer may have acted on the call.
    pub fn may_have_applied(self) -> bool {
        match self {
            CallError::NotSent => false,
            CallError::ReplyLost | CallError::Status(_) | CallError::InvalidReply => true,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent => write!(f, "connection failed"),
            CallError::ReplyLost => write!(f, "reply lost"),
            CallError::Status(status) => write!(f, "answered with status {status}"),
            CallError::InvalidReply => write!(f, "reply not understood"),
        }
    }
}

impl Error for CallError {}

/// Sends messages to other snipegate processes over persistent connections.
///
/// When a call times out, all connections are dropped, since a fault that made one
/// unresponsive may have affected the others. The next call opens a new one.
pub struct MessageClient {
    client: RefCell<Option<Client>>,
}

impl MessageClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self {
            client: RefCell::new(None),
        }
    }

    /// Returns the current HTTP client, building one if there is none.
    async fn http_client(&self) -> Result<Client, CallError> {
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }
        let client = ClientBuilder::new()
            .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_MESSAGE_BYTES)
            .build(SharedCfg::new("messages"))
            .await
            .map_err(|_| CallError::NotSent)?;
        *self.client.borrow_mut() = Some(client.clone());
        Ok(client)
    }

    /// Posts `message` to `path` at `address` and waits up to `wait` for the reply.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if there is no valid reply within `wait`.
    pub async fn call<M, R>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        wait: Duration,
    ) -> Result<R, CallError>
    where
        M: Serialize,
        R: DeserializeOwned,
    {
        let client = self.http_client().await?;
        let limit = Millis(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let response = post(&client, address, path, encode_message(message));
        match timeout(limit, response).await {
            Ok(Ok(bytes)) => decode_message(&bytes).map_err(|_| CallError::InvalidReply),
            Ok(Err(error)) => Err(error),
            Err(()) => {
                self.client.borrow_mut().take();
                Err(CallError::ReplyLost)
            }
        }
    }
}

impl Default for MessageClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Posts `body` and returns the body of a successful response.
async fn post(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<ntex::util::Bytes, CallError> {
    let response = client
        .post(format!("http://{address}{path}"))
        .content_type(MESSAGE_CONTENT_TYPE)
        .send_body(body)
        .await
        .map_err(|error| match was_never_sent(&error) {
            true => CallError::NotSent,
            false => CallError::ReplyLost,
        })?;
    if !response.status().is_success() {
        return Err(CallError::Status(response.status().as_u16()));
    }
    response.body().await.map_err(|_| CallError::ReplyLost)
}
