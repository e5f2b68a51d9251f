//! HTTP client for upstreams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientBuilder;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::time::Millis;
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::util::stream_recv;
use snipegate_platform::was_never_sent;
use snipegate_routing::AttemptOutcome;
use snipegate_service::MAX_CONNECTIONS;

/// How long an idle connection to an upstream is kept in the pool.
const KEEP_ALIVE_SECONDS: u16 = 30;

/// HTTP statuses that mean that the upstream did not start the work.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// Sends requests to upstreams over pooled connections; each HTTP worker thread has one.
///
/// If a request gets no response because of a timeout or a lost connection, the whole pool
/// is dropped, so that the next request opens a new connection.
#[derive(Default)]
pub struct UpstreamClient {
    client: RefCell<Option<Client>>,
}

/// An upstream's response whose status and headers have been read.
///
/// It holds the client it was received with, because no more data arrives on a connection
/// once its client has been dropped.
pub struct UpstreamResponse {
    response: ClientResponse,
    payload: Payload,
    _client: Client,
}

/// A request to an upstream.
pub struct UpstreamCall<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Path of the URL.
    pub path: &'a str,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

fn to_millis(duration: Duration) -> Millis {
    Millis(
        u32::try_from(duration.as_millis())
            .unwrap_or(u32::MAX)
            .max(1),
    )
}

impl UpstreamClient {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        Self::default()
    }

    async fn client_or_new(&self) -> Option<Client> {
        if let Some(client) = self.client.borrow().as_ref() {
            return Some(client.clone());
        }
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
        let client = ClientBuilder::new()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .build(SharedCfg::new("upstreams"))
            .await
            .ok()?;
        *self.client.borrow_mut() = Some(client.clone());
        Some(client)
    }

    /// Drops all pooled connections.
    pub fn forget_connections(&self) {
        self.client.borrow_mut().take();
    }

    /// Sends a POST request and waits up to `wait` for the response head.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if no response was received.
    pub async fn post(
        &self,
        call: UpstreamCall<'_>,
        wait: Duration,
    ) -> Result<UpstreamResponse, AttemptOutcome> {
        self.send(Method::POST, call, wait).await
    }

    /// Sends a GET request and waits up to `wait` for the response head.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if no response was received.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<UpstreamResponse, AttemptOutcome> {
        let call = UpstreamCall {
            address,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        self.send(Method::GET, call, wait).await
    }

    async fn send(
        &self,
        method: Method,
        call: UpstreamCall<'_>,
        wait: Duration,
    ) -> Result<UpstreamResponse, AttemptOutcome> {
        let client = self
            .client_or_new()
            .await
            .ok_or(AttemptOutcome::NotConnected)?;
        let url = format!("http://{}{}", call.address, call.path);
        let request = call
            .headers
            .iter()
            .fold(client.request(method, url), |request, (name, value)| {
                request.header(*name, value.as_str())
            });
        match timeout(to_millis(wait), request.send_body(call.body)).await {
            Ok(Ok(response)) => {
                let payload = response.take_payload();
                Ok(UpstreamResponse {
                    response,
                    payload,
                    _client: client,
                })
            }
            Ok(Err(error)) if was_never_sent(&error) => Err(AttemptOutcome::NotConnected),
            Ok(Err(_)) => {
                self.forget_connections();
                Err(AttemptOutcome::ConnectionLost)
            }
            Err(()) => {
                self.forget_connections();
                Err(AttemptOutcome::Silent)
            }
        }
    }
}

impl UpstreamResponse {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Returns a response header, if it is valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Returns the outcome of the attempt if the status is not a success.
    pub fn failure(&self) -> Option<AttemptOutcome> {
        match self.status() {
            200..=299 => None,
            status if BUSY_STATUSES.contains(&status) => Some(AttemptOutcome::RefusedBusy),
            _ => Some(AttemptOutcome::UpstreamFault),
        }
    }

    /// Waits up to `wait` for the next part of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if the body is truncated or times out.
    pub async fn next_bytes(&mut self, wait: Duration) -> Result<Option<Bytes>, AttemptOutcome> {
        match timeout(to_millis(wait), stream_recv(&mut self.payload)).await {
            Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) => Err(AttemptOutcome::ConnectionLost),
            Err(()) => Err(AttemptOutcome::Silent),
        }
    }

    /// Reads and discards the rest of the body, waiting up to `wait` for each part, so that
    /// the connection can be reused.
    pub async fn read_to_end(&mut self, wait: Duration) {
        while let Ok(Some(_)) = self.next_bytes(wait).await {}
    }

    /// Reads the whole body of at most `limit` bytes, waiting up to `wait` for each part.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if the body is truncated, times out or is too large.
    pub async fn read_all(
        &mut self,
        wait: Duration,
        limit: usize,
    ) -> Result<Vec<u8>, AttemptOutcome> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_bytes(wait).await? {
            if body.len() + bytes.len() > limit {
                return Err(AttemptOutcome::UpstreamFault);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }
}
