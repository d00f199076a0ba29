//! The operator interface: an HTTP listener of its own, with one request per connection.

use crate::cluster::Cluster;
use crate::config::Changes;
use crate::gateway::Reloader;
use crate::logs::{self, targets, Log};
use crate::metrics::{CurrentCounts, Metrics};
use crate::server::Server;
use crate::status::{Process, ServerCounts, Status};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use oakfall::plane::client_stream::ClientStream;
use oakfall::plane::warning_limiter::{warn_limited, WarningLimiter};
use serde::Serialize;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout, Instant};
use tracing_subscriber::filter::Targets;

/// Maximum number of operator connections. Their descriptors are reserved, so that clients cannot use them up.
pub const MAX_CONNECTIONS: usize = 16;
/// Timeout for the head of a request. Callers wait 1 s for their response, so a slower request only occupies a
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a whole connection, including the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Content type of /metrics.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The parts of the gateway that operator requests read or change.
pub struct OperatorContext {
    pub reloader: Reloader,
    pub server: Rc<Server>,
    pub cluster: Rc<Cluster>,
    pub metrics: Rc<Metrics>,
    pub log: Rc<Log>,
    /// The gateway's name; empty if none is configured.
    pub name: String,
    pub started: Instant,
    /// Limit on open descriptors.
    pub descriptors: usize,
}

impl OperatorContext {
    /// Reloads the configuration and applies changed log levels.
    pub fn reload(&self) -> Result<Changes, String> {
        let changes = self.reloader.reload(&self.server, &self.cluster)?;
        if changes.keys.iter().any(|key| key.starts_with("logs")) {
            self.log.set_levels(logs::level_filter(&self.reloader.log_settings()));
        }
        Ok(changes)
    }

    fn status(&self) -> Status {
        let CurrentCounts { open_requests, connections, listed, avoided } = self.server.present();
        Status {
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            pid: std::process::id(),
            uptime_s: self.started.elapsed().as_secs_f64(),
            phase: self.server.phase(),
            connections,
            open_requests,
            relayed: self.metrics.relayed_total(),
            classes: self.metrics.classes(),
            refusals: self.metrics.refusals(),
            servers: ServerCounts { listed, avoided },
            members: self.cluster.members(),
            process: Process::current(self.descriptors),
        }
    }
}

/// Serves operator requests for as long as the program runs.
pub async fn run(listener: TcpListener, context: Rc<OperatorContext>) {
    let (permits, warnings) = (Arc::new(Semaphore::new(MAX_CONNECTIONS)), WarningLimiter::default());
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    // Errors and timeouts of one connection are not logged.
                    let _ = timeout(CALL_TIMEOUT, serve_connection(stream, &context)).await;
                    drop(permit);
                });
            }
            Err(e) => {
                warn_limited!(targets::OPERATOR, warnings, "accepting an operator connection", e);
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, context: &OperatorContext) -> hyper::Result<()> {
    let service = service_fn(|request| {
        let response = respond(&request, context);
        async move { Ok::<_, Infallible>(response) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(ClientStream::new(stream)), service)
        .await
}

fn respond(request: &Request<Incoming>, context: &OperatorContext) -> Response<Full<Bytes>> {
    let (server, cluster) = (&context.server, &context.cluster);
    let allowed = match request.uri().path() {
        "/admin/health" | "/metrics" | "/admin/stats" | "/admin/status" | "/admin/members" => Method::GET,
        "/admin/quiesce" | "/admin/resume" | "/admin/reload" | "/admin/log" => Method::POST,
        _ => return text(StatusCode::NOT_FOUND, "no such call\n"),
    };
    if *request.method() != allowed {
        let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
        let allow = HeaderValue::try_from(allowed.as_str()).ok().map(|allow| (ALLOW, allow));
        response.headers_mut().extend(allow);
        return response;
    }
    match request.uri().path() {
        "/admin/quiesce" => {
            server.drain();
            text(StatusCode::OK, "draining\n")
        }
        "/admin/resume" if server.resume() => text(StatusCode::OK, "taking clients\n"),
        "/admin/resume" => text(StatusCode::CONFLICT, "ending after SIGTERM\n"),
        "/admin/stats" => {
            let stats =
                context.metrics.stats(&server.present(), |registry| cluster.register_metrics(registry));
            text(StatusCode::OK, stats)
        }
        "/metrics" => {
            let (current, process) = (server.present(), Process::current(context.descriptors));
            let dropped_lines = context.log.dropped_lines();
            let metrics = context.metrics.open_metrics(&current, &process, dropped_lines, |registry| {
                cluster.register_metrics(registry)
            });
            body(StatusCode::OK, metrics, OPEN_METRICS)
        }
        "/admin/log" => match request.uri().query().unwrap_or("").parse::<Targets>() {
            Ok(levels) => {
                tracing::info!(target: targets::OPERATOR, "log levels set: {levels}");
                context.log.set_levels(levels);
                text(StatusCode::OK, "other levels\n")
            }
            Err(e) => text(StatusCode::CONFLICT, format!("levels: {e}\n")),
        },
        "/admin/reload" => match context.reload() {
            Ok(changes) => json(&changes),
            Err(reason) => text(StatusCode::CONFLICT, format!("{reason}\n")),
        },
        "/admin/status" => json(&context.status()),
        "/admin/members" => match cluster.view() {
            Some(view) => json(&view),
            None => text(StatusCode::NOT_FOUND, "not a member of a cluster now\n"),
        },
        _ if server.ready() => text(StatusCode::OK, "ready\n"),
        _ => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec_pretty(value) {
        Ok(mut json) => {
            json.push(b'\n');
            body(StatusCode::OK, json, "application/json")
        }
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    body(status, text, "text/plain; charset=utf-8")
}

fn body(status: StatusCode, body: impl Into<Bytes>, content_type: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
