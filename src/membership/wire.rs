//! Encoding and decoding of datagrams between members.

use super::{Identity, Name, Record, State};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum datagram length: fits the IPv6 minimum MTU of 1,280 bytes with headers and a tunnel's overhead.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum start time accepted (in the year 10889), so that a later one can always be represented.
pub const MAX_START_UNIX_MS: u64 = 1 << 48;
/// Maximum incarnation accepted, so that a higher one can always be represented.
pub const MAX_INCARNATION: u32 = 1 << 31;

const MAGIC: [u8; 3] = *b"cty";
/// Version of the encoding; datagrams of other versions are dropped.
const VERSION: u8 = 1;
/// Maximum length of a record: name, address, start, incarnation, state and accuser.
const MAX_RECORD_BYTES: usize = 1 + MAX_NAME_BYTES + 6 + 8 + 4 + 1 + 4;
/// Maximum length without updates: magic to sequence number, the sender and the longest body.
const MAX_HEADER_BYTES: usize = 4 + 8 + 1 + 4 + MAX_RECORD_BYTES + (1 + MAX_NAME_BYTES) + 2;
const _: () = assert!(MAX_HEADER_BYTES + MAX_RECORD_BYTES <= MAX_DATAGRAM_BYTES);
const DRAINING: u8 = 0x80;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Longer than the maximum length.
    Oversized,
    /// Ends before the last field.
    Truncated,
    /// Not of this protocol.
    Foreign,
    /// Of another protocol version.
    Version,
    /// Of another cluster.
    Cluster,
    /// Invalid encoding, or a value out of range.
    Malformed,
    /// Sent by this process itself.
    Echo,
    /// From another process with this one's name.
    Namesake,
    /// Over the rate limit of its sender or of all senders.
    Flood,
    /// An answer that matches no request, or any datagram once this process has left or is displaced.
    Unsolicited,
    /// Describes a new member while the table is full.
    Full,
}

/// The reasons and their names in metrics.
pub const DROP_REASONS: [(DropReason, &str); 11] = [
    (DropReason::Oversized, "oversized"),
    (DropReason::Truncated, "truncated"),
    (DropReason::Foreign, "foreign"),
    (DropReason::Version, "version"),
    (DropReason::Cluster, "cluster"),
    (DropReason::Malformed, "malformed"),
    (DropReason::Echo, "echo"),
    (DropReason::Namesake, "namesake"),
    (DropReason::Flood, "flood"),
    (DropReason::Unsolicited, "unsolicited"),
    (DropReason::Full, "full"),
];

/// Type of a datagram, with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Direct probe.
    Ping,
    /// Answers the ping or ping request with the same sequence number.
    Ack,
    /// Asks the receiver to probe the target for the sender.
    PingReq { target: Name },
    /// Tells the sender of a ping request that the target has not answered yet.
    Nack,
    /// Requests records of members with names after `after`; `known` counts the other members that the sender
    /// lists as present.
    Pull { after: Name, known: u16 },
    /// Answers a pull: the records end at the name `last`; `more` if others follow.
    Page { last: Name, more: bool },
    /// Only updates.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Digest of the cluster's name.
    pub cluster: u64,
    /// Sequence number that matches an answer to its request.
    pub seq: u32,
    /// The sender's record of itself.
    pub sender: Record,
    /// Type and fields.
    pub body: Body,
    /// Records of other members.
    pub updates: Vec<Record>,
}

/// 64-bit FNV-1a, which is stable across machines and versions.
pub fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// Digest that identifies the member that suspects another.
pub fn accuser_digest(name: &str) -> u32 {
    digest(name) as u32
}

impl Datagram {
    /// Encodes the datagram without its updates, which the caller appends by [`encode_record`] as far as they
    /// fit.
    pub fn encode_header(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(256);
        buf.extend(MAGIC);
        buf.push(VERSION);
        buf.extend(self.cluster.to_be_bytes());
        buf.push(match self.body {
            Body::Ping => 1,
            Body::Ack => 2,
            Body::PingReq { .. } => 3,
            Body::Nack => 4,
            Body::Pull { .. } => 5,
            Body::Page { .. } => 6,
            Body::Gossip => 7,
        });
        buf.extend(self.seq.to_be_bytes());
        encode_record(&mut buf, &self.sender);
        match &self.body {
            Body::PingReq { target } => encode_name(&mut buf, target),
            Body::Pull { after, known } => {
                encode_name(&mut buf, after);
                buf.extend(known.to_be_bytes());
            }
            Body::Page { last, more } => {
                encode_name(&mut buf, last);
                buf.push(u8::from(*more));
            }
            Body::Ping | Body::Ack | Body::Nack | Body::Gossip => {}
        }
        buf
    }

