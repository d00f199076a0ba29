//! HTTP/1.1 response reader for backends, the counter and discovery. Heads are parsed by httparse.

use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a response head, a chunk-size line or one trailer line.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of headers.
const MAX_HEADERS: usize = 64;

/// Headers that determine where a response ends and whether the connection stays open.
const FRAMING_HEADERS: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// Maximum number of interim (1xx) responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Read buffer size; holds a typical response.
const READ_BYTES: usize = 2048;
/// Maximum read buffer size within a large body, which saves system calls, and maximum size of a piece of a
/// framed body.
const MAX_READ_BYTES: usize = 32 * 1024;

/// The head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Length of the body that follows, if Content-Length frames it; `None` if it is framed otherwise or
    /// there is none.
    pub length: Option<u64>,
    /// The connection stays open after the response.
    pub keep_alive: bool,
    /// `X-Turned-Away: 1`: the request was not executed.
    pub not_run: bool,
    /// `X-Units-Charged`: the units that the backend charged for the request.
    pub units: Option<f64>,
    /// Media type of the body.
    pub content_type: Option<Bytes>,
    /// The unparsed head.
    pub raw: Bytes,
}

/// Parser state of the body that is being read.
enum BodyState {
    /// Bytes left of a body with a content length.
    Length(u64),
    ChunkSize,
    /// Bytes left of the current chunk.
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    /// The body ends when the connection is closed.
    UntilClose,
    Done,
}

/// Reads the responses of one connection. Its methods are cancel-safe: dropping their futures loses no data.
pub struct Reader<R> {
    /// The underlying connection.
    pub io: R,
    buf: BytesMut,
    state: BodyState,
    head: Option<Head>,
    body: BytesMut,
    no_body: bool,
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, message)
}

fn bad_chunk() -> io::Error {
    invalid("invalid response: malformed chunk")
}

