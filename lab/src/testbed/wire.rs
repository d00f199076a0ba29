//! Network side of the simulated services: listeners with a packet filter by gateway, connections with injected
//! faults, and a small HTTP/1.1 implementation.

use crate::fault::{Links, Node};
use crate::testbed::RunContext;
use rand::Rng;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Accept queue length of a listener.
const BACKLOG: i32 = 4096;
/// Maximum size of an HTTP message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum size of a segment, the unit that is forwarded and that a fault applies to.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Maximum number of segments in flight in one direction of a connection. Beyond it the sender blocks.
const MAX_SEGMENTS_IN_FLIGHT: usize = 64;
/// Delay of a lost segment, as of a TCP retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// Maximum wait for a closed listener to release its port.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the state of a link is polled while nothing passes, and the pause after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The loopback address at which a gateway reaches the simulated services. It identifies the gateway.
pub fn address_of_gateway(gateway: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, (gateway / 250) as u8, (gateway % 250 + 1) as u8)
}

/// The gateway that an address belongs to.
pub fn gateway_at(addr: IpAddr) -> Option<usize> {
    match addr {
        IpAddr::V4(addr) => match addr.octets() {
            [127, 77, high, low @ 1..=250] => Some(usize::from(high) * 250 + usize::from(low) - 1),
            _ => None,
        },
        IpAddr::V6(_) => None,
    }
}

fn bind_tcp(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

/// A port, chosen by the kernel, that stays reserved while no listener uses it.
pub struct ReservedPort {
    _socket: Socket,
    /// The reserved address.
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a port on this IP address.
    pub fn new(ip: Ipv4Addr) -> io::Result<ReservedPort> {
        let socket = bind_tcp((ip, 0).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { _socket: socket, address })
    }

    /// Opens a listener on the port, for this process or for a child that inherits it.
    pub fn listen(&self) -> io::Result<std::net::TcpListener> {
        let socket = bind_tcp(self.address)?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

/// The listener of a simulated service. It is bound to all addresses of 127.0.0.0/8, and can be closed and opened
/// again on the same port.
pub struct ServiceListener {
    node: Node,
    port: ReservedPort,
    open: Mutex<Option<Arc<TcpListener>>>,
    closed: Notify,
}

impl ServiceListener {
    /// Reserves a port, without listening on it.
    pub fn new(node: Node) -> io::Result<ServiceListener> {
        let port = ReservedPort::new(Ipv4Addr::UNSPECIFIED)?;
        Ok(ServiceListener { node, port, open: Mutex::default(), closed: Notify::new() })
    }

    /// The address at which one gateway reaches the service.
    pub fn address_for(&self, gateway: usize) -> SocketAddr {
        (address_of_gateway(gateway), self.port.address.port()).into()
    }

    /// Closes the listener, so that new connections are refused.
    pub fn close(&self) {
        *self.open.lock().unwrap_or_else(|e| e.into_inner()) = None;
        self.closed.notify_waiters();
    }

    /// Updates the packet filter to the current link faults. It drops the packets of gateways whose new connections
    /// time out, and all packets to addresses outside 127.0.0.0/8.
    pub fn update_filter(&self, links: &Links, gateways: usize, now: f64) -> io::Result<()> {
        let open = self.open.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let Some(listener) = open else { return Ok(()) };
        let blocked =
            (0..gateways).filter(|gateway| !links.can_connect(Node::Gateway(*gateway), self.node, now));
        SockRef::from(&*listener).attach_filter(&packet_filter(blocked.map(address_of_gateway)))
    }

    /// Opens the listener. Retries while a listener that was just closed still holds the port.
    async fn listen(&self) -> io::Result<std::net::TcpListener> {
        let start = Instant::now();
        loop {
            match self.port.listen() {
                Err(e) if e.kind() == ErrorKind::AddrInUse && start.elapsed() < PORT_RELEASE_TIMEOUT => {
                    sleep(POLL_INTERVAL).await
                }
                listener => return listener,
            }
        }
    }

    /// Opens the listener, and passes each connection and the gateway that opened it to `on_connection` until the
    /// listener is closed.
    pub async fn serve(
        self: &Arc<Self>, context: &Arc<RunContext>,
        on_connection: impl Fn(usize, Connection) + Send + 'static,
    ) -> io::Result<()> {
        let listener = Arc::new(TcpListener::from_std(self.listen().await?)?);
        *self.open.lock().unwrap_or_else(|e| e.into_inner()) = Some(listener.clone());
        self.update_filter(&context.links, context.plan.fleet.gateways, context.now())?;
        let (service, context) = (self.clone(), context.clone());
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = service.closed.notified() => return,
                };
                // The process may be out of descriptors: accepts again after a pause.
                let Ok((stream, _)) = accepted else {
                    sleep(POLL_INTERVAL).await;
                    continue;
                };
                let from = stream.local_addr().ok().and_then(|address| gateway_at(address.ip()));
                let Some(gateway) = from.filter(|index| *index < context.plan.fleet.gateways) else {
                    continue;
                };
                let (peer, own) = (Node::Gateway(gateway), service.node);
                let connection = Connection::new(&context, stream, own, peer);
                let now = context.now();
                if context.links.effect(peer, own, now).refuse || context.links.effect(own, peer, now).refuse
                {
                    connection.reset();
                } else {
                    on_connection(gateway, connection);
                }
            }
        });
        Ok(())
    }
}

