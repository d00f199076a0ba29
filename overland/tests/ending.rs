//! A gateway that is told to end gives every answer that it began, whole.

mod processes;

use processes::{backend, beat, call, config, signal, until, Fleet, Gateway, Process, LARGE, PATIENCE};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The client reads on so long after the gateway is told to end: of 6 s it has, it takes clients for 2.7.
const LINGERS: Duration = Duration::from_millis(3500);

/// One core process, a backend and a gateway.
fn served() -> (Fleet, Process, Gateway) {
    let fleet = Fleet::new(1);
    let core = fleet.core(0, true);
    let control = fleet.seeds[0].as_str();
    let first = config(3, "0", r#""k1""#);
    let put = || call(control, "POST", "/api/Config.Put", "", &first).filter(|a| a.status == 200);
    until("an acknowledgement", put);
    let (server, _came) = backend();
    let beats = || call(control, "POST", "/api/Instances.Beat/i-1", "", &beat(&server, 1));
    until("the backend's acknowledgement", || beats().filter(|a| a.status == 200));
    let gateway = fleet.gateway("gateway", "127.0.0.5");
    (fleet, core, gateway)
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nDeadline-Ms: 30000\r\n\r\n")
}

fn ask(gateway: &Gateway, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&gateway.front).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time");
    stream.write_all(request(path).as_bytes()).expect("it reads");
    stream
}

/// A client that reads an answer slowly gets all of it from a gateway that is told to end meanwhile.
#[test]
fn an_answer_that_is_on_its_way_ends_whole() {
    let (_fleet, _core, mut gateway) = served();
    let mut stream = ask(&gateway, "/s/large");
    let mut got = vec![0; 1024];
    stream.read_exact(&mut got).expect("the answer begins");
    let head = got.windows(4).position(|end| end == b"\r\n\r\n").expect("a whole head") + 4;

    signal(&gateway.proxy, "-TERM");
    // It takes no clients by then, and has nothing else in its hands.
    let told = Instant::now();
    while told.elapsed() < LINGERS {
        let ended = gateway.proxy.0.try_wait().expect("it is known");
        assert!(
            ended.is_none(),
            "it ended {:?} after it was told, with an answer on its way",
            told.elapsed()
        );
        std::thread::yield_now();
    }
    let mut left = LARGE - (got.len() - head);
    let mut piece = vec![0; 1 << 20];
    while left > 0 {
        let read = stream.read(&mut piece).unwrap_or(0);
        assert!(read > 0, "the answer was cut with {left} bytes to come");
        left -= read;
    }
    assert!(gateway.proxy.0.wait().expect("it ends").success());
}

/// Clients whose backend never answers are told so before a gateway ends that is told to, also those whose requests came
/// behind another one.
#[test]
fn a_request_without_an_answer_of_its_backend_is_told_so_at_the_end() {
    let (_fleet, _core, mut gateway) = served();
    let mut stream = ask(&gateway, "/s/silent");
    stream.write_all(request("/s/silent").as_bytes()).expect("it reads");
    let metrics = || call(&gateway.ready, "GET", "/metrics", "", "");
    until("both in hand", || metrics().filter(|figures| figures.body.contains("pelion_open 2")));

    signal(&gateway.proxy, "-TERM");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    assert_eq!(text.matches("HTTP/1.1 502").count(), 2, "not both were answered: {text:?}");
    assert!(gateway.proxy.0.wait().expect("it ends").success());
}