fn no_head() -> io::Error {
    invalid("no response head was read")
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader of a connection on which nothing has been received.
    pub fn new(io: R) -> Self {
        Reader {
            io,
            buf: BytesMut::new(),
            state: BodyState::Done,
            head: None,
            body: BytesMut::new(),
            no_body: false,
        }
    }

    /// Sets whether the following responses, until the next call, are to HEAD requests and thus have no body,
    /// whatever their headers say.
    pub fn expect_no_body(&mut self, no_body: bool) {
        self.no_body = no_body;
    }

    /// True if unparsed bytes are buffered. After a complete response, such bytes belong to no request.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buf.is_empty()
    }

    async fn fill(&mut self) -> io::Result<()> {
        // By default the buffer would grow by only 64 bytes per system call.
        self.buf.reserve(match self.state {
            BodyState::Length(left) | BodyState::ChunkData(left) => {
                (left as usize).clamp(READ_BYTES, MAX_READ_BYTES)
            }
            _ => READ_BYTES,
        });
        match self.io.read_buf(&mut self.buf).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the head of the next response. Its body is to be read with `next_bytes` or `read_body`.
    pub async fn read_head(&mut self) -> io::Result<Head> {
        let mut interim_responses = 0;
        loop {
            if let Some((mut head, state, used)) = parse_head(&self.buf, self.no_body)? {
                if head.status < 200 {
                    interim_responses += 1;
                    // After a protocol switch, the following bytes are not HTTP.
                    if head.status == 101 || interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(invalid("invalid response: unexpected interim response"));
                    }
                    self.buf.advance(used);
                    continue;
                }
                head.raw = self.buf.split_to(used).freeze();
                self.state = state;
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(invalid("invalid response: head too long"));
            }
            self.fill().await?;
        }
    }

    /// Reads the next bytes of the body; `None` at its end. A truncated body is an error.
    pub async fn next_bytes(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            match self.state {
                BodyState::Done | BodyState::Length(0) => return Ok(None),
                BodyState::Length(left) | BodyState::ChunkData(left) if !self.buf.is_empty() => {
                    let data =
                        self.buf.split_to((left.min(MAX_READ_BYTES as u64) as usize).min(self.buf.len()));
                    let rest = left - data.len() as u64;
                    self.state = match self.state {
                        BodyState::Length(_) => BodyState::Length(rest),
                        _ if rest == 0 => BodyState::ChunkEnd,
                        _ => BodyState::ChunkData(rest),
                    };
                    return Ok(Some(data.freeze()));
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(&self.buf)
                    .map_err(|_| bad_chunk())?
                {
                    // httparse reads a line without digits as size zero, which would end the body, and
                    // accepts a bare LF, which other parsers frame differently.
                    httparse::Status::Complete((used, _)) if !is_strict_chunk_line(&self.buf[..used]) => {
                        return Err(bad_chunk());
                    }
                    httparse::Status::Complete((used, 0)) => {
                        self.buf.advance(used);
                        self.state = BodyState::Trailers;
                        continue;
                    }
                    httparse::Status::Complete((used, size)) => {
                        self.buf.advance(used);
                        self.state = BodyState::ChunkData(size);
                        continue;
                    }
                    httparse::Status::Partial if self.buf.len() > MAX_HEAD_BYTES => return Err(bad_chunk()),
                    httparse::Status::Partial => {}
                },
                BodyState::ChunkEnd if self.buf.len() >= 2 => {
                    if &self.buf.split_to(2)[..] != b"\r\n" {
                        return Err(bad_chunk());
                    }
                    self.state = BodyState::ChunkSize;
                    continue;
                }
                BodyState::Trailers => {
                    if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                        if self.buf[..end].contains(&b'\n') {
                            return Err(invalid("invalid response: bare LF in the trailers"));
                        }
                        self.buf.advance(end + 2);
                        if end == 0 {
                            self.state = BodyState::Done;
                        }
                        continue;
                    }
                    if self.buf.len() > MAX_HEAD_BYTES {
                        return Err(invalid("invalid response: trailer line too long"));
                    }
                }
                BodyState::UntilClose if !self.buf.is_empty() => return Ok(Some(self.buf.split().freeze())),
                BodyState::Length(_)
                | BodyState::ChunkData(_)
                | BodyState::ChunkEnd
                | BodyState::UntilClose => {}
            }
            match self.fill().await {
                Err(e)
                    if e.kind() == ErrorKind::UnexpectedEof
                        && matches!(self.state, BodyState::UntilClose) =>
                {
                    self.state = BodyState::Done;
                }
                other => other?,
            }
        }
    }

    /// Reads a complete response whose body has at most `max` bytes.
    pub async fn read_response(&mut self, max: usize) -> io::Result<(Head, Bytes)> {
        self.peek_head().await?;
        match self.read_body(max).await? {
            Some(body) => Ok((self.head.take().ok_or_else(no_head)?, body)),
            None => Err(invalid("invalid response: body too long")),
        }
    }

    /// Reads the head of the next response without taking it.
    pub async fn peek_head(&mut self) -> io::Result<&Head> {
        let head = match self.head.take() {
            Some(head) => head,
            None => self.read_head().await?,
        };
        Ok(self.head.insert(head))
    }

    /// Takes the head read by `peek_head`.
    pub fn take_head(&mut self) -> io::Result<Head> {
        self.head.take().ok_or_else(no_head)
    }

    /// Reads the complete body. Returns `None` if it exceeds `max` bytes; the bytes read are left for
    /// `take_partial_body`.
    pub async fn read_body(&mut self, max: usize) -> io::Result<Option<Bytes>> {
        while let Some(data) = self.next_bytes().await? {
            self.body.extend_from_slice(&data);
            if self.body.len() > max {
                return Ok(None);
            }
        }
        Ok(Some(self.body.split().freeze()))
    }

    /// Takes the bytes that `read_body` has read of an incomplete body.
    pub fn take_partial_body(&mut self) -> Bytes {
        self.body.split().freeze()
    }
}

impl Head {
    /// Calls `visit` with the name and value of each header, in order.
    pub fn for_each_header(&self, mut visit: impl FnMut(&str, &[u8])) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        // The head was parsed successfully before.
        if parser().parse_response(&mut response, &self.raw).is_ok() {
            response.headers.iter().for_each(|header| visit(header.name, header.value));
        }
    }
}

fn parser() -> httparse::ParserConfig {
    let mut parser = httparse::ParserConfig::default();
    parser.allow_obsolete_multiline_headers_in_responses(true);
    parser
}

