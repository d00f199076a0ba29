//! Test clients that may pipeline requests, embed requests in bodies, or disconnect midway.

use super::wire::MemoryStream;
use super::{SentRequest, World};
use oakfall::plane::backends::Stream;
use oakfall_system::proxy::Proxy;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Maximum wait for a response; longer than the request deadline and the limits for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

struct ClientRequest {
    id: String,
    bytes: Vec<u8>,
    head_only: bool,
}

/// Creates a random request and records it.
fn request(world: &World, pipelined: bool) -> ClientRequest {
    let at_most_once = !pipelined && world.chance(60);
    let id = world.id("id");
    let path = if at_most_once {
        "/once/".to_owned() + &id
    } else {
        ["/safe/", "/load/"][world.random_below(2)].to_owned() + &id + "?q=1"
    };
    let method = match (pipelined, at_most_once) {
        (true, _) => "GET",
        (_, true) => "POST",
        _ => ["GET", "HEAD", "PUT"][world.random_below(3)],
    };
    // A body may look like a request, which must never run.
    let embedded = format!("GET /safe/hidden HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nRequest-Id: hidden-{id}\r\n\r\n");
    let body: Vec<u8> = if matches!(method, "GET" | "HEAD") {
        Vec::new()
    } else {
        match world.random_below(10) {
            0..=3 => embedded.repeat(1 + world.random_below(3)).into_bytes(),
            4 if world.chance(15) => vec![b'x'; 66_000 + world.random_below(20_000)],
            _ => vec![b'y'; world.random_below(3000)],
        }
    };
    let mut ambiguous = false;
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n");
    let key = if world.chance(5) { "k9" } else { "k1" };
    head += &format!("Authorization: Bearer {key}\r\n");
    let length = body.len();
    let mut bytes;
    match world.random_below(if pipelined || body.is_empty() { 1 } else { 12 }) {
        0..=5 if !body.is_empty() => {
            bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
            bytes.extend(&body);
        }
        6..=9 => {
            bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            for piece in body.chunks(1 + body.len() / 2) {
                bytes.extend(format!("{:x}\r\n", piece.len()).as_bytes());
                bytes.extend(piece);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\nX-T: 1\r\n\r\n");
        }
        10 => {
            ambiguous = true;
            bytes =
                format!("{head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{embedded}")
                    .into_bytes();
        }
        11 => {
            ambiguous = true;
            bytes =
                format!("{head}Content-Length: 0\r\nContent-Length: {}\r\n\r\n{embedded}", embedded.len())
                    .into_bytes();
        }
        _ => bytes = format!("{head}\r\n").into_bytes(),
    }
    let sent = SentRequest { method, path, body, at_most_once, ambiguous };
    world.ledger.borrow_mut().sent.insert(id.clone(), sent);
    ClientRequest { id, bytes, head_only: method == "HEAD" }
}

struct ClientResponse {
    status: u16,
    request_id: Option<String>,
    stamp: Option<String>,
    body: Vec<u8>,
    closes: bool,
}

/// Parses the next response and its encoded length; `None` if it is incomplete.
fn parse_response(
    bytes: &[u8], head_only: bool, eof: bool,
) -> Result<Option<(ClientResponse, usize)>, String> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("");
    let status = first.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse::<u16>().ok());
    let Some(status) = status else { return Err(format!("invalid status line: {first:?}")) };
    let mut response =
        ClientResponse { status, request_id: None, stamp: None, body: Vec::new(), closes: false };
    let (mut length, mut chunked) = (None, false);
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "request-id" => response.request_id = Some(value.to_owned()),
            "stamp" => response.stamp = Some(value.to_owned()),
            "content-length" => length = value.parse::<usize>().ok(),
            "transfer-encoding" => chunked = true,
            "connection" => response.closes |= value == "close",
            _ => {}
        }
    }
    let mut offset = end + 4;
    if status == 100 {
        return Ok(parse_response(&bytes[offset..], head_only, eof)?
            .map(|(response, used)| (response, used + offset)));
    }
    if head_only || status == 204 || status == 304 {
        return Ok(Some((response, offset)));
    }
    if chunked {
        loop {
            let Some(line) = bytes[offset..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
            let digits = String::from_utf8_lossy(&bytes[offset..offset + line]).into_owned();
            let size =
                usize::from_str_radix(&digits, 16).map_err(|_| format!("invalid chunk size: {digits:?}"))?;
            offset += line + 2;
            if bytes.len() < offset + size + 2 {
                return Ok(None);
            }
            response.body.extend(&bytes[offset..offset + size]);
            offset += size + 2;
            if size == 0 {
                return Ok(Some((response, offset)));
            }
        }
    }
    match length {
        Some(length) if bytes.len() < offset + length => Ok(None),
        Some(length) => {
            response.body = bytes[offset..offset + length].to_vec();
            Ok(Some((response, offset + length)))
        }
        None if eof => {
            response.body = bytes[offset..].to_vec();
            Ok(Some((response, bytes.len())))
        }
        None => Ok(None),
    }
}

