//! Encoding of the messages between gateways. No decision is made here.

use crate::interface::{CustomerId, RequestId};

/// Version of the message format; messages of other versions are ignored.
const VERSION: u8 = 1;

/// A message between two gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Message {
    /// Asks the customer's home gateway whether its quota has room for these units.
    BalanceRequest { id: RequestId, customer: CustomerId, plan: u8, units: f32 },
    /// The customer's balance, before the units of the request are deducted.
    BalanceResponse { id: RequestId, balance: f32 },
}

impl Message {
    pub(crate) fn encode(self) -> Vec<u8> {
        let mut body = vec![VERSION];
        match self {
            Message::BalanceRequest { id, customer, plan, units } => {
                body.extend(id.to_le_bytes());
                body.extend(customer.to_le_bytes());
                body.push(plan);
                body.extend(units.to_le_bytes());
            }
            Message::BalanceResponse { id, balance } => {
                body.extend(id.to_le_bytes());
                body.extend(balance.to_le_bytes());
            }
        }
        body
    }

    /// Returns `None` for a message of the wrong length or version, or with a value that is not finite.
    pub(crate) fn decode(body: &[u8]) -> Option<Message> {
        let (version, body) = body.split_first()?;
        let (id, body) = body.split_first_chunk()?;
        let id = u64::from_le_bytes(*id);
        let message = match body.len() {
            13 => {
                let (customer, body) = body.split_first_chunk()?;
                let (plan, units) = body.split_first()?;
                let units = f32::from_le_bytes(units.try_into().ok()?);
                Message::BalanceRequest { id, customer: u64::from_le_bytes(*customer), plan: *plan, units }
            }
            4 => Message::BalanceResponse { id, balance: f32::from_le_bytes(body.try_into().ok()?) },
            _ => return None,
        };
        let (Message::BalanceRequest { units: value, .. } | Message::BalanceResponse { balance: value, .. }) =
            message;
        (*version == VERSION && value.is_finite()).then_some(message)
    }
}