/// A classic BPF program that accepts packets to 127.0.0.0/8, except to the blocked addresses. Negative offsets are
/// relative to the IP header.
fn packet_filter(blocked: impl Iterator<Item = Ipv4Addr>) -> Vec<SockFilter> {
    const NETWORK: u32 = (-0x10_0000i32) as u32;
    const DESTINATION: u32 = NETWORK + 16;
    let (load_byte, load_word, jump_if_equal, ret) = (0x30, 0x20, 0x15, 0x06);
    let drop = || SockFilter::new(ret, 0, 0, 0);
    let mut program = vec![
        SockFilter::new(load_byte, 0, 0, DESTINATION),
        SockFilter::new(jump_if_equal, 1, 0, 127),
        drop(),
        SockFilter::new(load_word, 0, 0, DESTINATION),
    ];
    for addr in blocked {
        program.extend([SockFilter::new(jump_if_equal, 0, 1, addr.into()), drop()]);
    }
    program.push(SockFilter::new(ret, 0, 0, u32::MAX));
    program
}

/// One connection. It goes through a proxy if the plan has faults on its kind of link.
pub enum Connection {
    /// A direct connection.
    Direct(TcpStream),
    /// A connection through the fault-injecting proxy, with the signal that resets it.
    Proxied(DuplexStream, Arc<Notify>),
}

