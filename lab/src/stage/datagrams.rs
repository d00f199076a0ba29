//! Datagrams between gateways: each advertises a relay of the stage, which knows who sends by where it sends from.

use crate::fault::Node;
use crate::stage::World;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// One that comes out of order comes so much later than it would, in s.
const DISORDER_S: f64 = 0.03;
/// Datagrams under way through one relay, at most; more are lost, as on a real network.
const UNDER_WAY: usize = 4096;

/// The relays of a cluster.
pub struct Relays {
    sockets: Vec<Arc<UdpSocket>>,
    /// What each gateway advertises.
    pub at: Vec<SocketAddr>,
    /// Where each gateway's own socket is, once it has told.
    places: Mutex<Vec<Option<SocketAddr>>>,
}

impl Relays {
    /// One for each gateway.
    pub async fn new(gateways: usize) -> io::Result<Relays> {
        let (mut sockets, mut at) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            at.push(socket.local_addr()?);
            sockets.push(Arc::new(socket));
        }
        Ok(Relays { sockets, at, places: Mutex::new(vec![None; gateways]) })
    }

    /// A gateway's socket is there now.
    pub fn is_at(&self, gateway: usize, at: SocketAddr) {
        self.places.lock().unwrap_or_else(|e| e.into_inner())[gateway] = Some(at);
    }

    /// Relays until the run ends.
    pub fn run(self: &Arc<Self>, world: &Arc<World>) {
        for to in 0..self.sockets.len() {
            let (relays, world) = (self.clone(), world.clone());
            tokio::spawn(async move { relays.relay(&world, to).await });
        }
    }

    async fn relay(&self, world: &Arc<World>, to: usize) {
        let (mut buf, under_way) = (vec![0; 65_536], Arc::new(tokio::sync::Semaphore::new(UNDER_WAY)));
        loop {
            // An error tells of an earlier datagram that found nobody.
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buf).await else { continue };
            let (from, place) = {
                let places = self.places.lock().unwrap_or_else(|e| e.into_inner());
                (places.iter().position(|place| *place == Some(from)), places[to])
            };
            let Some(place) = place else { continue };
            // One that the stage does not know yet has no faults.
            let Some(from) = from else {
                let _ = self.sockets[to].try_send_to(&buf[..length], place);
                continue;
            };
            let effect = world.links.effect(Node::Gateway(from), Node::Gateway(to), world.now());
            if effect.is_none() {
                let _ = self.sockets[to].try_send_to(&buf[..length], place);
                continue;
            }
            let (lost, copies, delay) = {
                let mut rng = rand::rng();
                let late = if rng.random_bool(effect.reorder) { DISORDER_S } else { 0.0 };
                (
                    effect.cut || rng.random_bool(effect.loss),
                    1 + usize::from(rng.random_bool(effect.duplicate)),
                    effect.delay_s + effect.jitter_s * rng.random::<f64>() + late,
                )
            };
            if lost {
                continue;
            }
            for _ in 0..copies {
                let Ok(permit) = under_way.clone().try_acquire_owned() else { continue };
                let (socket, datagram) = (self.sockets[to].clone(), buf[..length].to_vec());
                tokio::spawn(async move {
                    let _held = permit;
                    tokio::time::sleep(Duration::from_secs_f64(delay)).await;
                    let _ = socket.send_to(&datagram, place).await;
                });
            }
        }
    }
}
