//! The HTTP server of a daemon, with health, readiness and metrics endpoints.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::http::StatusCode;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;
use ntex::web::ServiceConfig;
use slog::Logger;
use slog::info;
use strum::Display;
use strum::FromRepr;

use crate::metrics::MetricRegistry;

/// Maximum size of a message between snipegate processes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The lifecycle state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ProcessState {
    /// The process is initializing and cannot serve requests yet.
    Starting = 0,
    /// The process serves requests.
    Ready = 1,
    /// The process serves requests but is about to stop, so it should not be given
    /// new callers.
    Leaving = 2,
    /// The process accepts no new requests and finishes the open ones.
    Stopping = 3,
}

/// State shared by all components of a daemon.
#[derive(Clone)]
pub struct DaemonContext {
    /// The process's logger.
    pub logger: Logger,
    /// The process's metrics.
    pub metrics: MetricRegistry,
    state: Arc<AtomicU8>,
}

impl DaemonContext {
    /// Creates a context in the [`ProcessState::Starting`] state.
    pub fn new(logger: Logger, metrics: MetricRegistry) -> Self {
        Self {
            logger,
            metrics,
            state: Arc::new(AtomicU8::new(ProcessState::Starting as u8)),
        }
    }

    /// Returns the state of the process.
    pub fn state(&self) -> ProcessState {
        ProcessState::from_repr(self.state.load(Ordering::Acquire))
            .unwrap_or(ProcessState::Stopping)
    }

    /// Sets the state of the process. A change is logged and recorded as a metric.
    pub fn set_state(&self, state: ProcessState) {
        let previous = self.state.swap(state as u8, Ordering::AcqRel);
        if previous != state as u8 {
            info!(self.logger, "process state changed"; "state" => state.to_string());
            self.metrics
                .set_gauge("process.state", u64::from(state as u8));
        }
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain")
        .body("alive\n")
}

async fn ready(context: web::types::State<DaemonContext>) -> HttpResponse {
    let state = context.state();
    let status = match state {
        ProcessState::Ready => StatusCode::OK,
        ProcessState::Starting | ProcessState::Leaving | ProcessState::Stopping => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    HttpResponse::build(status)
        .content_type("text/plain")
        .body(format!("{state}\n"))
}

async fn metrics(context: web::types::State<DaemonContext>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain")
        .body(context.metrics.render())
}

/// Starts the server on `listener` with `workers` threads.
///
/// `routes` registers the daemon's own routes and state. It is called once on each
/// thread. The server handles no signals and does not stop by itself.
///
/// # Errors
///
/// Returns an error if the server cannot use `listener`.
pub fn start_server<F>(
    listener: TcpListener,
    workers: usize,
    context: DaemonContext,
    routes: F,
) -> io::Result<Server>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let config = HttpServiceConfig::new()
        .set_client_timeout(Seconds(10))
        .set_keepalive(Seconds(75));
    let factory = async move || {
        App::new()
            .state(context.clone())
            .state(web::types::PayloadConfig::new(MAX_MESSAGE_BYTES))
            .route("/health", web::get().to(health))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics))
            .configure(routes.clone())
    };
    let server = HttpServer::new(factory)
        .config(SharedCfg::new("server").add(config))
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen(listener)?
        .run();
    Ok(server)
}
