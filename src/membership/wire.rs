//! The form of datagrams between members. What can't be read is named by its reason.

use super::{Identity, Name, Record, State};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Longest datagram: below the least MTU in common use (1,280), headers and a tunnel's included.
pub const DATAGRAM_MOST: usize = 1_200;
/// Longest name of a member, in bytes.
pub const NAME_MOST: usize = 64;
/// A start beyond this is absurd: it leaves room to go on from any that is taken, and lies in the year 10889.
pub const START_MOST: u64 = 1 << 48;
/// And so is an incarnation beyond this.
pub const INCARNATION_MOST: u32 = 1 << 31;

const MAGIC: [u8; 3] = *b"cty";
/// The form below. Members of another one are not understood.
const VERSION: u8 = 1;
/// Longest record of a member: name, address, start, incarnation, state and accuser.
const RECORD_MOST: usize = 1 + NAME_MOST + 6 + 8 + 4 + 1 + 4;
/// Everything of a datagram but its news at the most: magic to sequence, the sender and the longest body.
const HEAD_MOST: usize = 4 + 8 + 1 + 4 + RECORD_MOST + (1 + NAME_MOST) + 2;
const _: () = assert!(HEAD_MOST + RECORD_MOST <= DATAGRAM_MOST);
const DRAINING: u8 = 0x80;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Longer than any that members send.
    Oversized,
    /// It ends before it is whole.
    Truncated,
    /// Not of this protocol at all.
    Foreign,
    /// Of another version of it.
    Version,
    /// Of another cluster.
    Cluster,
    /// Bytes that no member writes, or absurd figures.
    Malformed,
    /// Sent by this very process.
    Echo,
    /// From a process that bears this one's name.
    Namesake,
    /// More than one sender, or all together, may send.
    Flood,
    /// An answer to nothing that was asked.
    Unsolicited,
    /// A member beyond the most that are held.
    Full,
}

/// The reasons and their names for operators.
pub const DROPPED: [(Dropped, &str); 11] = [
    (Dropped::Oversized, "oversized"),
    (Dropped::Truncated, "truncated"),
    (Dropped::Foreign, "foreign"),
    (Dropped::Version, "version"),
    (Dropped::Cluster, "cluster"),
    (Dropped::Malformed, "malformed"),
    (Dropped::Echo, "echo"),
    (Dropped::Namesake, "namesake"),
    (Dropped::Flood, "flood"),
    (Dropped::Unsolicited, "unsolicited"),
    (Dropped::Full, "full"),
];

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Are you there?
    Ping,
    /// Yes. It answers the ping or the indirect one of the same sequence number.
    Ack,
    /// Ask this member for me, whom I do not hear.
    PingReq { target: Name },
    /// It has not answered me as yet; but I am here.
    Nack,
    /// Which members do you know whose names come after this one? I know so many others that are present.
    Pull { after: Name, known: u16 },
    /// These, the last of which is so named; and whether there are more.
    Page { last: Name, more: bool },
    /// Nothing but news.
    News,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The cluster's number: a digest of its name.
    pub cluster: u64,
    /// Names the question that an answer belongs to.
    pub seq: u32,
    /// Who sent it, as it stands.
    pub sender: Record,
    /// What it asks or answers.
    pub body: Body,
    /// What else the sender knows.
    pub news: Vec<Record>,
}

/// FNV-1a: the same on all machines and in all versions of the program.
pub fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// A digest that names who suspects a member.
pub fn accuser(name: &str) -> u32 {
    digest(name) as u32
}

impl Datagram {
    /// The datagram without its news; `put` adds them, as far as there is room.
    pub fn head(&self) -> Vec<u8> {
        let mut to = Vec::with_capacity(256);
        to.extend(MAGIC);
        to.push(VERSION);
        to.extend(self.cluster.to_be_bytes());
        to.push(match self.body {
            Body::Ping => 1,
            Body::Ack => 2,
            Body::PingReq { .. } => 3,
            Body::Nack => 4,
            Body::Pull { .. } => 5,
            Body::Page { .. } => 6,
            Body::News => 7,
        });
        to.extend(self.seq.to_be_bytes());
        put(&mut to, &self.sender);
        match &self.body {
            Body::PingReq { target } => put_name(&mut to, target),
            Body::Pull { after, known } => {
                put_name(&mut to, after);
                to.extend(known.to_be_bytes());
            }
            Body::Page { last, more } => {
                put_name(&mut to, last);
                to.push(u8::from(*more));
            }
            Body::Ping | Body::Ack | Body::Nack | Body::News => {}
        }
        to
    }

