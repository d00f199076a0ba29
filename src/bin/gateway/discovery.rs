//! Client of the discovery service: follows the backend list on a long-lived watch request.

use crate::backend_protocol::RegistryNames;
use crate::config::{endpoint_changed, Endpoints, Registry};
use crate::logs::targets;
use bytes::BytesMut;
use oakfall::plane::driver::Driver;
use oakfall::plane::http::Reader;
use oakfall::plane::warning_limiter::{warn_limited, WarningLimiter};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// Discovery sends an empty line every 2 s; a watch without data for this long is reopened.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff limit after a rejection, per gateway of the fleet: discovery receives some ten attempts a second
/// at first, then fewer; more in large fleets, where `MAX_REJECTED_BACKOFF` caps the limit.
const REJECTED_BACKOFF: Duration = Duration::from_millis(100);
/// The backoff limit doubles with each rejection, up to this factor.
const MAX_REJECTED_FACTOR: u32 = 4;
const MIN_REJECTED_BACKOFF: Duration = Duration::from_millis(200);
const MAX_REJECTED_BACKOFF: Duration = Duration::from_secs(60);
/// Retry interval while discovery is unreachable, per gateway of the fleet: some 300 attempts a second in
/// total, and more above 1,200 gateways, where `MAX_UNREACHABLE_INTERVAL` caps the interval.
const UNREACHABLE_INTERVAL: Duration = Duration::from_micros(3300);
const MIN_UNREACHABLE_INTERVAL: Duration = Duration::from_millis(200);
/// Together with the connection timeout, less than the 6 s after which missed changes count as delivered.
const MAX_UNREACHABLE_INTERVAL: Duration = Duration::from_secs(4);
/// Size limit of a line, and of the full list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a watch ended.
#[derive(Debug)]
enum WatchError {
    /// Connecting failed, the connection broke, or nothing was received in time.
    Unreachable(io::Error),
    /// Discovery responded with this error status.
    Rejected(u16),
}

impl From<io::Error> for WatchError {
    fn from(e: io::Error) -> Self {
        WatchError::Unreachable(e)
    }
}

impl From<Elapsed> for WatchError {
    fn from(e: Elapsed) -> Self {
        WatchError::Unreachable(e.into())
    }
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Unreachable(e) => e.fmt(f),
            WatchError::Rejected(status) => write!(f, "status {status}"),
        }
    }
}