impl Connection {
    /// Wraps a connection between `own`, which the lab simulates, and a gateway.
    pub fn new(context: &Arc<RunContext>, stream: TcpStream, own: Node, peer: Node) -> Connection {
        let _ = stream.set_nodelay(true);
        if !context.is_proxied(own) {
            return Connection::Direct(stream);
        }
        let (near, far) = tokio::io::duplex(SEGMENT_BYTES);
        let reset = Arc::new(Notify::new());
        tokio::spawn(proxy(context.clone(), stream, far, (own, peer), reset.clone()));
        Connection::Proxied(near, reset)
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        match self {
            Connection::Direct(stream) => drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
            Connection::Proxied(_, reset) => reset.notify_one(),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => Pin::new(stream).poll_read(cx, buf),
            Connection::Proxied(stream, _) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Connection::Direct(stream) => Pin::new(stream).poll_write(cx, buf),
            Connection::Proxied(stream, _) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Connection::Proxied(stream, _) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Connection::Proxied(stream, _) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

/// Forwards both directions until both have ended, or until the connection is reset.
async fn proxy(
    context: Arc<RunContext>, stream: TcpStream, inner: DuplexStream, (own, peer): (Node, Node),
    reset: Arc<Notify>,
) {
    let (from_peer, mut to_peer) = stream.into_split();
    let (from_own, mut to_own) = tokio::io::split(inner);
    let both = async {
        let inbound = forward(&context, from_peer, &mut to_own, (peer, own));
        let outbound = forward(&context, from_own, &mut to_peer, (own, peer));
        // A reset ends both directions at once. An end of stream is forwarded, and the other direction continues.
        tokio::try_join!(inbound, outbound).is_err()
    };
    let is_reset = tokio::select! {
        is_reset = both => is_reset,
        () = reset.notified() => true,
    };
    if is_reset {
        let _ = SockRef::from(to_peer.as_ref()).set_linger(Some(Duration::ZERO));
        // Dropping both halves then closes the socket with a reset.
    }
}

/// Forwards one direction with its current faults. Fails if the connection is reset.
async fn forward(
    context: &RunContext, mut from: impl AsyncRead + Unpin, to: &mut (impl AsyncWrite + Unpin),
    (source, target): (Node, Node),
) -> Result<(), ()> {
    let (queue, mut segments) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_SEGMENTS_IN_FLIGHT);
    let receive = async move {
        // Moved in here, so that the channel closes when this future ends.
        let queue = queue;
        let (mut buf, mut last_due) = (vec![0; SEGMENT_BYTES], Instant::now());
        loop {
            let read = from.read(&mut buf).await;
            let Ok(length @ 1..) = read else {
                // A reset takes effect at once; an end of stream is forwarded behind all data.
                return if read.is_err() { Err(()) } else { Ok(()) };
            };
            let effect = context.links.effect(source, target, context.now());
            let (jitter_s, is_lost) = {
                let mut rng = rand::rng();
                (effect.jitter_s * rng.random::<f64>(), effect.loss > 0.0 && rng.random_bool(effect.loss))
            };
            let mut due = Instant::now() + Duration::from_secs_f64(effect.delay_s + jitter_s);
            if is_lost {
                due += RETRANSMISSION_DELAY;
            }
            last_due = last_due.max(due);
            if queue.send((last_due, buf[..length].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let send = async {
        let mut sent_bytes = 0u64;
        while let Some((due, segment)) = segments.recv().await {
            sleep_until(due).await;
            let mut effect = context.links.effect(source, target, context.now());
            while effect.cut {
                sleep(POLL_INTERVAL).await;
                effect = context.links.effect(source, target, context.now());
            }
            if effect.throttle.is_finite() {
                sleep(Duration::from_secs_f64(segment.len() as f64 / effect.throttle)).await;
            }
            let until_reset = effect.reset_at.map(|limit| limit.saturating_sub(sent_bytes) as usize);
            let part = &segment[..until_reset.unwrap_or(segment.len()).min(segment.len())];
            if to.write_all(part).await.is_err() {
                return Ok(());
            }
            sent_bytes += part.len() as u64;
            if until_reset.is_some_and(|length| length <= segment.len()) {
                return Err(());
            }
        }
        // The end of stream is forwarded once the link is not cut.
        while context.links.effect(source, target, context.now()).cut {
            sleep(POLL_INTERVAL).await;
        }
        let _ = to.shutdown().await;
        Ok(())
    };
    tokio::try_join!(receive, send).map(drop)
}

/// The parts of a message's head that the lab uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageHead {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status code of a response.
    pub status: u16,
    /// `X-Txn`.
    pub txn: Option<u64>,
    /// `Retry-After`, in ms.
    pub retry_after_ms: Option<u32>,
    /// Whether the peer closes the connection after the message.
    pub close: bool,
    body_bytes: usize,
}

/// One side of an HTTP/1.1 connection.
pub struct HttpConnection {
    /// The underlying connection.
    pub io: Connection,
    buf: Vec<u8>,
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

impl HttpConnection {
    /// Wraps a connection.
    pub fn new(io: Connection) -> HttpConnection {
        HttpConnection { io, buf: Vec::new() }
    }

    /// Whether bytes beyond the last message have been received.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buf.is_empty()
    }

    async fn fill_buffer(&mut self) -> io::Result<usize> {
        if self.buf.len() > MAX_MESSAGE_BYTES {
            return Err(invalid_data("message too long"));
        }
        self.io.read_buf(&mut self.buf).await
    }

    /// Waits until the peer closes the connection or sends data. To be called between messages.
    pub async fn wait_for_close(&mut self) {
        let _ = self.fill_buffer().await;
    }

    /// Waits for the first byte of the next message. Returns false at the end of the connection.
    pub async fn wait_for_message(&mut self) -> io::Result<bool> {
        Ok(!self.buf.is_empty() || self.fill_buffer().await? > 0)
    }

    /// Reads the next message, a response or a request. Returns none if the connection ends between messages.
    pub async fn read_message(&mut self, is_response: bool) -> io::Result<Option<(MessageHead, Vec<u8>)>> {
        loop {
            if let Some((head, head_bytes)) = parse_head(&self.buf, is_response)? {
                while self.buf.len() < head_bytes + head.body_bytes {
                    if self.fill_buffer().await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                let rest = self.buf.split_off(head_bytes + head.body_bytes);
                let body = std::mem::replace(&mut self.buf, rest).split_off(head_bytes);
                return Ok(Some((head, body)));
            }
            if self.fill_buffer().await? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }
}

/// Formats a response. `headers` holds complete header lines.
pub fn format_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Parses the head of a message, if it is complete, and returns it with its length in bytes.
fn parse_head(bytes: &[u8], is_response: bool) -> io::Result<Option<(MessageHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = MessageHead::default();
    let status = if is_response {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|_| invalid_data("invalid response head"))?;
        head.status = parsed.code.unwrap_or(0);
        status
    } else {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|_| invalid_data("invalid request head"))?;
        head.method = parsed.method.unwrap_or("").to_owned();
        head.target = parsed.path.unwrap_or("").to_owned();
        status
    };
    let httparse::Status::Complete(head_bytes) = status else { return Ok(None) };
    let mut length = None;
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                length = Some(value.parse().map_err(|_| invalid_data("invalid Content-Length"))?)
            }
            "transfer-encoding" => return Err(invalid_data("Transfer-Encoding is not supported")),
            "x-txn" => head.txn = u64::from_str_radix(value, 16).ok(),
            "connection" => head.close = value.eq_ignore_ascii_case("close"),
            "retry-after" => {
                head.retry_after_ms = value.parse::<f64>().ok().map(|seconds| (seconds * 1000.0) as u32);
            }
            _ => {}
        }
    }
    head.body_bytes = length.unwrap_or(0);
    if head.body_bytes > MAX_MESSAGE_BYTES {
        return Err(invalid_data("message too long"));
    }
    Ok(Some((head, head_bytes)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_address_identifies_the_gateway_it_belongs_to() {
        for gateway in [0, 1, 249, 250, 299, 1999] {
            assert_eq!(gateway_at(address_of_gateway(gateway).into()), Some(gateway));
        }
        assert_eq!(gateway_at(Ipv4Addr::LOCALHOST.into()), None);
        assert_eq!(gateway_at(Ipv4Addr::new(127, 77, 0, 0).into()), None);
    }

    #[tokio::test]
    async fn a_filter_blocks_only_gateways_with_a_faulty_link_until_it_heals() {
        let service = ServiceListener::new(Node::Counter).unwrap();
        let listener = Arc::new(TcpListener::from_std(service.port.listen().unwrap()).unwrap());
        *service.open.lock().unwrap() = Some(listener.clone());
        let plan = crate::plan::Plan::read(
            "name = \"a\"\nseconds = 9\n[fleet]\ngateways = 3\n[traffic]\n[[step]]\nat = 1\n\
             link = { from = \"gateways 1\", to = \"counter\", do = \"hang\" }",
        )
        .unwrap();
        let links = Links::default();
        let fault = links.inject(&plan, 0, plan.step[0].link.as_ref().unwrap(), 0.0);
        service.update_filter(&links, 3, 0.0).unwrap();
        let connects = |gateway| {
            tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(service.address_for(gateway)))
        };
        assert!(connects(0).await.unwrap().is_ok());
        assert!(connects(1).await.is_err(), "a connection from a blocked gateway must time out");
        links.heal(&fault);
        service.update_filter(&links, 3, 0.0).unwrap();
        assert!(connects(1).await.unwrap().is_ok());
        drop(listener);
        service.close();
        assert_eq!(connects(0).await.unwrap().unwrap_err().kind(), ErrorKind::ConnectionRefused);
        assert!(service.port.listen().is_ok(), "the port must stay reserved");
    }

    #[test]
    fn valid_heads_are_parsed_and_invalid_ones_rejected() {
        let request = b"POST /a?x=1 HTTP/1.1\r\nX-Txn: 00ff\r\nContent-Length: 2\r\n\r\nhi";
        let (head, head_bytes) = parse_head(request, false).unwrap().unwrap();
        assert_eq!((head.method.as_str(), head.target.as_str(), head.txn), ("POST", "/a?x=1", Some(255)));
        assert_eq!(&request[head_bytes..head_bytes + head.body_bytes], b"hi");
        let response = b"HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nConnection: close\r\n\r\n";
        let (head, _) = parse_head(response, true).unwrap().unwrap();
        assert_eq!((head.status, head.retry_after_ms, head.close), (429, Some(250), true));
        assert!(parse_head(b"HTTP/1.1 200 OK\r\nConte", true).unwrap().is_none());
        for bad in [
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        ] {
            assert!(parse_head(bad.as_bytes(), true).is_err());
        }
    }
}
