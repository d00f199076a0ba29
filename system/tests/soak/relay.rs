//! TCP relays that can block one or both directions of a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a relay checks whether its direction is blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The blocked directions of one link. Bytes in a blocked direction are delayed, not dropped.
#[derive(Default)]
pub struct Blocked {
    pub forward: AtomicBool,
    pub backward: AtomicBool,
}

/// Copies bytes in one direction, and pauses while it is blocked.
fn copy(mut from: TcpStream, mut to: TcpStream, blocked: impl Fn() -> bool) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 16 * 1024];
    loop {
        if blocked() {
            thread::park_timeout(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                // The direction may have been blocked during the read.
                while blocked() {
                    thread::park_timeout(POLL_INTERVAL);
                }
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Starts a relay to this address that runs until the test process ends; returns its listen address and its
/// control.
pub fn start_relay(target: SocketAddr) -> (SocketAddr, Arc<Blocked>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let blocked = Arc::new(Blocked::default());
    let shared = blocked.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let blocked = shared.clone();
            thread::spawn(move || {
                while blocked.forward.load(Ordering::Relaxed) || blocked.backward.load(Ordering::Relaxed) {
                    thread::park_timeout(POLL_INTERVAL);
                }
                let Ok(upstream) = TcpStream::connect(target) else { return };
                let Some((client, responses)) = stream.try_clone().ok().zip(upstream.try_clone().ok()) else {
                    return;
                };
                let shared = blocked.clone();
                thread::spawn(move || copy(responses, client, || shared.backward.load(Ordering::Relaxed)));
                copy(stream, upstream, || blocked.forward.load(Ordering::Relaxed));
            });
        }
    });
    (address, blocked)
}