/// Runs one client: a few connections in sequence.
pub async fn run(world: Rc<World>, proxy: Rc<Proxy>) {
    for _ in 0..1 + world.random_below(3) {
        connection(&world, &proxy).await;
        sleep(Duration::from_millis(world.random_below(400) as u64)).await;
    }
}

async fn connection(world: &Rc<World>, proxy: &Rc<Proxy>) {
    let (client_end, proxy_end) = MemoryStream::pair(200_000, [1, 50, 100_000][world.random_below(3)]);
    let server = tokio::task::spawn_local(proxy.clone().serve_connection(proxy_end));
    let pipelines = world.chance(50);
    let count = 1 + world.random_below(4);
    let requests: Vec<_> = (0..count).map(|n| request(world, pipelines && n > 0)).collect();
    let total_bytes: usize = requests.iter().map(|request| request.bytes.len()).sum();
    // Byte offset at which the client disconnects, if it does.
    let disconnect_at = world.chance(12).then(|| world.random_below(total_bytes));
    let response_count = Rc::new((Cell::new(0usize), Notify::new()));
    let started_count = Rc::new(Cell::new(0usize));
    let writer = {
        let (world, response_count, started_count, mut io) =
            (world.clone(), response_count.clone(), started_count.clone(), client_end.clone());
        let parts: Vec<_> = requests.iter().map(|request| request.bytes.clone()).collect();
        tokio::task::spawn_local(async move {
            let mut written = 0;
            for (index, bytes) in parts.into_iter().enumerate() {
                while !pipelines && response_count.0.get() < index {
                    response_count.1.notified().await;
                }
                started_count.set(index + 1);
                let mut left = &bytes[..];
                while !left.is_empty() {
                    let max_piece = if world.chance(70) { left.len() } else { left.len().min(50) };
                    let piece = 1 + world.random_below(max_piece);
                    if disconnect_at.is_some_and(|disconnect_at| written + piece > disconnect_at) {
                        io.reset(world.chance(50));
                        return;
                    }
                    if io.write_all(&left[..piece]).await.is_err() {
                        return;
                    }
                    (written, left) = (written + piece, &left[piece..]);
                    if world.chance(10) {
                        sleep(Duration::from_millis(world.random_below(60) as u64)).await;
                    }
                }
            }
        })
    };
    let mut io = client_end;
    let mut buf = Vec::new();
    let mut eof = false;
    'requests: for (index, request) in requests.iter().enumerate() {
        loop {
            match parse_response(&buf, request.head_only, eof) {
                Err(error) => return world.report_violation(format!("MIXED: {}: {error}", request.id)),
                Ok(Some((response, used))) => {
                    if started_count.get() <= index {
                        world.report_violation(format!(
                            "MIXED: {} is not sent yet, but gets {}",
                            request.id, response.status
                        ));
                    }
                    buf.drain(..used);
                    world.record_response(
                        &request.id,
                        response.status,
                        response.request_id.as_deref(),
                        response.stamp.as_deref(),
                        &response.body,
                    );
                    response_count.0.set(index + 1);
                    response_count.1.notify_one();
                    if response.closes {
                        break 'requests;
                    }
                    break;
                }
                Ok(None) if eof => break 'requests,
                Ok(None) => match timeout(RESPONSE_TIMEOUT, io.read_buf(&mut buf)).await {
                    Ok(Ok(0)) => eof = true,
                    // Reads all available bytes before parsing.
                    Ok(Ok(_)) => {
                        if buf.len() > 2000 {
                            sleep(Duration::from_millis(2)).await;
                        }
                        while !eof && !io.is_idle() {
                            eof = !matches!(io.read_buf(&mut buf).await, Ok(read) if read > 0);
                        }
                    }
                    Ok(Err(_)) => eof = true,
                    Err(_) => {
                        world.report_violation(format!(
                            "SILENT: {} has no response after {RESPONSE_TIMEOUT:?}",
                            request.id
                        ));
                        break 'requests;
                    }
                },
            }
        }
    }
    // No bytes may follow the last response.
    while !eof {
        match timeout(Duration::from_millis(50), io.read_buf(&mut buf)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => eof = true,
        }
    }
    if response_count.0.get() == requests.len() && !buf.is_empty() {
        // The HTTP library answers invalid bytes with 400 and closes the connection.
        let text = String::from_utf8_lossy(&buf).into_owned();
        if !text.starts_with("HTTP/1.1 400 Bad Request\r\n") {
            world.report_violation(format!(
                "MIXED: bytes after the last response: {:?}",
                &text[..text.len().min(120)]
            ));
        }
    }
    writer.abort();
    drop(io);
    let _ = timeout(RESPONSE_TIMEOUT, server).await;
}
