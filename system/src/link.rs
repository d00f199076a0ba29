//! Connections between the system's processes: length-prefixed messages, and a bounded send queue for each
//! connection.

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

/// Maximum size of a message, such as a snapshot with a large configuration.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Maximum size of a hello, which carries one small number.
pub const MAX_HELLO_BYTES: usize = 64;
/// Maximum size of a message from an agent: its registration and the range digests of its replica.
pub const MAX_AGENT_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum size of a message with charges: a few dozen bytes for each tenant.
pub const MAX_CHARGES_BYTES: usize = 1 << 20;
/// Maximum number of messages that wait to be written; a peer that reads too slowly is disconnected.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Timeout of a connection attempt: above the round trip to the farthest region, and short enough for a new
/// attempt to reach a rebooted machine before the kernel retransmits the SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// A connection is closed when sent bytes stay unacknowledged this long, as behind a network partition.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);
/// Buffer space reserved for each read.
const READ_BYTES: usize = 8 * 1024;

/// Connects to another process, within a timeout.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Sets the socket options of an outgoing or accepted connection.
pub fn set_socket_options(stream: &TcpStream) {
    // Errors are ignored: without these options, messages and the detection of a dead connection are only
    // slower.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Reads and decodes messages from a connection.
pub struct MessageReader<M> {
    io: OwnedReadHalf,
    buf: BytesMut,
    max_bytes: usize,
    message_type: PhantomData<M>,
}

impl<M: Message + Default> MessageReader<M> {
    /// Reads messages of up to [`MAX_MESSAGE_BYTES`].
    pub fn new(io: OwnedReadHalf) -> Self {
        MessageReader::within(io, MAX_MESSAGE_BYTES)
    }

    /// Reads messages of up to `max_bytes`.
    pub fn within(io: OwnedReadHalf, max_bytes: usize) -> Self {
        MessageReader { io, buf: BytesMut::new(), max_bytes, message_type: PhantomData }
    }

    /// Continues with messages of another type, of up to `max_bytes`.
    pub fn decoding<N: Message + Default>(self, max_bytes: usize) -> MessageReader<N> {
        MessageReader { io: self.io, buf: self.buf, max_bytes, message_type: PhantomData }
    }

    /// The next message. One that is too long or cannot be decoded is an [`ErrorKind::InvalidData`] error; a
    /// length above the maximum is rejected before the payload is read. Cancel-safe.
    pub async fn next(&mut self) -> io::Result<M> {
        let invalid = |_| io::Error::from(ErrorKind::InvalidData);
        loop {
            if self.buf.len() >= 4 {
                let length =
                    u32::from_le_bytes([self.buf[0], self.buf[1], self.buf[2], self.buf[3]]) as usize;
                if length > self.max_bytes {
                    return Err(ErrorKind::InvalidData.into());
                }
                if self.buf.len() >= 4 + length {
                    self.buf.advance(4);
                    return M::decode(self.buf.split_to(length).freeze()).map_err(invalid);
                }
            }
            self.buf.reserve(READ_BYTES);
            if self.io.read_buf(&mut self.buf).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Encodes a message as a frame: its length in 4 bytes, little-endian, then its payload.
pub fn encode_frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(4 + length);
    bytes.extend_from_slice(&(length as u32).to_le_bytes());
    message.encode_raw(&mut bytes);
    bytes
}

/// Messages up to this size are copied into one write with those queued behind them; snapshots are larger.
const MAX_BATCHED_BYTES: usize = 16 << 10;

/// The send queue of a connection. A message sent when the queue is full or the connection closed is lost.
#[derive(Clone)]
pub struct MessageSender(Sender<Bytes>);

impl MessageSender {
    /// A send queue and its receiving end, for [`write()`].
    pub fn new() -> (Self, Receiver<Bytes>) {
        let (sender, receiver) = channel(MAX_QUEUED_MESSAGES);
        (MessageSender(sender), receiver)
    }

    /// Queues a message; false if it is lost.
    pub fn send(&self, message: &impl Message) -> bool {
        self.send_frame(encode_frame(message).into())
    }

    /// Queues a frame that was encoded once for many connections; false if it is lost.
    pub fn send_frame(&self, frame: Bytes) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// Writes queued frames until the queue or the connection closes. Small frames are batched into one write.
pub async fn write(mut io: OwnedWriteHalf, mut queue: Receiver<Bytes>) {
    let mut batch = Vec::new();
    while let Some(first) = queue.recv().await {
        let mut pending = Some(first);
        // A large frame may be shared with other links, and is not copied.
        while let Some(next) = pending.take_if(|next| next.len() <= MAX_BATCHED_BYTES) {
            batch.extend_from_slice(&next);
            pending = queue.try_recv().ok();
        }
        if !batch.is_empty() && io.write_all(&batch).await.is_err() {
            return;
        }
        batch.clear();
        if let Some(large) = pending {
            if io.write_all(&large).await.is_err() {
                return;
            }
        }
    }
}
