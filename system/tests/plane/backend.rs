//! Test backends that run or lose requests and respond wrongly, too late or on the wrong connection.

use super::wire::MemoryStream;
use super::{SentResponse, World};
use oakfall::plane::backends::{BoxedStream, Stream};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// A backend instance; two may share an address at different times.
pub struct TestBackend {
    pub id: String,
    pub addr: SocketAddr,
    pub listed: Cell<bool>,
}

impl TestBackend {
    pub fn new(id: String, addr: SocketAddr, listed: bool) -> Rc<Self> {
        Rc::new(TestBackend { id, addr, listed: Cell::new(listed) })
    }
}

/// Opens a connection to the backend that is listed at the address.
pub async fn connect(world: Rc<World>, addr: SocketAddr) -> io::Result<BoxedStream> {
    world.count_event();
    if world.chance(world.fault_percent / 10) {
        if world.chance(50) {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        sleep(Duration::from_secs(5)).await;
    }
    let backend = world
        .backends
        .iter()
        .rev()
        .find(|candidate| candidate.addr == addr && candidate.listed.get())
        .cloned();
    let backend = backend.ok_or_else(|| io::Error::from(ErrorKind::ConnectionRefused))?;
    let capacity = [64, 700, 5000, 200_000][world.random_below(4)];
    let max_read = [1, 7, 100, 100_000][world.random_below(4)].max(if capacity > 5000 { 100 } else { 1 });
    let (proxy_end, backend_end) = MemoryStream::pair(capacity, max_read);
    tokio::task::spawn_local(async move {
        // An I/O error only ends this connection.
        let _ = serve(world, backend, backend_end).await;
    });
    Ok(Box::new(proxy_end))
}

struct ReceivedRequest {
    method: String,
    path: String,
    id: String,
    expected_backend: String,
    tenant: String,
    length: Option<usize>,
}

/// How a backend treats one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Respond,
    /// No run and no response.
    Hang,
    /// Runs without a response.
    RunThenHang,
    /// Runs, then resets the connection.
    RunThenReset,
    /// Runs after a delay.
    Delay,
    /// Runs after the head without reading the body, then resets, responds with an error, or hangs.
    RunBeforeBody(u8),
    /// Resets before the body is read.
    ResetBeforeBody,
    /// Runs, and the response is truncated.
    Truncate,
    /// Runs, and extra bytes follow the response at once, late, or before the next response.
    ExtraResponse(u8),
    Garbage,
    /// Reports `not-run` without running.
    NotRun,
    /// Runs, and responds with a retryable status but without `not-run`.
    ErrorWithoutNotRun,
    Error,
    /// Runs; the response has no, another, or two request ids.
    WrongRequestId(u8),
    /// Runs; the response framing is ambiguous or wrong.
    AmbiguousFraming(u8),
    /// Runs; the response uses one of the valid framings.
    ValidFraming(u8),
    /// Runs and responds, then drops the connection silently.
    DropSilently,
}

fn behavior(world: &World) -> Behavior {
    if !world.chance(world.fault_percent) {
        return if world.chance(40) {
            Behavior::ValidFraming(world.random_below(6) as u8)
        } else {
            Behavior::Respond
        };
    }
    let variant = world.random_below(8) as u8;
    match world.random_below(17) {
        0 => Behavior::Hang,
        1 => Behavior::RunThenHang,
        2 => Behavior::RunThenReset,
        3 => Behavior::Delay,
        4 => Behavior::RunBeforeBody(variant),
        5 => Behavior::ResetBeforeBody,
        6 => Behavior::Truncate,
        7 | 8 => Behavior::ExtraResponse(variant),
        9 => Behavior::Garbage,
        10 => Behavior::NotRun,
        11 => Behavior::ErrorWithoutNotRun,
        12 => Behavior::Error,
        13 => Behavior::WrongRequestId(variant),
        14 | 15 => Behavior::AmbiguousFraming(variant),
        _ => Behavior::DropSilently,
    }
}

