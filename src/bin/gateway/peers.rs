//! Messages between gateways, sent as UDP datagrams.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

const MAX_MESSAGE_BYTES: usize = 256;
/// Delay between two attempts to bind the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The UDP socket and the addresses of the other gateways.
pub struct Peers {
    listen: SocketAddr,
    /// Set once the address is free: during an upgrade the old process still holds it.
    socket: OnceCell<UdpSocket>,
    peers: Vec<SocketAddr>,
    /// Address that reaches all gateways.
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn new(listen: SocketAddr, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        Peers { listen, socket: OnceCell::new(), peers, all }
    }

    /// Binds the socket unless it is bound already.
    pub async fn bind(&self) -> std::io::Result<()> {
        if self.socket.get().is_none() {
            // Only one task binds, so the cell is still empty.
            let _ = self.socket.set(UdpSocket::bind(self.listen).await?);
        }
        Ok(())
    }

    /// Sends to gateway number `to`, or to all if it is `u32::MAX`. A message that the socket cannot take at
    /// once is dropped: delivery is best effort.
    pub fn send(&self, to: u32, body: &[u8]) {
        let addr = if to == u32::MAX { self.all } else { self.peers.get(to as usize).copied() };
        if let (Some(addr), Some(socket)) =
            (addr.filter(|_| body.len() <= MAX_MESSAGE_BYTES), self.socket.get())
        {
            let _ = socket.try_send_to(body, addr);
        }
    }
}

/// Receives messages and passes them on with their sender's number, limited to `max_per_s`.
pub async fn run(peers: Rc<Peers>, max_per_s: f64, on_message: impl Fn(u32, Vec<u8>)) {
    let mut buf = [0; MAX_MESSAGE_BYTES + 1];
    let (mut tokens, mut refilled_at) = (max_per_s, Instant::now());
    let socket = loop {
        match peers.socket.get() {
            Some(socket) => break socket,
            None => sleep(BIND_RETRY_DELAY).await,
        }
        // Fails until the old process has ended.
        let _ = peers.bind().await;
    };
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
        // Ignore datagrams from unknown addresses, and oversized ones.
        let Some(from) = peers.peers.iter().position(|p| *p == from) else { continue };
        if length > MAX_MESSAGE_BYTES {
            continue;
        }
        tokens = (tokens + refilled_at.elapsed().as_secs_f64() * max_per_s).min(max_per_s);
        refilled_at = Instant::now();
        if tokens >= 1.0 {
            tokens -= 1.0;
            on_message(from as u32, buf[..length].to_vec());
        }
    }
}
