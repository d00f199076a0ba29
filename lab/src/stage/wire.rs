//! Bytes on sockets: listeners whose packets can be dropped by who sends them, connections through which faults act,
//! and the HTTP/1.1 that the stand-ins speak.

use crate::fault::{Links, Node};
use crate::stage::World;
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

/// Connections that may wait at a stand-in.
const BACKLOG: i32 = 4096;
/// Longest message, and largest piece that a fault acts on.
const MESSAGE_MOST: usize = 256 * 1024;
const PIECE: usize = 16 * 1024;
/// Pieces under way on a slow link at most; then its sender waits, as on a real one.
const UNDER_WAY: usize = 64;
/// A lost piece of a connection is sent again after so long.
const AGAIN: Duration = Duration::from_millis(200);
/// A listener that was closed is gone within this.
const GONE: Duration = Duration::from_secs(2);
/// How often a cut link is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// Where a gateway meets the stand-ins: the address that it dials tells who it is.
pub fn view(gateway: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, (gateway / 250) as u8, (gateway % 250 + 1) as u8)
}

/// Whose view an address is.
pub fn viewer(addr: IpAddr) -> Option<usize> {
    match addr {
        IpAddr::V4(addr) => match addr.octets() {
            [127, 77, high, low @ 1..=250] => Some(usize::from(high) * 250 + usize::from(low) - 1),
            _ => None,
        },
        IpAddr::V6(_) => None,
    }
}

fn tcp(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

/// A port of the system's choice that stays the stage's own while nobody listens on it.
pub struct Reserved {
    _socket: Socket,
    /// The address.
    pub at: SocketAddr,
}

impl Reserved {
    /// On this address.
    pub fn new(on: Ipv4Addr) -> io::Result<Reserved> {
        let socket = tcp((on, 0).into())?;
        let at = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(Reserved { _socket: socket, at })
    }

    /// Listens there, as this process or for one that inherits it.
    pub fn listen(&self) -> io::Result<std::net::TcpListener> {
        let socket = tcp(self.at)?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

/// A stand-in's address. It listens on all of 127/8 while it is open.
pub struct Door {
    node: Node,
    reserved: Reserved,
    open: Mutex<Option<Arc<TcpListener>>>,
    shut: Notify,
}

impl Door {
    /// Not open yet.
    pub fn new(node: Node) -> io::Result<Door> {
        let reserved = Reserved::new(Ipv4Addr::UNSPECIFIED)?;
        Ok(Door { node, reserved, open: Mutex::default(), shut: Notify::new() })
    }

    /// The address as one gateway sees it.
    pub fn seen_by(&self, gateway: usize) -> SocketAddr {
        (view(gateway), self.reserved.at.port()).into()
    }

    /// Closes: new connections are refused.
    pub fn close(&self) {
        *self.open.lock().unwrap_or_else(|e| e.into_inner()) = None;
        self.shut.notify_waiters();
    }

    /// Drops the packets of those whose link does not come up now, and all from elsewhere than 127/8.
    pub fn refilter(&self, links: &Links, gateways: usize, now: f64) -> io::Result<()> {
        let open = self.open.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let Some(listener) = open else { return Ok(()) };
        let blocked = (0..gateways).filter(|place| !links.can_connect(Node::Gateway(*place), self.node, now));
        SockRef::from(&*listener).attach_filter(&filter(blocked.map(view)))
    }

    /// Listens, once a former listener that was just closed is gone.
    async fn listen(&self) -> io::Result<std::net::TcpListener> {
        let begun = Instant::now();
        loop {
            match self.reserved.listen() {
                Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < GONE => sleep(LOOK).await,
                listener => return listener,
            }
        }
    }

    /// Opens and hands each connection on with the gateway that dialled, until it is closed.
    pub async fn run(
        self: &Arc<Self>, world: &Arc<World>, meet: impl Fn(usize, Io) + Send + 'static,
    ) -> io::Result<()> {
        let listener = Arc::new(TcpListener::from_std(self.listen().await?)?);
        *self.open.lock().unwrap_or_else(|e| e.into_inner()) = Some(listener.clone());
        self.refilter(&world.links, world.plan.fleet.gateways, world.now())?;
        let (door, world) = (self.clone(), world.clone());
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = door.shut.notified() => return,
                };
                // Short of descriptors: the next try may find one.
                let Ok((stream, _)) = accepted else {
                    sleep(LOOK).await;
                    continue;
                };
                let from = stream.local_addr().ok().and_then(|at| viewer(at.ip()));
                let Some(gateway) = from.filter(|place| *place < world.plan.fleet.gateways) else { continue };
                let (one, other) = (Node::Gateway(gateway), door.node);
                let io = Io::new(&world, stream, other, one);
                let now = world.now();
                if world.links.effect(one, other, now).refuse || world.links.effect(other, one, now).refuse {
                    io.reset();
                } else {
                    meet(gateway, io);
                }
            }
        });
        Ok(())
    }
}