async fn read_head(io: &mut MemoryStream, buf: &mut Vec<u8>) -> io::Result<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if io.read_buf(buf).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let mut request_line = lines.next().unwrap_or("").split(' ');
    let (method, path) =
        (request_line.next().unwrap_or("").to_owned(), request_line.next().unwrap_or("").to_owned());
    let mut request = ReceivedRequest {
        method,
        path,
        id: String::new(),
        expected_backend: String::new(),
        tenant: String::new(),
        length: Some(0),
    };
    for line in lines {
        let Some((name, value)) = line.split_once(": ") else { continue };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => request.id = value.to_owned(),
            "expect-instance" => request.expected_backend = value.to_owned(),
            "tenant" => request.tenant = value.to_owned(),
            "content-length" => request.length = value.parse().ok(),
            "transfer-encoding" => request.length = None,
            _ => {}
        }
    }
    Ok(request)
}

async fn read_exactly(io: &mut MemoryStream, buf: &mut Vec<u8>, bytes: usize) -> io::Result<Vec<u8>> {
    while buf.len() < bytes {
        if io.read_buf(buf).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buf.drain(..bytes).collect())
}

async fn read_body(io: &mut MemoryStream, buf: &mut Vec<u8>, length: Option<usize>) -> io::Result<Vec<u8>> {
    if let Some(length) = length {
        return read_exactly(io, buf, length).await;
    }
    let mut bytes = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.extend(read_exactly(io, buf, 1).await?);
        }
        let digits = String::from_utf8_lossy(&line[..line.len() - 2]).into_owned();
        let size = usize::from_str_radix(&digits, 16).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        bytes.extend(read_exactly(io, buf, size).await?);
        read_exactly(io, buf, 2).await?;
        if size == 0 {
            return Ok(bytes);
        }
    }
}

/// Writes in pieces of random length with random pauses.
async fn write_in_pieces(world: &World, io: &mut MemoryStream, bytes: &[u8]) -> io::Result<()> {
    let mut left = bytes;
    while !left.is_empty() {
        let max_piece = if world.chance(60) { left.len() } else { left.len().min(40) };
        let piece = 1 + world.random_below(max_piece);
        io.write_all(&left[..piece]).await?;
        left = &left[piece..];
        if world.chance(10) {
            sleep(Duration::from_millis(world.random_below(20) as u64)).await;
        }
    }
    Ok(())
}

fn encode_response(status: u16, id: &str, stamp: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} Some\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n{more}").into_bytes();
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend(body);
    bytes
}

