//! Links between processes that can be cut: each goes through a relay of this test.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a relay looks whether its link is cut, and whether it has ended.
const LOOK: Duration = Duration::from_millis(20);

/// What is cut of one link; the bytes of a cut direction wait, as on a network without an answer.
#[derive(Default)]
pub struct Cut {
    pub there: AtomicBool,
    pub back: AtomicBool,
}

/// Passes on what comes in one direction while it is not cut.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: impl Fn() -> bool) {
    let _ = from.set_read_timeout(Some(LOOK));
    let mut piece = [0; 16 * 1024];
    loop {
        if cut() {
            thread::park_timeout(LOOK);
            continue;
        }
        match from.read(&mut piece) {
            Ok(0) => break,
            Ok(read) => {
                // What was read before a cut began waits for its end.
                while cut() {
                    thread::park_timeout(LOOK);
                }
                if to.write_all(&piece[..read]).is_err() {
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

/// A relay to this address: where it listens, and what is cut of it. It lasts as long as the test.
pub fn relay(to: SocketAddr) -> (SocketAddr, Arc<Cut>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("bound");
    let cut = Arc::new(Cut::default());
    let shared = cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = shared.clone();
            thread::spawn(move || {
                while cut.there.load(Ordering::Relaxed) || cut.back.load(Ordering::Relaxed) {
                    thread::park_timeout(LOOK);
                }
                let Ok(other) = TcpStream::connect(to) else { return };
                let Some((back, answers)) = stream.try_clone().ok().zip(other.try_clone().ok()) else {
                    return;
                };
                let backward = cut.clone();
                thread::spawn(move || pass(answers, back, || backward.back.load(Ordering::Relaxed)));
                pass(stream, other, || cut.there.load(Ordering::Relaxed));
            });
        }
    });
    (at, cut)
}
