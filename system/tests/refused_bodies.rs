//! A refusal reaches a client that is still sending the body of its request.

mod processes;

use processes::{call, start_system, until, Fleet, WAIT_TIMEOUT};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends a request whose body is refused, all of it before the client reads. Returns the response.
fn send_refused_body(addr: &str, head: &str, body_bytes: usize) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    let head = format!("{head}Content-Length: {body_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream.write_all(&vec![b'x'; body_bytes]).expect("the body is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response and the end of the stream");
    response
}

/// A client lost its refusal to a reset, as the gateway closed the connection with most of the body unread.
#[test]
fn a_gateway_refuses_a_large_body_visibly() {
    let (_fleet, _core, gateway) = start_system();
    let head = |key: &str| {
        format!(
            "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nAuthorization: Bearer {key}\r\n\
             Deadline-Ms: 5000\r\n"
        )
    };
    let unknown_key = send_refused_body(&gateway.client_addr, &head("k2"), 8 << 20);
    assert!(unknown_key.starts_with("HTTP/1.1 401 "), "{unknown_key}");
    let too_large = send_refused_body(&gateway.client_addr, &head("k1"), 8 << 20);
    assert!(too_large.starts_with("HTTP/1.1 413 "), "{too_large}");
}

/// An operator lost the refusal of a configuration that is too large to a reset.
#[test]
fn a_core_process_refuses_a_large_body_visibly() {
    let fleet = Fleet::new(1);
    let _core = fleet.core(0, true);
    let addr = fleet.seeds[0].as_str();
    until("an answering core process", || call(addr, "GET", "/api/Status", "", ""));
    let refused = send_refused_body(addr, "POST /api/Config.Put HTTP/1.1\r\n", 40 << 20);
    assert!(refused.starts_with("HTTP/1.1 413 "), "{refused}");
}
