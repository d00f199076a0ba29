//! A gateway that shuts down completes the responses in progress, and answers 502 to requests that no backend
//! has answered.

mod processes;

use processes::{call, signal, start_system, until, Gateway, LARGE_RESPONSE_BYTES, WAIT_TIMEOUT};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long the client pauses after SIGTERM: longer than the gateway accepts clients (0.45 of its grace of
/// 6 s), and shorter than until it ends the requests still in flight (0.92 of it).
const CLIENT_PAUSE: Duration = Duration::from_millis(3500);

/// Receive buffer of a slow client, in bytes: most of a large response waits at the gateway.
const SLOW_CLIENT_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes before the end of a response at which a slow client pauses: by then the gateway has written all of it.
const PAUSE_BEFORE_END_BYTES: usize = 256 * 1024;
/// The pause of a slow client before the end of a response.
const END_PAUSE: Duration = Duration::from_millis(500);
/// Requests sent behind a response: more than the gateway reads ahead.
const PIPELINED_REQUESTS: usize = 400;

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

/// Connects with a small receive buffer.
fn connect_slowly(gateway: &Gateway) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SLOW_CLIENT_BUFFER_BYTES).expect("a receive buffer");
    let addr: SocketAddr = gateway.client_addr.parse().expect("an address");
    socket.connect(&addr.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    stream
}

/// Reads a response with a length, with a pause before its end. Returns its head and the number of body bytes
/// received.
fn read_response(mut stream: &TcpStream, pause: Duration) -> (String, usize) {
    let mut received = Vec::new();
    let mut buffer = vec![0; PAUSE_BEFORE_END_BYTES / 2];
    let mut pause = Some(pause);
    let head_bytes = loop {
        let read = stream.read(&mut buffer).unwrap_or(0);
        assert!(read > 0, "no response");
        received.extend_from_slice(&buffer[..read]);
        if let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&received[..head_bytes]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let length: usize = length.and_then(|text| text.parse().ok()).expect("a length");
    let mut body_bytes = received.len() - head_bytes;
    while body_bytes < length {
        if body_bytes + PAUSE_BEFORE_END_BYTES >= length {
            pause.take().into_iter().for_each(std::thread::sleep);
        }
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => body_bytes += read,
            _ => break,
        }
    }
    (head, body_bytes)
}

/// A response was reset in its middle when the gateway closed its connection at a shutdown while the client's
/// further requests were unread or still arriving.
#[test]
fn shutdown_completes_a_response_with_requests_behind_it() {
    let (_fleet, _core, mut gateway) = start_system();
    let slow = connect_slowly(&gateway);
    // The backend answers this request once a second one has arrived.
    (&slow).write_all(request("/s/pair/large").as_bytes()).expect("the request is sent");
    let metrics = || call(&gateway.ready_addr, "GET", "/metrics", "", "");
    until("the request in flight", || metrics().filter(|response| response.body.contains("pelion_open 1")));
    signal(&gateway.proxy, "-TERM");
    let ready = || call(&gateway.ready_addr, "GET", "/api/ready", "", "");
    until("the shutdown", || ready().filter(|response| response.status == 503));

    let mut behind = slow.try_clone().expect("a socket");
    let pipelining = std::thread::spawn(move || {
        // The gateway stops reading at some point: the rest waits in the sockets' buffers.
        (0..PIPELINED_REQUESTS).all(|_| behind.write_all(request("/s/small").as_bytes()).is_ok())
    });
    let other = std::thread::spawn({
        let stream = send_request(&gateway, "/s/pair/large");
        move || read_response(&stream, Duration::ZERO)
    });
    let (head, body_bytes) = read_response(&slow, END_PAUSE);
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(body_bytes, LARGE_RESPONSE_BYTES, "the response was truncated");
    assert_eq!(other.join().expect("the other client").1, LARGE_RESPONSE_BYTES);
    drop(slow);
    pipelining.join().expect("the pipelining client");
    assert!(gateway.proxy.0.wait().expect("an exit status").success());
}
