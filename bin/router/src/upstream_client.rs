//! Calls to upstreams.

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

/// How long an unused connection to an upstream is kept.
const KEEP_ALIVE_SECONDS: u16 = 30;

/// HTTP statuses by which an upstream says that it did not begin the work.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// Sends requests to upstreams; one for each traffic thread.
///
/// After a connection has gone silent every kept one is dropped, so that the
/// next request goes out on a fresh one.
#[derive(Default)]
pub struct UpstreamClient {
    client: RefCell<Option<Client>>,
}

/// An upstream's answer, its status and headers read.
///
/// Holds the client that it came by: a connection whose client has gone brings
/// nothing more.
pub struct UpstreamAnswer {
    response: ClientResponse,
    payload: Payload,
    _client: Client,
}

/// One request to an upstream.
pub struct UpstreamCall<'a> {
    /// Where it goes.
    pub address: SocketAddr,
    /// The path.
    pub path: &'a str,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

fn millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}

impl UpstreamClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    async fn client(&self) -> Option<Client> {
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

    /// Drops every kept connection.
    pub fn forget_connections(&self) {
        self.client.borrow_mut().take();
    }

    /// Posts a request and waits up to `wait` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended without an answer.
    pub async fn post(
        &self,
        call: UpstreamCall<'_>,
        wait: Duration,
    ) -> Result<UpstreamAnswer, AttemptOutcome> {
        self.send(Method::POST, call, wait).await
    }

    /// Gets a path and waits up to `wait` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended without an answer.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<UpstreamAnswer, AttemptOutcome> {
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
    ) -> Result<UpstreamAnswer, AttemptOutcome> {
        let client = self.client().await.ok_or(AttemptOutcome::NotConnected)?;
        let url = format!("http://{}{}", call.address, call.path);
        let request = call
            .headers
            .iter()
            .fold(client.request(method, url), |request, (name, value)| {
                request.header(*name, value.as_str())
            });
        match timeout(millis(wait), request.send_body(call.body)).await {
            Ok(Ok(response)) => {
                let payload = response.take_payload();
                Ok(UpstreamAnswer {
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

impl UpstreamAnswer {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Returns how the attempt ended if the status is not one of success.
    pub fn failure(&self) -> Option<AttemptOutcome> {
        match self.status() {
            200..=299 => None,
            status if BUSY_STATUSES.contains(&status) => Some(AttemptOutcome::RefusedBusy),
            _ => Some(AttemptOutcome::UpstreamFault),
        }
    }

    /// Waits up to `wait` for the next bytes; `None` is the end.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if the answer is cut off.
    pub async fn next_bytes(&mut self, wait: Duration) -> Result<Option<Bytes>, AttemptOutcome> {
        match timeout(millis(wait), stream_recv(&mut self.payload)).await {
            Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) => Err(AttemptOutcome::ConnectionLost),
            Err(()) => Err(AttemptOutcome::Silent),
        }
    }

    /// Reads the rest of the answer, each part within `wait`, and drops it, so
    /// that its connection can be used for another request.
    pub async fn read_to_end(&mut self, wait: Duration) {
        while let Ok(Some(_)) = self.next_bytes(wait).await {}
    }

    /// Reads the whole body, each part within `wait`, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if the body is cut off or too large.
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