/// Delays between attempts. While discovery is unreachable each gateway has a fixed slot in a common
/// interval. After a rejection the delay is random with a growing limit, so that gateways do not retry in
/// step.
struct Backoff {
    gateways: u32,
    position: u32,
    /// Discovery was unreachable at the last attempt; the gateway now retries once per interval.
    unreachable: bool,
    factor: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    fn new(gateways: u32, position: u32, seed: u64) -> Self {
        Backoff { gateways, position, unreachable: false, factor: 1, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Delay after one more failure.
    fn next_delay(&mut self, error: &WatchError) -> Duration {
        if let WatchError::Unreachable(_) = error {
            let interval = UNREACHABLE_INTERVAL
                .saturating_mul(self.gateways)
                .clamp(MIN_UNREACHABLE_INTERVAL, MAX_UNREACHABLE_INTERVAL);
            let first = !std::mem::replace(&mut self.unreachable, true);
            let slot = f64::from(self.position % self.gateways.max(1)) / f64::from(self.gateways.max(1));
            return if first { interval.mul_f64(slot) } else { interval };
        }
        self.unreachable = false;
        let limit = (REJECTED_BACKOFF * self.factor).saturating_mul(self.gateways);
        self.factor = (self.factor * 2).min(MAX_REJECTED_FACTOR);
        limit.clamp(MIN_REJECTED_BACKOFF, MAX_REJECTED_BACKOFF).mul_f64(self.rng.f64())
    }

    /// Resets the backoff after a successful response.
    fn reset(&mut self) {
        (self.factor, self.unreachable) = (1, false);
    }
}

/// Keeps a watch open until the program ends. While discovery is unreachable the last list stays in use.
pub async fn run(
    mut endpoints: Receiver<Endpoints>, mut version: u64, (gateways, position): (u32, u32), seed: u64,
    names: RegistryNames, driver: Rc<Driver>,
) {
    let warnings = WarningLimiter::default();
    let (mut needs_full_list, mut backoff) = (false, Backoff::new(gateways, position, seed));
    loop {
        let addr = endpoints.borrow_and_update().discovery;
        tokio::select! {
            ended = watch(addr, &mut version, &mut needs_full_list, &mut backoff, &names, &driver) => {
                warn_limited!(
                    targets::DISCOVERY,
                    warnings,
                    "discovery watch ended; keeping the last backend list",
                    &ended
                );
                sleep(backoff.next_delay(&ended)).await;
            }
            // Changes from the former address may have been missed: fetch the full list.
            () = endpoint_changed(&mut endpoints, |endpoints| endpoints.discovery != addr) => needs_full_list = true,
        }
    }
}

async fn watch(
    addr: SocketAddr, version: &mut u64, needs_full_list: &mut bool, backoff: &mut Backoff,
    names: &RegistryNames, driver: &Rc<Driver>,
) -> WatchError {
    match try_watch(addr, version, needs_full_list, backoff, names, driver).await {
        Ok(()) => io::Error::other("connection closed").into(),
        Err(e) => e,
    }
}

async fn try_watch(
    addr: SocketAddr, version: &mut u64, needs_full_list: &mut bool, backoff: &mut Backoff,
    names: &RegistryNames, driver: &Rc<Driver>,
) -> Result<(), WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    let mut reader = Reader::new(stream);
    if *needs_full_list {
        // After a gap changes cannot be applied: fetch the full list.
        let get = format!("GET /registry/instances HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        reader.io.write_all(get.as_bytes()).await?;
        let (head, body) = timeout(READ_TIMEOUT, reader.read_response(MAX_LIST_BYTES)).await??;
        if head.status != 200 {
            return Err(WatchError::Rejected(head.status));
        }
        apply_update(&body, version, needs_full_list, names, driver)?;
    }
    let get = format!("GET /registry/instances?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    reader.io.write_all(get.as_bytes()).await?;
    let head = timeout(READ_TIMEOUT, reader.read_head()).await??;
    if head.status != 200 {
        return Err(WatchError::Rejected(head.status));
    }
    backoff.reset();
    let mut text = BytesMut::new();
    while let Some(bytes) = timeout(READ_TIMEOUT, reader.next_bytes()).await?? {
        text.extend_from_slice(&bytes);
        while let Some(end) = text.iter().position(|b| *b == b'\n') {
            let line = text.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                driver.discovery_synced();
            } else {
                apply_update(&line, version, needs_full_list, names, driver)?;
            }
        }
        if text.len() > MAX_LIST_BYTES {
            return Err(io::Error::other("line too long").into());
        }
    }
    Ok(())
}

/// Applies one list or change. An invalid one changes nothing and sets `needs_full_list`.
fn apply_update(
    line: &[u8], version: &mut u64, needs_full_list: &mut bool, names: &RegistryNames, driver: &Rc<Driver>,
) -> io::Result<()> {
    *needs_full_list = true;
    let registry: Registry = serde_json::from_slice(line)?;
    if !registry.full && registry.version < *version {
        return Err(io::Error::other("received a change older than the list"));
    }
    *version = registry.version;
    *needs_full_list = false;
    let (full, backends) = names.to_backends(registry);
    driver.update_backends(full, backends);
    driver.discovery_synced();
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const REJECTED: WatchError = WatchError::Rejected(503);

    fn unreachable() -> WatchError {
        io::Error::from(io::ErrorKind::TimedOut).into()
    }

    /// Attempts in each second when all gateways lose discovery at once and every attempt is rejected.
    fn rejected_attempts(gateways: u32) -> Vec<usize> {
        let mut attempts = vec![0; 60];
        for seed in 0..u64::from(gateways) {
            let mut backoff = Backoff::new(gateways, seed as u32, seed);
            let mut at = backoff.next_delay(&REJECTED);
            while at < Duration::from_secs(60) {
                attempts[at.as_secs() as usize] += 1;
                at += backoff.next_delay(&REJECTED);
            }
        }
        attempts
    }

    #[test]
    fn rejected_attempts_of_a_fleet_are_spread_over_time() {
        for gateways in [100, 400] {
            let attempts = rejected_attempts(gateways);
            assert!(attempts.iter().all(|attempts| *attempts <= 40), "{gateways} gateways: {attempts:?}");
            assert!(
                attempts.iter().filter(|attempts| **attempts > 0).count() > 50,
                "{gateways} gateways: {attempts:?}"
            );
        }
    }

    #[test]
    fn small_fleets_retry_quickly() {
        let mut backoff = Backoff::new(3, 0, 1);
        assert!((0..20).all(|_| backoff.next_delay(&REJECTED) <= Duration::from_millis(1200)));
        backoff.reset();
        assert!(backoff.next_delay(&REJECTED) <= Duration::from_millis(300));
        assert!(Backoff::new(0, 0, 1).next_delay(&REJECTED) <= Duration::from_millis(200));
        assert!(Backoff::new(u32::MAX, 0, 1).next_delay(&REJECTED) <= Duration::from_secs(60));
        assert!(Backoff::new(0, 0, 1).next_delay(&unreachable()) <= Duration::from_millis(200));
        assert!(Backoff::new(u32::MAX, u32::MAX, 1).next_delay(&unreachable()) <= Duration::from_secs(4));
    }

    /// All gateways lose discovery at once for `outage`; an attempt begun during it fails after
    /// `attempt_time`. Returns the maximum of attempts in one second, and the time until the last gateway has
    /// reconnected.
    fn simulate_outage(gateways: u32, attempt_time: Duration, outage: Duration) -> (usize, Duration) {
        let (mut attempts, mut last) = (vec![0; outage.as_secs() as usize + 8], Duration::ZERO);
        for position in 0..gateways {
            let mut backoff = Backoff::new(gateways, position, u64::from(position));
            let mut at = backoff.next_delay(&unreachable());
            while at < outage {
                attempts[at.as_secs() as usize] += 1;
                at += attempt_time + backoff.next_delay(&unreachable());
            }
            last = last.max(at - outage);
        }
        (attempts.into_iter().max().unwrap_or(0), last)
    }

    #[test]
    fn all_gateways_reconnect_soon_after_an_outage_with_bounded_attempts() {
        for gateways in [3, 100, 400, 3000] {
            for outage in [1, 8, 30].map(Duration::from_secs) {
                for attempt_time in [Duration::ZERO, CONNECT_TIMEOUT] {
                    let (max_attempts, last) = simulate_outage(gateways, attempt_time, outage);
                    let (bound, max_last_ms) =
                        if gateways < 100 { (15, 1200) } else { (310.max(gateways / 3), 5000) };
                    assert!(
                        max_attempts <= bound as usize,
                        "{gateways} gateways, {outage:?}: {max_attempts} attempts a second"
                    );
                    assert!(
                        last <= Duration::from_millis(max_last_ms),
                        "{gateways} gateways, {outage:?}: {last:?}"
                    );
                }
            }
        }
        // If attempts fail at once, 300 gateways reconnect within a second, before any backend has drained.
        assert!(simulate_outage(300, Duration::ZERO, Duration::from_secs(8)).1 <= Duration::from_secs(1));
    }
}
