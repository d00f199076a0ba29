//! Configurations that change while a gateway serves: a proxy in virtual time, between a client and backends that
//! may lose their responses.

use oakfall::plane::backends::{BoxedStream, Stream};
use oakfall_system::backend_protocol::HttpBackendProtocol;
use oakfall_system::protocol::{Backend, ConfigRevision, Gateway, StateSnapshot, ToProxy};
use oakfall_system::proxy::Proxy;
use oakfall_system::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Time that a backend takes to process a request.
const PROCESSING_TIME: Duration = Duration::from_millis(200);
/// Versions that pass, each with names that the next one no longer has.
const PASSING_VERSIONS: usize = 42;
/// Names of routes or services that each of these versions adds: over 16,384 altogether.
const NAMES_PER_VERSION: usize = 400;
/// Buffer of a connection in each direction.
const BUFFER_BYTES: usize = 16 * 1024;

const SETTINGS: &str = "sender:\n  node: \"g1\"\n  machine_class: \"counter\"\n  ip: \"10.1.0.1\"\n  zone: \"a\"\n  region: \"r\"\n  \
first_start: false\n  limits:\n    memory_mb: 260\n    fds: 600\nnetwork:\n  docks_at:\n    front: \"10.1.0.1:80\"\n  \
inner_ports:\n    - 7460\n    - 7475\n  seeds:\n    - \"10.1.0.9:80\"\n  zones:\n    a: \"r\"\ncarrier:\n  beat: \"1500ms\"\n\
tariffs:\n  bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: false\n    retry_ratio: 5.0\n    retry_slack: 500\n    \
ttl_max: \"5s\"\n";

/// A connection in memory.
struct MemoryConnection(DuplexStream);

impl AsyncRead for MemoryConnection {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for MemoryConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Stream for MemoryConnection {
    fn is_idle(&self) -> bool {
        true
    }

