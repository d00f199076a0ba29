//! Connections between the system's processes: messages with their length before them, and a way out for each
//! that is bounded.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use std::io::{self, ErrorKind};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::timeout;

/// Largest message: a whole state with a large configuration.
pub const MOST: usize = 32 << 20;
/// Largest first message: one small number.
pub const HELLO_MOST: usize = 64;
/// Largest word of an agent: who it is, and the ranges of its copy, one for each zone.
pub const AGENT_MOST: usize = 256 << 10;
/// Largest message with charges: a few dozen bytes for each tenant.
pub const CHARGES_MOST: usize = 1 << 20;
/// Messages that wait to be written. A peer that takes none for so long is dropped, and resumes when it is back.
const WAITING: usize = 1024;
/// A connection comes up within this, or is tried again: the farthest region is some hundred ms away, and a machine that
/// just got its power back hears only what is sent from then on.
const CONNECT: Duration = Duration::from_millis(350);
/// Bytes that are not acknowledged for so long end a connection: a machine behind a cut says nothing.
const UNHEARD: Duration = Duration::from_millis(2000);
/// Room for one read.
const READ: usize = 8 * 1024;

/// Opens a connection.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    prepare(&stream);
    Ok(stream)
}

/// Sets the options of a connection, whoever opened it.
pub fn prepare(stream: &TcpStream) {
    // Without them it works as well, only later.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNHEARD));
}

/// Reads messages.
pub struct Incoming<M> {
    io: OwnedReadHalf,
    buf: BytesMut,
    most: usize,
    kind: PhantomData<M>,
}

impl<M: Message + Default> Incoming<M> {
    /// Reads from a connection to one of the system's own processes.
    pub fn new(io: OwnedReadHalf) -> Self {
        Incoming::within(io, MOST)
    }

    /// Reads messages of so many bytes at most from a connection.
    pub fn within(io: OwnedReadHalf, most: usize) -> Self {
        Incoming { io, buf: BytesMut::new(), most, kind: PhantomData }
    }

    /// The same connection, with messages of another type, of so many bytes at most, from now on.
    pub fn other<N: Message + Default>(self, most: usize) -> Incoming<N> {
        Incoming { io: self.io, buf: self.buf, most, kind: PhantomData }
    }

    /// The next message. One that is too long, or none, is an error ([`ErrorKind::InvalidData`]) before its bytes are read.
    /// Dropping the future loses nothing.
    pub async fn next(&mut self) -> io::Result<M> {
        let bad = |_| io::Error::from(ErrorKind::InvalidData);
        loop {
            if self.buf.len() >= 4 {
                let length =
                    u32::from_le_bytes([self.buf[0], self.buf[1], self.buf[2], self.buf[3]]) as usize;
                if length > self.most {
                    return Err(ErrorKind::InvalidData.into());
                }
                if self.buf.len() >= 4 + length {
                    self.buf.advance(4);
                    return M::decode(self.buf.split_to(length).freeze()).map_err(bad);
                }
            }
            self.buf.reserve(READ);
            if self.io.read_buf(&mut self.buf).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// The bytes of a message, its length before it.
pub fn framed(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(4 + length);
    bytes.extend_from_slice(&(length as u32).to_le_bytes());
    message.encode_raw(&mut bytes);
    bytes
}

/// Messages up to this many bytes go out together with those that wait behind them: a whole state is longer.
const TOGETHER_MOST: usize = 16 << 10;

/// Where messages go out. What is sent when too many wait, or after the end, is lost, and the connection with it.
#[derive(Clone)]
pub struct Outgoing(Sender<Bytes>);

impl Outgoing {
    /// A way out, and what comes of it.
    pub fn new() -> (Self, Receiver<Bytes>) {
        let (to, from) = channel(WAITING);
        (Outgoing(to), from)
    }

    /// Sends a message; false if it is lost.
    pub fn send(&self, message: &impl Message) -> bool {
        self.send_framed(framed(message).into())
    }

    /// Sends a message that was framed before, for many; false if it is lost.
    pub fn send_framed(&self, message: Bytes) -> bool {
        self.0.try_send(message).is_ok()
    }
}

/// Writes what is sent until either end closes. Messages that wait together go out together.
pub async fn write(mut io: OwnedWriteHalf, mut from: Receiver<Bytes>) {
    let mut together = Vec::new();
    while let Some(first) = from.recv().await {
        let mut last = Some(first);
        // A long one is shared with other links, and is not copied.
        while let Some(next) = last.take_if(|next| next.len() <= TOGETHER_MOST) {
            together.extend_from_slice(&next);
            last = from.try_recv().ok();
        }
        if !together.is_empty() && io.write_all(&together).await.is_err() {
            return;
        }
        together.clear();
        if let Some(long) = last {
            if io.write_all(&long).await.is_err() {
                return;
            }
        }
    }
}
