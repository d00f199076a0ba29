//! Short messages between gateways, as UDP datagrams.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

/// Longest message.
const MESSAGE_MOST: usize = 256;
/// Wait between two tries for the address.
const AGAIN: Duration = Duration::from_millis(100);

/// The socket between gateways and the addresses of the others.
pub struct Peers {
    listen: SocketAddr,
    /// Bound once the address is free: during an upgrade the process beside this one holds it.
    socket: OnceCell<UdpSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn new(listen: SocketAddr, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        Peers { listen, socket: OnceCell::new(), peers, all }
    }

    /// Binds the socket, unless it is.
    pub async fn bind(&self) -> std::io::Result<()> {
        if self.socket.get().is_none() {
            // Nobody else binds it meanwhile: there is one task for that.
            let _ = self.socket.set(UdpSocket::bind(self.listen).await?);
        }
        Ok(())
    }

    /// Sends to one gateway, or to all with every bit of `to` set. Messages may be lost, so one that the
    /// socket can't take now is.
    pub fn tell(&self, to: u32, body: &[u8]) {
        let addr = if to == u32::MAX { self.all } else { self.peers.get(to as usize).copied() };
        if let (Some(addr), Some(socket)) = (addr.filter(|_| body.len() <= MESSAGE_MOST), self.socket.get()) {
            let _ = socket.try_send_to(body, addr);
        }
    }
}

/// Takes in messages, `intake` a second at most, each with the number of the gateway that sent it.
pub async fn run(peers: Rc<Peers>, intake: f64, hears: impl Fn(u32, Vec<u8>)) {
    let mut buf = [0; MESSAGE_MOST + 1];
    let (mut room, mut at) = (intake, Instant::now());
    let socket = loop {
        match peers.socket.get() {
            Some(socket) => break socket,
            None => sleep(AGAIN).await,
        }
        // It stays with the other process until that ends.
        let _ = peers.bind().await;
    };
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else { continue };
        // Guards against strangers and against what no gateway may send.
        let Some(from) = peers.peers.iter().position(|p| *p == from) else { continue };
        if length > MESSAGE_MOST {
            continue;
        }
        room = (room + at.elapsed().as_secs_f64() * intake).min(intake);
        at = Instant::now();
        if room >= 1.0 {
            room -= 1.0;
            hears(from as u32, buf[..length].to_vec());
        }
    }
}
