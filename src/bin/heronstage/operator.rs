//! Operators: their own address, where each connection carries one call.

use crate::cluster::Cluster;
use crate::config::Changes;
use crate::gateway::Reloader;
use crate::logs::{self, Log};
use crate::metrics::{Figures, Present};
use crate::server::Server;
use crate::status::{Process, Servers, Status};
use bytes::Bytes;
use cherrytally::plane::warning_limiter::{warn_limited, WarningLimiter};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout, Instant};
use tracing_subscriber::filter::Targets;

/// Callers at once. Their descriptors are kept for them, so that busy clients can't take them.
pub const PLACES: usize = 16;
/// A caller waits for 1 s; one that has not asked whole by then holds a place for nothing.
const HEAD_TIME: Duration = Duration::from_secs(1);
/// And one that does not take its answer is left.
const CALL_TIME: Duration = Duration::from_secs(2);

/// The form of /metrics.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What operators are told of, and may change.
pub struct Desk {
    pub reloads: Reloader,
    pub server: Rc<Server>,
    pub cluster: Rc<Cluster>,
    pub figures: Rc<Figures>,
    pub log: Rc<Log>,
    /// The gateway's name; empty where its configuration gives none.
    pub name: String,
    pub started: Instant,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
}

impl Desk {
    /// Reads the configuration anew.
    pub fn reload(&self) -> Result<Changes, String> {
        let changes = self.reloads.reload(&self.server, &self.cluster)?;
        if changes.keys.iter().any(|key| key.starts_with("logs")) {
            self.log.set(logs::targets(&self.reloads.log_settings()));
        }
        Ok(changes)
    }

    fn status(&self) -> Status {
        let Present { open, connections, listed, avoided } = self.server.present();
        Status {
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            pid: std::process::id(),
            uptime_s: self.started.elapsed().as_secs_f64(),
            phase: self.server.phase(),
            connections,
            open_requests: open,
            relayed: self.figures.relayed_total(),
            classes: self.figures.classes(),
            refusals: self.figures.refusals(),
            servers: Servers { listed, avoided },
            members: self.cluster.members(),
            process: Process::now(self.descriptors),
        }
    }
}

/// Answers operators for as long as the program runs.
pub async fn run(listener: TcpListener, desk: Rc<Desk>) {
    let (places, seldom) = (Arc::new(Semaphore::new(PLACES)), WarningLimiter::default());
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let desk = desk.clone();
                tokio::task::spawn_local(async move {
                    // A caller that breaks off or says nothing is its own affair.
                    let _ = timeout(CALL_TIME, call(stream, &desk)).await;
                    drop(place);
                });
            }
            Err(e) => {
                warn_limited!(seldom, "accept an operator", e);
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn call(stream: TcpStream, desk: &Desk) -> hyper::Result<()> {
    let service = service_fn(|request| {
        let reply = answer(&request, desk);
        async move { Ok::<_, Infallible>(reply) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .await
}

fn answer(request: &Request<Incoming>, desk: &Desk) -> Response<Full<Bytes>> {
    let (server, cluster) = (&desk.server, &desk.cluster);
    let allowed = match request.uri().path() {
        "/admin/health" | "/metrics" | "/admin/stats" | "/admin/status" | "/admin/members" => Method::GET,
        "/admin/quiesce" | "/admin/resume" | "/admin/reload" | "/admin/log" => Method::POST,
        _ => return text(StatusCode::NOT_FOUND, "no such call\n"),
    };
    if *request.method() != allowed {
        let mut reply = text(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
        reply.headers_mut().extend(HeaderValue::try_from(allowed.as_str()).ok().map(|allow| (ALLOW, allow)));
        return reply;
    }
    match request.uri().path() {
        "/admin/quiesce" => {
            server.drain();
            text(StatusCode::OK, "draining\n")
        }
        "/admin/resume" if server.resume() => text(StatusCode::OK, "taking clients\n"),
        "/admin/resume" => text(StatusCode::CONFLICT, "ending after SIGTERM\n"),
        "/admin/stats" => {
            text(StatusCode::OK, desk.figures.stats(&server.present(), |now| cluster.figures(now)))
        }
        "/metrics" => {
            let (present, process) = (server.present(), Process::now(desk.descriptors));
            let lost = desk.log.lost();
            let told = desk.figures.open_metrics(&present, &process, lost, |now| cluster.figures(now));
            body(StatusCode::OK, told, OPEN_METRICS)
        }
        "/admin/log" => match request.uri().query().unwrap_or("").parse::<Targets>() {
            Ok(levels) => {
                tracing::info!("levels of the log: {levels}");
                desk.log.set(levels);
                text(StatusCode::OK, "other levels\n")
            }
            Err(e) => text(StatusCode::CONFLICT, format!("levels: {e}\n")),
        },
        "/admin/reload" => match desk.reload() {
            Ok(changes) => json(&changes),
            Err(why) => text(StatusCode::CONFLICT, format!("{why}\n")),
        },
        "/admin/status" => json(&desk.status()),
        "/admin/members" => match cluster.view() {
            Some(view) => json(&view),
            None => text(StatusCode::NOT_FOUND, "not a member of a cluster now\n"),
        },
        _ if server.ready() => text(StatusCode::OK, "ready\n"),
        _ => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn json(told: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec_pretty(told) {
        Ok(mut told) => {
            told.push(b'\n');
            body(StatusCode::OK, told, "application/json")
        }
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    body(status, text, "text/plain; charset=utf-8")
}

fn body(status: StatusCode, body: impl Into<Bytes>, form: &'static str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(form));
    reply
}
