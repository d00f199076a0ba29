//! A gateway that shuts down completes the responses in progress, and answers 502 to requests that no backend
//! has answered.

mod processes;

use processes::{
    backend, call, config, heartbeat_body, signal, until, Fleet, Gateway, Process, LARGE_RESPONSE_BYTES,
    WAIT_TIMEOUT,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How long the client pauses after SIGTERM: longer than the gateway accepts clients (0.45 of its grace of
/// 6 s), and shorter than until it ends the requests still in flight (0.92 of it).
const CLIENT_PAUSE: Duration = Duration::from_millis(3500);

/// Starts one core process, a backend and a gateway, with a configuration.
fn start_system() -> (Fleet, Process, Gateway) {
    let fleet = Fleet::new(1);
    let core = fleet.core(0, true);
    let control = fleet.seeds[0].as_str();
    let configuration = config(3, "0", r#""k1""#);
    let put = || {
        call(control, "POST", "/api/Config.Put", "", &configuration).filter(|response| response.status == 200)
    };
    until("an acknowledgement", put);
    let (server, _received) = backend();
    let heartbeat = || call(control, "POST", "/api/Instances.Beat/i-1", "", &heartbeat_body(&server, 1));
    until("the backend's acknowledgement", || heartbeat().filter(|response| response.status == 200));
    let gateway = fleet.gateway("gateway", "127.0.0.5");
    (fleet, core, gateway)
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nDeadline-Ms: 30000\r\n\r\n")
}

fn send_request(gateway: &Gateway, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&gateway.client_addr).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    stream.write_all(request(path).as_bytes()).expect("the request is sent");
    stream
}

/// The gateway must not exit while a slow client is still reading.
#[test]
fn shutdown_completes_a_response_in_progress() {
    let (_fleet, _core, mut gateway) = start_system();
    let mut stream = send_request(&gateway, "/s/large");
    let mut received = vec![0; 1024];
    stream.read_exact(&mut received).expect("the start of the response");
    let head_bytes = received.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a complete head") + 4;

    signal(&gateway.proxy, "-TERM");
    // By the end of the pause, only this response keeps the gateway from exiting.
    let signalled = Instant::now();
    while signalled.elapsed() < CLIENT_PAUSE {
        let exited = gateway.proxy.0.try_wait().expect("the status of the process");
        assert!(
            exited.is_none(),
            "it exited {:?} after SIGTERM, with a response in progress",
            signalled.elapsed()
        );
        std::thread::yield_now();
    }
    let mut remaining = LARGE_RESPONSE_BYTES - (received.len() - head_bytes);
    let mut buffer = vec![0; 1 << 20];
    while remaining > 0 {
        let read = stream.read(&mut buffer).unwrap_or(0);
        assert!(read > 0, "the response was truncated, with {remaining} bytes missing");
        remaining -= read;
    }
    assert!(gateway.proxy.0.wait().expect("an exit status").success());
}

/// Requests in flight, pipelined ones included, get a 502 before the gateway exits if the backend has not
/// answered them.
#[test]
fn shutdown_answers_502_to_unanswered_requests() {
    let (_fleet, _core, mut gateway) = start_system();
    let mut stream = send_request(&gateway, "/s/silent");
    stream.write_all(request("/s/silent").as_bytes()).expect("the request is sent");
    let metrics = || call(&gateway.ready_addr, "GET", "/metrics", "", "");
    until("both requests in flight", || metrics().filter(|response| response.body.contains("pelion_open 2")));

    signal(&gateway.proxy, "-TERM");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    assert_eq!(text.matches("HTTP/1.1 502").count(), 2, "not both requests were answered: {text:?}");
    assert!(gateway.proxy.0.wait().expect("an exit status").success());
}