    /// Decodes a datagram of the given cluster.
    pub fn decode(bytes: &[u8], cluster: u64) -> Result<Datagram, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversized);
        }
        let mut reader = Reader(bytes);
        if reader.array::<3>().ok_or(DropReason::Truncated)? != MAGIC {
            return Err(DropReason::Foreign);
        }
        if reader.byte().ok_or(DropReason::Truncated)? != VERSION {
            return Err(DropReason::Version);
        }
        if reader.array().map(u64::from_be_bytes).ok_or(DropReason::Truncated)? != cluster {
            return Err(DropReason::Cluster);
        }
        let kind = reader.byte().ok_or(DropReason::Truncated)?;
        let seq = reader.array().map(u32::from_be_bytes).ok_or(DropReason::Truncated)?;
        let sender = reader.record()?;
        // A member reports itself only as alive or as having left.
        if !matches!(sender.state, State::Alive | State::Left) {
            return Err(DropReason::Malformed);
        }
        let body = match kind {
            1 => Body::Ping,
            2 => Body::Ack,
            3 => Body::PingReq { target: reader.name()? },
            4 => Body::Nack,
            5 => Body::Pull {
                after: reader.possibly_empty_name()?,
                known: reader.array().map(u16::from_be_bytes).ok_or(DropReason::Truncated)?,
            },
            6 => Body::Page {
                last: reader.possibly_empty_name()?,
                more: match reader.byte().ok_or(DropReason::Truncated)? {
                    0 => false,
                    1 => true,
                    _ => return Err(DropReason::Malformed),
                },
            },
            7 => Body::Gossip,
            _ => return Err(DropReason::Malformed),
        };
        let mut updates = Vec::new();
        while !reader.0.is_empty() {
            updates.push(reader.record()?);
        }
        Ok(Datagram { cluster, seq, sender, body, updates })
    }
}

fn encode_name(buf: &mut Vec<u8>, name: &str) {
    // Names are validated on input; the limit keeps the length within its byte.
    buf.push(name.len().min(MAX_NAME_BYTES) as u8);
    buf.extend(&name.as_bytes()[..name.len().min(MAX_NAME_BYTES)]);
}

/// Appends an encoded record.
pub fn encode_record(buf: &mut Vec<u8>, record: &Record) {
    let Identity { name, addr, start } = &record.identity;
    encode_name(buf, name);
    buf.extend(addr.ip().octets());
    buf.extend(addr.port().to_be_bytes());
    buf.extend(start.to_be_bytes());
    buf.extend(record.incarnation.to_be_bytes());
    buf.push(record.state as u8 | if record.draining { DRAINING } else { 0 });
    if record.state == State::Suspect {
        buf.extend(record.accuser.to_be_bytes());
    }
}

/// The bytes not yet decoded.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn byte(&mut self) -> Option<u8> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (array, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*array)
    }

    /// Reads a name that may be empty.
    fn possibly_empty_name(&mut self) -> Result<Name, DropReason> {
        let length = usize::from(self.byte().ok_or(DropReason::Truncated)?);
        if length > MAX_NAME_BYTES {
            return Err(DropReason::Malformed);
        }
        let (name, rest) = self.0.split_at_checked(length).ok_or(DropReason::Truncated)?;
        self.0 = rest;
        let name = std::str::from_utf8(name).map_err(|_| DropReason::Malformed)?;
        if name.chars().any(char::is_control) {
            return Err(DropReason::Malformed);
        }
        Ok(name.into())
    }

    fn name(&mut self) -> Result<Name, DropReason> {
        self.possibly_empty_name().and_then(|name| {
            if name.is_empty() {
                Err(DropReason::Malformed)
            } else {
                Ok(name)
            }
        })
    }

    fn record(&mut self) -> Result<Record, DropReason> {
        let name = self.name()?;
        let ip = self.array::<4>().ok_or(DropReason::Truncated)?;
        let port = self.array().map(u16::from_be_bytes).ok_or(DropReason::Truncated)?;
        let start = self.array().map(u64::from_be_bytes).ok_or(DropReason::Truncated)?;
        let incarnation = self.array().map(u32::from_be_bytes).ok_or(DropReason::Truncated)?;
        let flags = self.byte().ok_or(DropReason::Truncated)?;
        let state = match flags & !DRAINING {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            3 => State::Left,
            _ => return Err(DropReason::Malformed),
        };
        let accuser = match state {
            State::Suspect => self.array().map(u32::from_be_bytes).ok_or(DropReason::Truncated)?,
            _ => 0,
        };
        let addr = SocketAddrV4::new(Ipv4Addr::from(ip), port);
        if port == 0
            || addr.ip().is_unspecified()
            || addr.ip().is_multicast()
            || addr.ip().is_broadcast()
            || start > MAX_START_UNIX_MS
            || incarnation > MAX_INCARNATION
        {
            return Err(DropReason::Malformed);
        }
        let identity = Identity { name, addr, start };
        Ok(Record { identity, incarnation, state, draining: flags & DRAINING != 0, accuser })
    }
}