    /// Reads a datagram of the cluster.
    pub fn read(bytes: &[u8], cluster: u64) -> Result<Datagram, Dropped> {
        if bytes.len() > DATAGRAM_MOST {
            return Err(Dropped::Oversized);
        }
        let mut from = From(bytes);
        if from.array::<3>().ok_or(Dropped::Truncated)? != MAGIC {
            return Err(Dropped::Foreign);
        }
        if from.byte().ok_or(Dropped::Truncated)? != VERSION {
            return Err(Dropped::Version);
        }
        if from.array().map(u64::from_be_bytes).ok_or(Dropped::Truncated)? != cluster {
            return Err(Dropped::Cluster);
        }
        let kind = from.byte().ok_or(Dropped::Truncated)?;
        let seq = from.array().map(u32::from_be_bytes).ok_or(Dropped::Truncated)?;
        let sender = from.record()?;
        // Nobody sends after it has left but to say so, and nobody calls itself suspect or down.
        if !matches!(sender.state, State::Alive | State::Left) {
            return Err(Dropped::Malformed);
        }
        let body = match kind {
            1 => Body::Ping,
            2 => Body::Ack,
            3 => Body::PingReq { target: from.name()? },
            4 => Body::Nack,
            5 => Body::Pull {
                after: from.any_name()?,
                known: from.array().map(u16::from_be_bytes).ok_or(Dropped::Truncated)?,
            },
            6 => Body::Page {
                last: from.any_name()?,
                more: match from.byte().ok_or(Dropped::Truncated)? {
                    0 => false,
                    1 => true,
                    _ => return Err(Dropped::Malformed),
                },
            },
            7 => Body::News,
            _ => return Err(Dropped::Malformed),
        };
        let mut news = Vec::new();
        while !from.0.is_empty() {
            news.push(from.record()?);
        }
        Ok(Datagram { cluster, seq, sender, body, news })
    }
}

fn put_name(to: &mut Vec<u8>, name: &str) {
    // Names are checked when they come in: none is longer than a byte tells.
    to.push(name.len().min(NAME_MOST) as u8);
    to.extend(&name.as_bytes()[..name.len().min(NAME_MOST)]);
}

/// Appends a record.
pub fn put(to: &mut Vec<u8>, record: &Record) {
    let Identity { name, addr, start } = &record.who;
    put_name(to, name);
    to.extend(addr.ip().octets());
    to.extend(addr.port().to_be_bytes());
    to.extend(start.to_be_bytes());
    to.extend(record.incarnation.to_be_bytes());
    to.push(record.state as u8 | if record.draining { DRAINING } else { 0 });
    if record.state == State::Suspect {
        to.extend(record.accuser.to_be_bytes());
    }
}

/// What is left to be read.
struct From<'a>(&'a [u8]);

impl From<'_> {
    fn byte(&mut self) -> Option<u8> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (array, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*array)
    }

    /// A name, or nothing.
    fn any_name(&mut self) -> Result<Name, Dropped> {
        let length = usize::from(self.byte().ok_or(Dropped::Truncated)?);
        if length > NAME_MOST {
            return Err(Dropped::Malformed);
        }
        let (name, rest) = self.0.split_at_checked(length).ok_or(Dropped::Truncated)?;
        self.0 = rest;
        let name = std::str::from_utf8(name).map_err(|_| Dropped::Malformed)?;
        if name.chars().any(char::is_control) {
            return Err(Dropped::Malformed);
        }
        Ok(name.into())
    }

    fn name(&mut self) -> Result<Name, Dropped> {
        self.any_name().and_then(|name| if name.is_empty() { Err(Dropped::Malformed) } else { Ok(name) })
    }

    fn record(&mut self) -> Result<Record, Dropped> {
        let name = self.name()?;
        let ip = self.array::<4>().ok_or(Dropped::Truncated)?;
        let port = self.array().map(u16::from_be_bytes).ok_or(Dropped::Truncated)?;
        let start = self.array().map(u64::from_be_bytes).ok_or(Dropped::Truncated)?;
        let incarnation = self.array().map(u32::from_be_bytes).ok_or(Dropped::Truncated)?;
        let flags = self.byte().ok_or(Dropped::Truncated)?;
        let state = match flags & !DRAINING {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            3 => State::Left,
            _ => return Err(Dropped::Malformed),
        };
        let accuser = match state {
            State::Suspect => self.array().map(u32::from_be_bytes).ok_or(Dropped::Truncated)?,
            _ => 0,
        };
        let addr = SocketAddrV4::new(Ipv4Addr::from(ip), port);
        if port == 0
            || addr.ip().is_unspecified()
            || addr.ip().is_multicast()
            || addr.ip().is_broadcast()
            || start > START_MOST
            || incarnation > INCARNATION_MOST
        {
            return Err(Dropped::Malformed);
        }
        let who = Identity { name, addr, start };
        Ok(Record { who, incarnation, state, draining: flags & DRAINING != 0, accuser })
    }
}