    fn disable_nagle(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A request that a backend has run.
#[derive(Clone, Debug, PartialEq)]
struct Run {
    request_id: String,
    /// Path of the request.
    path: String,
    /// Name of the backend.
    backend: String,
}

/// The value of a header in the text of a request's head.
fn header(head: &str, name: &str) -> String {
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let value = fields.into_iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
    value.map_or(String::new(), |(_, value)| value.to_owned())
}

async fn read_head(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// A proxy, and what its backends have run.
struct World {
    runs: RefCell<Vec<Run>>,
    /// Backends close the connection after processing a request, without a response.
    loses_responses: Cell<bool>,
    next_index: Cell<u64>,
}

impl World {
    fn new() -> Rc<Self> {
        Rc::new(World {
            runs: RefCell::default(),
            loses_responses: Cell::new(false),
            next_index: Cell::new(1),
        })
    }

    /// Opens a connection to a backend that serves one request.
    fn connect(self: &Rc<Self>) -> BoxedStream {
        let (near, mut far) = tokio::io::duplex(BUFFER_BYTES);
        let world = self.clone();
        tokio::task::spawn_local(async move {
            let Some(head) = read_head(&mut far).await else { return };
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let request_id = header(&head, "Request-Id");
            let run = Run { request_id: request_id.clone(), path, backend: header(&head, "Expect-Instance") };
            world.runs.borrow_mut().push(run);
            sleep(PROCESSING_TIME).await;
            if !world.loses_responses.get() {
                let response = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nStamp: s\r\nConnection: close\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                let _ = far.write_all(response.as_bytes()).await;
            }
        });
        Box::new(MemoryConnection(near))
    }

    /// Starts a proxy with this configuration and these backends, each with the name of its service.
    fn start_proxy(self: &Rc<Self>, config: &str, backends: &[(&str, &str)]) -> Rc<Proxy> {
        let world = self.clone();
        let dial = Box::new(move |_: SocketAddr| -> Pin<Box<dyn Future<Output = io::Result<BoxedStream>>>> {
            let stream = world.connect();
            Box::pin(async move { Ok(stream) })
        });
        let settings = Settings::read(SETTINGS).expect("valid settings");
        let update = self.update(config, backends);
        Proxy::standalone(settings, 1, Rc::new(HttpBackendProtocol), dial, update).expect("a proxy")
    }

    /// An update with a whole state.
    fn update(&self, config: &str, backends: &[(&str, &str)]) -> ToProxy {
        let index = self.next_index.replace(self.next_index.get() + 1);
        let backends = backends.iter().enumerate().map(|(number, (id, service))| Backend {
            edition: "v1".into(),
            id: (*id).into(),
            service: (*service).into(),
            address: SocketAddr::from(([10, 0, 0, number as u8 + 1], 80)).to_string(),
            zone: "a".into(),
            max_concurrency: 4,
            ..Backend::default()
        });
        let config = ConfigRevision {
            edition: index,
            text: config.into(),
            call_digest: 1,
            ..ConfigRevision::default()
        };
        let snapshot = StateSnapshot {
            index,
            config: Some(config),
            backends: backends.collect(),
            gateways: vec![Gateway { node: "g1".into(), ..Gateway::default() }],
            ..StateSnapshot::default()
        };
        ToProxy {
            snapshot: Some(snapshot),
            leader_contact_age_ms: 0.0,
            request_sent_at: Some(0.0),
            index,
            ..ToProxy::default()
        }
    }

    fn runs_of(&self, request_id: &str) -> Vec<Run> {
        self.runs.borrow().iter().filter(|run| run.request_id == request_id).cloned().collect()
    }
}

/// A route of a configuration.
struct RouteEntry<'a> {
    name: &'a str,
    kind: &'a str,
    prefix: &'a str,
    service: &'a str,
}

/// A configuration with these routes and services.
fn config(routes: &[RouteEntry], services: &[String]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|RouteEntry { name, kind, prefix, service }| {
            format!(
                r#"{{"name":"{name}","kind":"{kind}","target":"500ms","sorting":{{"lane_prefix":"{prefix}"}},
                "dispatch":{{"service":"{service}","timeout":"2s","attempts":3}}}}"#
            )
        })
        .collect();
    let services: Vec<_> = services.iter().map(|name| format!(r#"{{"name":"{name}"}}"#)).collect();
    format!(
        r#"{{"edition":"r1","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3s","idle":"15s"}},
        "docks":[{{"depot":"a.example","regulations":[{}]}}],"fleets":[{}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Sends a request, with its body after a while, and returns the status of its response.
async fn send_slowly(proxy: Rc<Proxy>, path: String, request_id: &'static str, body_delay: Duration) -> u16 {
    let (mut client, server) = tokio::io::duplex(BUFFER_BYTES);
    tokio::task::spawn_local(proxy.serve_connection(MemoryConnection(server)));
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 2000\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\n"
    );
    client.write_all(head.as_bytes()).await.expect("the head is sent");
    sleep(body_delay).await;
    client.write_all(b"body").await.expect("the body is sent");
    let head = read_head(&mut client).await.expect("a response");
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
}

/// Sends a request and returns the status of its response.
async fn send(proxy: Rc<Proxy>, path: String, request_id: &'static str) -> u16 {
    send_slowly(proxy, path, request_id, Duration::ZERO).await
}

fn run_in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// The configuration whose only route has this kind.
fn config_of_kind(kind: &str) -> String {
    config(&[RouteEntry { name: "r-1", kind, prefix: "/hold/", service: "s1" }], &["s1".into()])
}

/// Guards against an unsafe request that runs twice because its route became safe before its response was lost.
#[test]
fn a_request_keeps_the_kind_of_its_route_at_admission() {
    for (at_admission, afterwards, expected_runs) in [("unsafe", "safe", 1), ("safe", "unsafe", 3)] {
        run_in_virtual_time(async {
            let backends = [("i-1", "s1"), ("i-2", "s1"), ("i-3", "s1")];
            let world = World::new();
            let proxy = world.start_proxy(&config_of_kind(at_admission), &backends);
            world.loses_responses.set(true);
            let response = tokio::task::spawn_local(send(proxy.clone(), "/hold/1".into(), "q-1"));
            sleep(PROCESSING_TIME / 2).await;
            assert_eq!(world.runs_of("q-1").len(), 1, "it was {at_admission} and is in flight");
            proxy.apply_update(world.update(&config_of_kind(afterwards), &backends));
            let status = response.await.expect("a response");
            let runs = world.runs_of("q-1");
            assert_eq!(runs.len(), expected_runs, "{at_admission}, then {afterwards}: {runs:?}");
            assert_eq!(status, 502, "every response was lost");
            // Requests that arrive now have the new kind.
            send(proxy, "/hold/2".into(), "q-2").await;
            assert_eq!(world.runs_of("q-2").len(), if afterwards == "unsafe" { 1 } else { 3 });
        });
    }
}

/// Guards against an unsafe request that runs twice because its route became safe while its body arrived.
#[test]
fn a_request_keeps_the_kind_of_its_route_while_its_body_arrives() {
    run_in_virtual_time(async {
        let backends = [("i-1", "s1"), ("i-2", "s1"), ("i-3", "s1")];
        let world = World::new();
        let proxy = world.start_proxy(&config_of_kind("unsafe"), &backends);
        world.loses_responses.set(true);
        let request = send_slowly(proxy.clone(), "/hold/1".into(), "q-1", 2 * PROCESSING_TIME);
        let response = tokio::task::spawn_local(request);
        sleep(PROCESSING_TIME).await;
        assert!(world.runs_of("q-1").is_empty(), "its body is incomplete");
        proxy.apply_update(world.update(&config_of_kind("safe"), &backends));
        assert_eq!(response.await.expect("a response"), 502);
        assert_eq!(world.runs_of("q-1").len(), 1);
    });
}

/// Guards against an unsafe request that runs twice because its route shares the class of a safe one, after more
/// names of routes have passed than there are class numbers.
#[test]
fn an_unsafe_request_runs_once_however_many_routes_have_passed() {
    run_in_virtual_time(async {
        let backends = [("i-1", "s1"), ("i-2", "s1"), ("i-3", "s1")];
        let world = World::new();
        let proxy = world.start_proxy(&config_of_kind("unsafe"), &backends);
        for version in 0..PASSING_VERSIONS {
            let names: Vec<_> = (0..NAMES_PER_VERSION).map(|n| format!("r-{version}-{n}")).collect();
            let prefixes: Vec<_> = names.iter().map(|name| format!("/{name}/")).collect();
            let routes = names.iter().zip(&prefixes);
            let routes: Vec<_> = routes
                .map(|(name, prefix)| RouteEntry { name, kind: "safe", prefix, service: "s1" })
                .collect();
            proxy.apply_update(world.update(&config(&routes, &["s1".into()]), &backends));
        }
        let route = |name, kind, prefix| RouteEntry { name, kind, prefix, service: "s1" };
        let last = [route("r-once", "unsafe", "/once/"), route("r-safe", "safe", "/safe/")];
        proxy.apply_update(world.update(&config(&last, &["s1".into()]), &backends));
        world.loses_responses.set(true);
        assert_eq!(send(proxy.clone(), "/once/1".into(), "q-1").await, 502);
        assert_eq!(world.runs_of("q-1").len(), 1);
        send(proxy, "/safe/1".into(), "q-2").await;
        assert_eq!(world.runs_of("q-2").len(), 3);
    });
}

/// Guards against two services that share their backends, after more names of services have passed than there are
/// numbers.
#[test]
fn services_never_share_backends_however_many_have_passed() {
    run_in_virtual_time(async {
        let backends = [("i-1", "stock"), ("i-2", "stock"), ("i-3", "history"), ("i-4", "history")];
        let world = World::new();
        let proxy = world.start_proxy(&config_of_kind("safe"), &[]);
        for version in 0..PASSING_VERSIONS {
            let services: Vec<_> = (0..NAMES_PER_VERSION).map(|n| format!("s-{version}-{n}")).collect();
            proxy.apply_update(world.update(&config(&[], &services), &[]));
        }
        let route = |name, prefix, service| RouteEntry { name, kind: "safe", prefix, service };
        let last = [route("r-1", "/stock/", "stock"), route("r-2", "/history/", "history")];
        let services = ["stock".to_owned(), "history".to_owned()];
        proxy.apply_update(world.update(&config(&last, &services), &backends));
        for number in 0..50 {
            assert_eq!(send(proxy.clone(), format!("/stock/{number}"), "q-1").await, 200);
            assert_eq!(send(proxy.clone(), format!("/history/{number}"), "q-2").await, 200);
        }
        let backends_of = |request_id: &str| -> BTreeSet<String> {
            world.runs_of(request_id).into_iter().map(|run| run.backend).collect()
        };
        assert_eq!(backends_of("q-1"), ["i-1".to_owned(), "i-2".to_owned()].into());
        assert_eq!(backends_of("q-2"), ["i-3".to_owned(), "i-4".to_owned()].into());
    });
}