/// Whether a head contains an LF without a CR, or starts with an empty line. Parsers disagree on both.
pub fn has_ambiguous_line_ends(head: &[u8]) -> bool {
    let mut previous = 0;
    head.iter().any(|byte| std::mem::replace(&mut previous, *byte) != b'\r' && *byte == b'\n')
        || matches!(head, [b'\r' | b'\n', ..])
}

/// Whether a status line occurs inside a head. A truncated unexpected response followed by the expected one
/// would otherwise be read as one response with the status of the first and the request id of the second.
fn has_embedded_status_line(head: &[u8]) -> bool {
    let starts_response = |from: &[u8]| {
        matches!(from, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', status @ ..]
            if status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
    };
    (1..head.len()).any(|at| head[at] == b'H' && starts_response(&head[at..]))
}

/// Whether a framing header is folded over several lines, which not all parsers support.
fn has_folded_framing_header(head: &[u8]) -> bool {
    let is_continuation = |line: &[u8]| matches!(line, [b' ' | b'\t', ..]);
    if !head.windows(2).any(|pair| pair[0] == b'\n' && is_continuation(&pair[1..])) {
        return false;
    }
    let mut framing = false;
    head.split(|byte| *byte == b'\n').any(|line| {
        if is_continuation(line) {
            return framing;
        }
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        framing = FRAMING_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header.as_bytes()));
        false
    })
}

/// Whether a chunk-size line starts with a hex digit and contains no bare CR or LF.
fn is_strict_chunk_line(line: &[u8]) -> bool {
    let text = line.strip_suffix(b"\r\n").unwrap_or(line);
    text.first().is_some_and(u8::is_ascii_hexdigit) && !text.iter().any(|b| matches!(b, b'\r' | b'\n'))
}

/// Parses the head at the start of `buf`. Returns it, the initial state of its body and the number of bytes
/// parsed, or `None` if it is incomplete.
fn parse_head(buf: &[u8], no_body: bool) -> io::Result<Option<(Head, BodyState, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let used = match parser().parse_response(&mut response, buf) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("invalid response: malformed head")),
    };
    if has_ambiguous_line_ends(&buf[..used]) {
        return Err(invalid("invalid response: bare LF or leading empty line"));
    }
    if has_embedded_status_line(&buf[..used]) {
        return Err(invalid("invalid response: status line inside the head"));
    }
    if has_folded_framing_header(&buf[..used]) {
        return Err(invalid("invalid response: folded framing header"));
    }
    let status = response.code.unwrap_or(0);
    let mut head = Head {
        status,
        length: None,
        keep_alive: response.version == Some(1),
        not_run: false,
        units: None,
        content_type: None,
        raw: Bytes::new(),
    };
    let (mut content_length, mut chunked) = (None, false);
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            // `parse` alone would accept a leading plus sign.
            let digits = Some(value).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
            let value = digits
                .and_then(|digits| digits.parse::<u64>().ok())
                .ok_or_else(|| invalid("invalid response: malformed content length"))?;
            if content_length.is_some_and(|other| other != value) {
                return Err(invalid("invalid response: conflicting content lengths"));
            }
            content_length = Some(value);
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || chunked || response.version != Some(1) {
                return Err(invalid("invalid response: unsupported transfer encoding"));
            }
            chunked = true;
        } else if is("connection") {
            for option in value.split(',').map(str::trim) {
                head.keep_alive &= !option.eq_ignore_ascii_case("close");
                head.keep_alive |= option.eq_ignore_ascii_case("keep-alive");
            }
        } else if is("x-turned-away") {
            head.not_run = value == "1";
        } else if is("x-units-charged") {
            head.units = value.parse().ok().filter(|units: &f64| units.is_finite() && *units >= 0.0);
        } else if is("content-type") {
            head.content_type = Some(Bytes::copy_from_slice(header.value));
        }
    }
    if chunked && content_length.is_some() {
        return Err(invalid("invalid response: both content length and chunked encoding"));
    }
    let state = match (status, chunked, content_length) {
        _ if no_body => BodyState::Done,
        (100..=199 | 204 | 304, ..) => BodyState::Done,
        (_, true, _) => BodyState::ChunkSize,
        (_, _, Some(length)) => BodyState::Length(length),
        _ => {
            head.keep_alive = false;
            BodyState::UntilClose
        }
    };
    if let BodyState::Length(length) = state {
        head.length = Some(length);
    }
    Ok(Some((head, state, used)))
}