/// A filter on a listener's packets. Offsets below 0 are into the IP header.
fn filter(blocked: impl Iterator<Item = Ipv4Addr>) -> Vec<SockFilter> {
    const NETWORK: u32 = (-0x10_0000i32) as u32;
    const DESTINATION: u32 = NETWORK + 16;
    let (load_byte, load_word, equal, give) = (0x30, 0x20, 0x15, 0x06);
    let drop = || SockFilter::new(give, 0, 0, 0);
    let mut program = vec![
        SockFilter::new(load_byte, 0, 0, DESTINATION),
        SockFilter::new(equal, 1, 0, 127),
        drop(),
        SockFilter::new(load_word, 0, 0, DESTINATION),
    ];
    for addr in blocked {
        program.extend([SockFilter::new(equal, 0, 1, addr.into()), drop()]);
    }
    program.push(SockFilter::new(give, 0, 0, u32::MAX));
    program
}

/// One connection. Where the plan has faults on its kind of link they act on it.
pub enum Io {
    /// As it is.
    Plain(TcpStream),
    /// Through a pipe with faults.
    Piped(DuplexStream, Arc<Notify>),
}

impl Io {
    /// A connection between `own`, whose part the stage plays, and a gateway or its client.
    pub fn new(world: &Arc<World>, stream: TcpStream, own: Node, peer: Node) -> Io {
        let _ = stream.set_nodelay(true);
        if !world.piped(own) {
            return Io::Plain(stream);
        }
        let (near, far) = tokio::io::duplex(PIECE);
        let reset = Arc::new(Notify::new());
        tokio::spawn(pipe(world.clone(), stream, far, (own, peer), reset.clone()));
        Io::Piped(near, reset)
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        match self {
            Io::Plain(stream) => drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
            Io::Piped(_, reset) => reset.notify_one(),
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Io::Piped(stream, _) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Io::Plain(stream) => Pin::new(stream).poll_write(cx, buf),
            Io::Piped(stream, _) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Io::Piped(stream, _) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Io::Piped(stream, _) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

/// Carries both directions until both have ended, or until it is reset.
async fn pipe(
    world: Arc<World>, stream: TcpStream, inner: DuplexStream, (own, peer): (Node, Node), reset: Arc<Notify>,
) {
    let (from_peer, mut to_peer) = stream.into_split();
    let (from_own, mut to_own) = tokio::io::split(inner);
    let both = async {
        let back = carry(&world, from_peer, &mut to_own, (peer, own));
        let forth = carry(&world, from_own, &mut to_peer, (own, peer));
        // A reset ends both at once; an end is passed on, and the other direction goes on.
        tokio::try_join!(back, forth).is_err()
    };
    let broken = tokio::select! {
        broken = both => broken,
        () = reset.notified() => true,
    };
    if broken {
        let _ = SockRef::from(to_peer.as_ref()).set_linger(Some(Duration::ZERO));
        // Its halves are dropped together after this.
    }
}

/// Carries one direction with the faults that it has at the time. An error says that it was reset.
async fn carry(
    world: &World, mut from: impl AsyncRead + Unpin, to: &mut (impl AsyncWrite + Unpin), way: (Node, Node),
) -> Result<(), ()> {
    let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY);
    let take = async move {
        // The queue ends with what fills it.
        let queue = queue;
        let (mut buf, mut last) = (vec![0; PIECE], Instant::now());
        loop {
            let read = from.read(&mut buf).await;
            let Ok(length @ 1..) = read else {
                // A reset is heard as one; an end comes behind all that was sent before.
                return if read.is_err() { Err(()) } else { Ok(()) };
            };
            let effect = world.links.effect(way.0, way.1, world.now());
            let (spread, lost) = {
                let mut rng = rand::rng();
                (effect.jitter_s * rng.random::<f64>(), effect.loss > 0.0 && rng.random_bool(effect.loss))
            };
            let mut at = Instant::now() + Duration::from_secs_f64(effect.delay_s + spread);
            if lost {
                at += AGAIN;
            }
            last = last.max(at);
            if queue.send((last, buf[..length].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let give = async {
        let mut passed = 0u64;
        while let Some((at, piece)) = due.recv().await {
            sleep_until(at).await;
            let mut effect = world.links.effect(way.0, way.1, world.now());
            while effect.cut {
                sleep(LOOK).await;
                effect = world.links.effect(way.0, way.1, world.now());
            }
            if effect.throttle.is_finite() {
                sleep(Duration::from_secs_f64(piece.len() as f64 / effect.throttle)).await;
            }
            let end = effect.reset_at.map(|end| end.saturating_sub(passed) as usize);
            let part = &piece[..end.unwrap_or(piece.len()).min(piece.len())];
            if to.write_all(part).await.is_err() {
                return Ok(());
            }
            passed += part.len() as u64;
            if end.is_some_and(|end| end <= piece.len()) {
                return Err(());
            }
        }
        // The other side hears of the end, unless the link is cut.
        while world.links.effect(way.0, way.1, world.now()).cut {
            sleep(LOOK).await;
        }
        let _ = to.shutdown().await;
        Ok(())
    };
    tokio::try_join!(take, give).map(drop)
}

/// The head of a message, as far as the stage goes by it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Method and target of a request.
    pub method: String,
    /// Target.
    pub target: String,
    /// Status of an answer.
    pub status: u16,
    /// `X-Txn`.
    pub txn: Option<u64>,
    /// `Retry-After`, in ms.
    pub retry_after_ms: Option<u32>,
    /// The other side closes the connection after it.
    pub close: bool,
    length: usize,
}

/// One side of an HTTP/1.1 connection.
pub struct Http {
    /// The connection.
    pub io: Io,
    buf: Vec<u8>,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

impl Http {
    /// On a connection.
    pub fn new(io: Io) -> Http {
        Http { io, buf: Vec::new() }
    }

    /// Whether bytes lie here that nobody asked for.
    pub fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.buf.len() > MESSAGE_MOST {
            return Err(bad("message too long"));
        }
        self.io.read_buf(&mut self.buf).await
    }

    /// Waits until the other side says something out of turn or ends. Only to be asked between messages.
    pub async fn ended(&mut self) {
        let _ = self.fill().await;
    }

    /// Waits for the first byte of the next message; false at the connection's end.
    pub async fn begins(&mut self) -> io::Result<bool> {
        Ok(!self.buf.is_empty() || self.fill().await? > 0)
    }

    /// The next message; none at the connection's proper end. `answer` tells which form it has.
    pub async fn read(&mut self, answer: bool) -> io::Result<Option<(Head, Vec<u8>)>> {
        loop {
            if let Some((head, from)) = parse(&self.buf, answer)? {
                while self.buf.len() < from + head.length {
                    if self.fill().await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                let rest = self.buf.split_off(from + head.length);
                let body = std::mem::replace(&mut self.buf, rest).split_off(from);
                return Ok(Some((head, body)));
            }
            if self.fill().await? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Writes bytes out.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }
}

/// A whole answer.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn parse(bytes: &[u8], answer: bool) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = Head::default();
    let status = if answer {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|_| bad("no answer"))?;
        head.status = parsed.code.unwrap_or(0);
        status
    } else {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|_| bad("no request"))?;
        head.method = parsed.method.unwrap_or("").to_owned();
        head.target = parsed.path.unwrap_or("").to_owned();
        status
    };
    let httparse::Status::Complete(from) = status else { return Ok(None) };
    let mut length = None;
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => length = Some(value.parse().map_err(|_| bad("a length that is none"))?),
            "transfer-encoding" => return Err(bad("a body of unknown length")),
            "x-txn" => head.txn = u64::from_str_radix(value, 16).ok(),
            "connection" => head.close = value.eq_ignore_ascii_case("close"),
            "retry-after" => {
                head.retry_after_ms = value.parse::<f64>().ok().map(|seconds| (seconds * 1000.0) as u32);
            }
            _ => {}
        }
    }
    head.length = length.unwrap_or(0);
    if head.length > MESSAGE_MOST {
        return Err(bad("message too long"));
    }
    Ok(Some((head, from)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_gateway_is_known_by_the_address_it_dials() {
        for gateway in [0, 1, 249, 250, 299, 1999] {
            assert_eq!(viewer(view(gateway).into()), Some(gateway));
        }
        assert_eq!(viewer(Ipv4Addr::LOCALHOST.into()), None);
        assert_eq!(viewer(Ipv4Addr::new(127, 77, 0, 0).into()), None);
    }

    #[tokio::test]
    async fn a_filter_drops_the_packets_of_some_alone_and_can_be_taken_back() {
        let door = Door::new(Node::Counter).unwrap();
        let listener = Arc::new(TcpListener::from_std(door.reserved.listen().unwrap()).unwrap());
        *door.open.lock().unwrap() = Some(listener.clone());
        let plan = crate::plan::Plan::read(
            "name = \"a\"\nseconds = 9\n[fleet]\ngateways = 3\n[traffic]\n[[step]]\nat = 1\n\
             link = { from = \"gateways 1\", to = \"counter\", do = \"hang\" }",
        )
        .unwrap();
        let links = Links::default();
        let fault = links.inject(&plan, 0, plan.step[0].link.as_ref().unwrap(), 0.0);
        door.refilter(&links, 3, 0.0).unwrap();
        let connects = |gateway| {
            tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(door.seen_by(gateway)))
        };
        assert!(connects(0).await.unwrap().is_ok());
        assert!(connects(1).await.is_err(), "it never comes up");
        links.heal(&fault);
        door.refilter(&links, 3, 0.0).unwrap();
        assert!(connects(1).await.unwrap().is_ok());
        drop(listener);
        door.close();
        assert_eq!(connects(0).await.unwrap().unwrap_err().kind(), ErrorKind::ConnectionRefused);
        assert!(door.reserved.listen().is_ok(), "its port is still its own");
    }

    #[test]
    fn heads_are_read_and_bad_ones_turned_down() {
        let request = b"POST /a?x=1 HTTP/1.1\r\nX-Txn: 00ff\r\nContent-Length: 2\r\n\r\nhi";
        let (head, from) = parse(request, false).unwrap().unwrap();
        assert_eq!((head.method.as_str(), head.target.as_str(), head.txn), ("POST", "/a?x=1", Some(255)));
        assert_eq!(&request[from..from + head.length], b"hi");
        let answer = b"HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nConnection: close\r\n\r\n";
        let (head, _) = parse(answer, true).unwrap().unwrap();
        assert_eq!((head.status, head.retry_after_ms, head.close), (429, Some(250), true));
        assert!(parse(b"HTTP/1.1 200 OK\r\nConte", true).unwrap().is_none());
        for bad in [
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        ] {
            assert!(parse(bad.as_bytes(), true).is_err());
        }
    }
}
