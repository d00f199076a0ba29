//! Charges of requests to their tenants' quotas: the link to the counter, and the wait for its totals.

use super::{Proxy, RECONNECT_DELAY};
use crate::link::{self, MessageReader, MessageSender};
use crate::pending_charges::PendingMessages;
use crate::protocol::{Charge, Charges, Hello, Purpose, Totals};
use crate::quota::{self, ChargeTotal, Verdict};
use crate::routes::Tenant;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// Maximum wait for the quota counter, as a share of the route's target latency.
const COUNTER_TIMEOUT_OF_TARGET: f64 = 0.35;

/// A charge to send to the quota counter.
pub(super) struct ChargeRequest {
    tenant: String,
    charge: quota::Charge,
    response: oneshot::Sender<Option<ChargeTotal>>,
}

impl Proxy {
    pub(super) async fn run_charges(self: Rc<Self>, mut charge_requests: UnboundedReceiver<ChargeRequest>) {
        let mut counter = self.counter_addr.subscribe();
        loop {
            let at = *counter.borrow_and_update();
            let stream = match at {
                Some(at) => link::connect(self.settings.dial_addr(at)).await.ok(),
                None => None,
            };
            match stream {
                Some(stream) => self.exchange_charges(stream, &mut charge_requests, &mut counter).await,
                None => {
                    // Without a counter, pending charges fail at once.
                    while let Ok(failed) = charge_requests.try_recv() {
                        drop(failed.response);
                    }
                    let _ = timeout(RECONNECT_DELAY, counter.changed()).await;
                }
            }
        }
    }

    async fn exchange_charges(
        &self, stream: TcpStream, charge_requests: &mut UnboundedReceiver<ChargeRequest>,
        counter: &mut watch::Receiver<Option<SocketAddr>>,
    ) {
        let (read, write) = stream.into_split();
        let (outgoing, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        outgoing.send(&Hello { purpose: Purpose::Counter as i32 });
        self.quota_client.borrow_mut().counter_connected();
        let mut incoming = MessageReader::<Totals>::new(read);
        let mut waiting: PendingMessages<Vec<oneshot::Sender<Option<ChargeTotal>>>> =
            PendingMessages::default();
        loop {
            tokio::select! {
                _ = counter.changed() => break,
                totals = incoming.next() => {
                    let Ok(Totals { sequence, authoritative, totals }) = totals else { break };
                    let Some(responses) = waiting.complete(sequence) else { continue };
                    for (index, response) in responses.into_iter().enumerate() {
                        let total = totals.get(index).filter(|_| authoritative);
                        let counted = total.map(|total| ChargeTotal {
                            units: total.units,
                            limit: total.limit,
                            left_ms: f64::from(total.remaining_ms),
                            window: total.window,
                        });
                        // The receiver may have timed out.
                        let _ = response.send(counted);
                    }
                }
                first = charge_requests.recv() => {
                    let Some(first) = first else { return };
                    let (mut charges, mut responses) = (Vec::new(), Vec::new());
                    let mut next = Some(first);
                    while let Some(ChargeRequest { tenant, charge, response }) = next {
                        let quota::Charge { units, refund, window } = charge;
                        charges.push(Charge { tenant, units, refund, window });
                        responses.push(response);
                        next = charge_requests.try_recv().ok();
                    }
                    let Some(sequence) = waiting.register(responses) else { break };
                    if !outgoing.send(&Charges { sequence, charges }) {
                        break;
                    }
                }
            }
        }
        writer.abort();
    }

    /// Charges one request to its tenant's quota.
    pub(super) async fn charge_tenant(self: &Rc<Self>, tenant: &Rc<Tenant>, target: Duration) -> Verdict {
        let verdict = self.quota_client.borrow_mut().admit(self.now(), &tenant.name);
        match verdict {
            Verdict::Charge(charge) => self.send_charge(tenant, charge, target, true).await,
            Verdict::PassAndCharge(charge) => {
                let (proxy, tenant) = (self.clone(), tenant.clone());
                tokio::task::spawn_local(
                    async move { proxy.send_charge(&tenant, charge, target, false).await },
                );
                Verdict::Pass
            }
            verdict => verdict,
        }
    }

    async fn send_charge(
        &self, tenant: &Tenant, charge: quota::Charge, target: Duration, request_waits: bool,
    ) -> Verdict {
        let start = self.now();
        let (response, total) = oneshot::channel();
        let sent = self.charges.send(ChargeRequest { tenant: tenant.name.clone(), charge, response });
        let total = match sent {
            Ok(()) => timeout(target.mul_f64(COUNTER_TIMEOUT_OF_TARGET), total).await,
            Err(_) => Ok(Ok(None)),
        };
        let mut quota_client = self.quota_client.borrow_mut();
        let now = self.now();
        match total {
            Ok(Ok(Some(counted))) => {
                quota_client.total_received(now, &tenant.name, charge, now - start, counted, request_waits)
            }
            // Not charged, not authoritative, or timed out.
            Ok(_) | Err(_) => quota_client.charge_unanswered(now, &tenant.name, request_waits),
        }
    }
}