async fn serve(world: Rc<World>, backend: Rc<TestBackend>, mut io: MemoryStream) -> io::Result<()> {
    let mut buf = Vec::new();
    let mut previous_id: Option<String> = None;
    // Unexpected bytes were sent to the proxy while no request was in flight.
    let mut has_unexpected_bytes = false;
    loop {
        let request = read_head(&mut io, &mut buf).await?;
        let id = request.id.clone();
        if has_unexpected_bytes {
            world.report_violation(format!(
                "POISONED: {id} comes on a connection that already had unexpected bytes"
            ));
        }
        world.record_attempt(&id);
        let behavior = behavior(&world);
        // A second response to the previous request takes the place of this one's.
        if let Some(previous_id) = previous_id.take() {
            let stamp = world.id("stamp");
            let sent = SentResponse { id: previous_id.clone(), status: 200, body: b"again".to_vec() };
            world.ledger.borrow_mut().responses.insert(stamp.clone(), sent);
            let status = [200, 503, 421][world.random_below(3)];
            let more = if status == 200 { "" } else { "Not-Run: 1\r\n" };
            write_in_pieces(&world, &mut io, &encode_response(status, &previous_id, &stamp, more, b"again"))
                .await?;
        }
        if request.expected_backend != backend.id {
            world.count_event();
            let body = read_body(&mut io, &mut buf, request.length).await?;
            drop(body);
            write_in_pieces(&world, &mut io, &encode_response(421, &id, "", "Not-Run: 1\r\n", b"no")).await?;
            continue;
        }
        match behavior {
            Behavior::Hang => {
                sleep(Duration::from_secs(4)).await;
                return Ok(());
            }
            Behavior::ResetBeforeBody => {
                io.reset(world.chance(50));
                return Ok(());
            }
            Behavior::NotRun => {
                read_body(&mut io, &mut buf, request.length).await?;
                let status = [503, 429, 400, 421][world.random_below(4)];
                write_in_pieces(
                    &world,
                    &mut io,
                    &encode_response(status, &id, "", "Not-Run: 1\r\n", b"full"),
                )
                .await?;
                continue;
            }
            Behavior::RunBeforeBody(variant) => {
                world.record_run(&id, &request.method, &request.path, None, &request.tenant);
                if variant & 1 == 1 && !buf.is_empty() {
                    buf.clear();
                }
                match variant {
                    0..=2 => io.reset(false),
                    3..=5 => {
                        let stamp = world.id("stamp");
                        let sent = SentResponse { id: id.clone(), status: 500, body: b"early".to_vec() };
                        world.ledger.borrow_mut().responses.insert(stamp.clone(), sent);
                        write_in_pieces(
                            &world,
                            &mut io,
                            &encode_response(500, &id, &stamp, "Connection: close\r\n", b"early"),
                        )
                        .await?;
                        sleep(Duration::from_millis(50)).await;
                    }
                    _ => sleep(Duration::from_secs(3)).await,
                }
                return Ok(());
            }
            Behavior::Delay => sleep(Duration::from_millis(world.random_below(4000) as u64)).await,
            _ => {}
        }
        let received_body = read_body(&mut io, &mut buf, request.length).await?;
        world.record_run(&id, &request.method, &request.path, Some(&received_body), &request.tenant);
        if world.chance(30) {
            sleep(Duration::from_millis(world.random_below(120) as u64)).await;
        }
        let stamp = world.id("stamp");
        let size = [0, 1, 30, 3000, 90_000][world.random_below(if world.chance(5) { 5 } else { 4 })];
        let mut text = format!("{stamp} for {id}: ").into_bytes();
        text.resize(text.len() + size, b'.');
        let status = match behavior {
            Behavior::ErrorWithoutNotRun => [503, 429, 408][world.random_below(3)],
            Behavior::Error => [500, 404, 504][world.random_below(3)],
            Behavior::ValidFraming(4) => 204,
            _ => 200,
        };
        if status == 204 || request.method == "HEAD" {
            text.clear();
        }
        let sent = SentResponse { id: id.clone(), status, body: text.clone() };
        world.ledger.borrow_mut().responses.insert(stamp.clone(), sent);
        let head_start = format!("HTTP/1.1 {status} Some\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n");
        let chunked = |trailer: &str| {
            let mut bytes = format!("{head_start}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            for piece in text.chunks(1 + text.len() / 3) {
                bytes.extend(format!("{:x};a=b\r\n", piece.len()).as_bytes());
                bytes.extend(piece);
                bytes.extend(b"\r\n");
            }
            bytes.extend(format!("0\r\n{trailer}\r\n").as_bytes());
            bytes
        };
        let response = encode_response(status, &id, &stamp, "", &text);
        if request.method == "HEAD" {
            let head = format!("{head_start}Content-Length: {}\r\n\r\n", world.random_below(1000));
            write_in_pieces(&world, &mut io, head.as_bytes()).await?;
            continue;
        }
        match behavior {
            Behavior::RunThenHang => {
                sleep(Duration::from_secs(4)).await;
                return Ok(());
            }
            Behavior::RunThenReset => {
                io.reset(world.chance(50));
                return Ok(());
            }
            Behavior::Truncate => {
                // Truncates at any byte, also inside chunks.
                let bytes = if world.chance(50) { response } else { chunked("") };
                let cut = world.random_below(bytes.len());
                write_in_pieces(&world, &mut io, &bytes[..cut]).await?;
                if world.chance(50) {
                    io.reset(false);
                }
                return Ok(());
            }
            Behavior::ExtraResponse(variant) => {
                write_in_pieces(&world, &mut io, &response).await?;
                match variant {
                    0 => write_in_pieces(&world, &mut io, &response).await?,
                    1 => write_in_pieces(&world, &mut io, b"\r\n").await?,
                    2 => {
                        write_in_pieces(
                            &world,
                            &mut io,
                            &response[..1 + world.random_below(response.len() - 1)],
                        )
                        .await?
                    }
                    3 => {
                        sleep(Duration::from_millis(world.random_below(300) as u64)).await;
                        write_in_pieces(&world, &mut io, &response).await?;
                    }
                    // Sent in place of the next response.
                    _ => previous_id = Some(id),
                }
                if previous_id.is_none() {
                    sleep(Duration::from_millis(30)).await;
                    has_unexpected_bytes = buf.is_empty() && io.is_idle();
                }
            }
            Behavior::Garbage => {
                let bytes: Vec<u8> =
                    (0..world.random_below(60)).map(|_| world.random_below(256) as u8).collect();
                write_in_pieces(&world, &mut io, &bytes).await?;
                return Ok(());
            }
            Behavior::WrongRequestId(variant) => {
                let size = text.len();
                let id_headers = match variant {
                    0..=2 => String::new(),
                    3 => format!("Request-Id: {id}\r\nRequest-Id: other\r\n"),
                    4 => format!("Request-Id: other\r\nRequest-Id: {id}\r\n"),
                    5 => "Request-Id: other\r\n".into(),
                    _ => "Request-Id: \r\n".into(),
                };
                let status = [200, 503, 500][world.random_below(3)];
                // This response belongs to no request that was sent.
                let sent = SentResponse { id: "other".into(), status, body: text.clone() };
                world.ledger.borrow_mut().responses.insert(stamp.clone(), sent);
                let not_run = if status == 503 { "Not-Run: 1\r\n" } else { "" };
                let head = format!(
                    "HTTP/1.1 {status} Some\r\n{id_headers}Stamp: {stamp}\r\n{not_run}Content-Length: {size}\r\n\r\n"
                );
                write_in_pieces(&world, &mut io, &[head.as_bytes(), &text].concat()).await?;
            }
            Behavior::AmbiguousFraming(variant) => {
                let size = text.len();
                let framing = match variant {
                    0 => format!("Content-Length: {size}\r\nContent-Length: {}\r\n", size + 1),
                    1 => format!("Content-Length: {size}\r\nTransfer-Encoding: chunked\r\n"),
                    2 => format!("Content-Length: +{size}\r\n"),
                    3 => "Transfer-Encoding: identity, chunked\r\n".into(),
                    // The body is longer or shorter than the stated length.
                    4 => format!("Content-Length: {}\r\n", size.saturating_sub(3)),
                    5 => format!("Content-Length: {}\r\n", size + 5),
                    // A chunk-size line without a number, which does not end the body.
                    6 => "Transfer-Encoding: chunked\r\n".into(),
                    _ => String::new(),
                };
                if variant == 7 && world.chance(50) {
                    // A success without a stamp.
                    let head =
                        format!("HTTP/1.1 200 Some\r\nRequest-Id: {id}\r\nContent-Length: {size}\r\n\r\n");
                    write_in_pieces(&world, &mut io, &[head.as_bytes(), &text].concat()).await?;
                    continue;
                }
                let mut bytes = format!("{head_start}{framing}\r\n").into_bytes();
                if variant == 6 {
                    let half = text.len() / 2;
                    bytes.extend(format!("{half:x}\r\n").as_bytes());
                    bytes.extend(&text[..half]);
                    bytes.extend(b"\r\n\r\n\r\n");
                } else {
                    bytes.extend(&text);
                }
                if variant == 4 {
                    // Clients must see the length that the head states.
                    let body = text[..size.saturating_sub(3)].to_vec();
                    let sent = SentResponse { id: id.clone(), status, body };
                    world.ledger.borrow_mut().responses.insert(stamp.clone(), sent);
                }
                if variant == 7 {
                    // Without a length, truncation looks like the end of the body.
                    bytes.truncate(bytes.len() - world.random_below(text.len()));
                }
                write_in_pieces(&world, &mut io, &bytes).await?;
                if variant == 7 || world.chance(50) {
                    return Ok(());
                }
            }
            Behavior::ValidFraming(variant) => match variant {
                0 => write_in_pieces(&world, &mut io, &chunked("X-T: 1\r\n")).await?,
                1 => write_in_pieces(&world, &mut io, &chunked("")).await?,
                2 => {
                    write_in_pieces(&world, &mut io, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    write_in_pieces(&world, &mut io, &response).await?;
                }
                3 => {
                    write_in_pieces(
                        &world,
                        &mut io,
                        &encode_response(status, &id, &stamp, "Connection: close\r\n", &text),
                    )
                    .await?;
                    return Ok(());
                }
                4 => write_in_pieces(&world, &mut io, format!("{head_start}\r\n").as_bytes()).await?,
                _ => write_in_pieces(&world, &mut io, &response).await?,
            },
            Behavior::DropSilently => {
                write_in_pieces(&world, &mut io, &response).await?;
                sleep(Duration::from_millis(world.random_below(300) as u64)).await;
                io.drop_silently();
                return Ok(());
            }
            _ => write_in_pieces(&world, &mut io, &response).await?,
        }
        world.count_event();
        if world.chance(world.fault_percent / 8) {
            return Ok(());
        }
    }
}
