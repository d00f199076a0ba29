//! Datagrams between the members of a cluster. Each gateway advertises the address of a relay of the lab, which
//! identifies the sender by its address and applies the link faults.

use crate::fault::Node;
use crate::testbed::RunContext;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Additional delay of a datagram that is reordered, in s.
const REORDER_DELAY_S: f64 = 0.03;
/// Size of the receive buffer: above the maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum number of delayed datagrams in flight through one relay. Further ones are dropped.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 4096;

/// The relays of a cluster, one for each gateway.
pub struct DatagramRelays {
    sockets: Vec<Arc<UdpSocket>>,
    /// The address that each gateway advertises.
    pub advertised: Vec<SocketAddr>,
    /// The address of each gateway's own socket, once it is known.
    gateway_addresses: Mutex<Vec<Option<SocketAddr>>>,
}

impl DatagramRelays {
    /// Binds a socket for each gateway.
    pub async fn new(gateways: usize) -> io::Result<DatagramRelays> {
        let (mut sockets, mut advertised) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            advertised.push(socket.local_addr()?);
            sockets.push(Arc::new(socket));
        }
        Ok(DatagramRelays { sockets, advertised, gateway_addresses: Mutex::new(vec![None; gateways]) })
    }

    /// Sets the address of a gateway's own socket.
    pub fn set_member_address(&self, gateway: usize, address: SocketAddr) {
        self.gateway_addresses.lock().unwrap_or_else(|e| e.into_inner())[gateway] = Some(address);
    }

    /// Starts the relays, which work until the end of the lab run.
    pub fn start(self: &Arc<Self>, context: &Arc<RunContext>) {
        for receiver in 0..self.sockets.len() {
            let (relays, context) = (self.clone(), context.clone());
            tokio::spawn(async move { relays.relay_to(&context, receiver).await });
        }
    }

    /// Relays the datagrams that are addressed to one gateway.
    async fn relay_to(&self, context: &Arc<RunContext>, receiver: usize) {
        let (mut buf, in_flight) =
            (vec![0; MAX_DATAGRAM_BYTES], Arc::new(tokio::sync::Semaphore::new(MAX_DATAGRAMS_IN_FLIGHT)));
        loop {
            // An error reports that an earlier datagram could not be delivered.
            let Ok((length, sender_address)) = self.sockets[receiver].recv_from(&mut buf).await else {
                continue;
            };
            let (sender, receiver_address) = {
                let addresses = self.gateway_addresses.lock().unwrap_or_else(|e| e.into_inner());
                (addresses.iter().position(|address| *address == Some(sender_address)), addresses[receiver])
            };
            let Some(receiver_address) = receiver_address else { continue };
            // No fault applies to a sender whose address is not known yet.
            let Some(sender) = sender else {
                let _ = self.sockets[receiver].try_send_to(&buf[..length], receiver_address);
                continue;
            };
            let effect = context.links.effect(Node::Gateway(sender), Node::Gateway(receiver), context.now());
            if effect.is_none() {
                let _ = self.sockets[receiver].try_send_to(&buf[..length], receiver_address);
                continue;
            }
            let (is_lost, copies, delay_s) = {
                let mut rng = rand::rng();
                let reorder_s = if rng.random_bool(effect.reorder) { REORDER_DELAY_S } else { 0.0 };
                (
                    effect.cut || rng.random_bool(effect.loss),
                    1 + usize::from(rng.random_bool(effect.duplicate)),
                    effect.delay_s + effect.jitter_s * rng.random::<f64>() + reorder_s,
                )
            };
            if is_lost {
                continue;
            }
            for _ in 0..copies {
                let Ok(permit) = in_flight.clone().try_acquire_owned() else { continue };
                let (socket, datagram) = (self.sockets[receiver].clone(), buf[..length].to_vec());
                tokio::spawn(async move {
                    let _permit = permit;
                    tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
                    let _ = socket.send_to(&datagram, receiver_address).await;
                });
            }
        }
    }
}
