//! Reads HTTP/1.1 answers from backends, the counter and discovery: heads by httparse, bodies by their framing.

use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest head or chunk line of an answer.
const HEAD_MOST: usize = 16 * 1024;

/// Most lines of a head.
const HEADERS: usize = 64;

/// Lines that tell where an answer ends and what follows it.
const FRAMING: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// Most heads before an answer's own, such as «continue».
const BEFORE_MOST: usize = 8;

/// Room for one read: a usual answer fits in.
const READ: usize = 2048;
/// And in a large body, where each read is a call to the system.
const READ_LARGE: usize = 32 * 1024;

/// What the gateway needs of an answer's head.
#[derive(Clone, Debug)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The body's length, where the head tells.
    pub length: Option<u64>,
    /// The connection may carry another request.
    pub keep: bool,
    /// The backend says that the request never ran.
    pub turned_away: bool,
    /// The request's true units.
    pub units: Option<f64>,
    /// The body's type.
    pub content_type: Option<Bytes>,
    /// The head as it came.
    pub raw: Bytes,
}

/// What is left of the body that is being read.
enum Left {
    Length(u64),
    /// The line that begins a chunk.
    Chunk,
    /// What is left of a chunk, and the end of its line.
    InChunk(u64),
    ChunkEnd,
    Trailers,
    Close,
    Done,
}

/// One connection's answers. All state is kept here, so that a read that is dropped loses nothing.
pub struct Reader<R> {
    /// The connection.
    pub io: R,
    buf: BytesMut,
    left: Left,
    head: Option<Head>,
    body: BytesMut,
    bodiless: bool,
}

fn bad(message: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, message)
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Nothing has come yet.
    pub fn new(io: R) -> Self {
        Reader {
            io,
            buf: BytesMut::new(),
            left: Left::Done,
            head: None,
            body: BytesMut::new(),
            bodiless: false,
        }
    }

    /// Whether the next answer is to a HEAD, and so without a body whatever its head tells.
    pub fn expect_no_body(&mut self, none: bool) {
        self.bodiless = none;
    }

    /// True if bytes lie here that no request asked for.
    pub fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    /// True if part of an answer has come.
    pub fn begun(&self) -> bool {
        self.head.is_some() || self.has_more()
    }

    async fn fill(&mut self) -> io::Result<()> {
        // Left to itself the buffer grows by 64 bytes, and each is a call to the system.
        self.buf.reserve(match self.left {
            Left::Length(left) | Left::InChunk(left) => (left as usize).clamp(READ, READ_LARGE),
            _ => READ,
        });
        match self.io.read_buf(&mut self.buf).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// The next answer's head; its body follows by `piece`.
    pub async fn head(&mut self) -> io::Result<Head> {
        let mut before = 0;
        loop {
            if let Some((mut head, left, used)) = parse_head(&self.buf, self.bodiless)? {
                if head.status < 200 {
                    before += 1;
                    // What follows a change of protocol is no answer.
                    if head.status == 101 || before > BEFORE_MOST {
                        return Err(bad("no answer that was asked for"));
                    }
                    self.buf.advance(used);
                    continue;
                }
                head.raw = self.buf.split_to(used).freeze();
                self.left = left;
                return Ok(head);
            }
            if self.buf.len() > HEAD_MOST {
                return Err(bad("head too long"));
            }
            self.fill().await?;
        }
    }

    /// The next bytes of the body, `None` at its proper end. A body that ends too early is an error.
    pub async fn piece(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            match self.left {
                Left::Done | Left::Length(0) => return Ok(None),
                Left::Length(left) | Left::InChunk(left) if !self.buf.is_empty() => {
                    let piece = self.buf.split_to((left.min(READ_LARGE as u64) as usize).min(self.buf.len()));
                    let rest = left - piece.len() as u64;
                    self.left = match self.left {
                        Left::Length(_) => Left::Length(rest),
                        _ if rest == 0 => Left::ChunkEnd,
                        _ => Left::InChunk(rest),
                    };
                    return Ok(Some(piece.freeze()));
                }
                Left::Chunk => match httparse::parse_chunk_size(&self.buf).map_err(|_| bad("bad chunk"))? {
                    // A line without a number reads as nought, which would end the body; and who takes a lone LF for a
                    // line's end sees other chunks.
                    httparse::Status::Complete((used, _)) if !chunk_line(&self.buf[..used]) => {
                        return Err(bad("bad chunk"));
                    }
                    httparse::Status::Complete((used, 0)) => {
                        self.buf.advance(used);
                        self.left = Left::Trailers;
                        continue;
                    }
                    httparse::Status::Complete((used, size)) => {
                        self.buf.advance(used);
                        self.left = Left::InChunk(size);
                        continue;
                    }
                    httparse::Status::Partial if self.buf.len() > HEAD_MOST => return Err(bad("bad chunk")),
                    httparse::Status::Partial => {}
                },
                Left::ChunkEnd if self.buf.len() >= 2 => {
                    if &self.buf.split_to(2)[..] != b"\r\n" {
                        return Err(bad("bad chunk"));
                    }
                    self.left = Left::Chunk;
                    continue;
                }
                Left::Trailers => {
                    if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                        if self.buf[..end].contains(&b'\n') {
                            return Err(bad("bad trailer"));
                        }
                        self.buf.advance(end + 2);
                        if end == 0 {
                            self.left = Left::Done;
                        }
                        continue;
                    }
                    if self.buf.len() > HEAD_MOST {
                        return Err(bad("trailer too long"));
                    }
                }
                Left::Close if !self.buf.is_empty() => return Ok(Some(self.buf.split().freeze())),
                Left::Length(_) | Left::InChunk(_) | Left::ChunkEnd | Left::Close => {}
            }
            match self.fill().await {
                Err(e) if e.kind() == ErrorKind::UnexpectedEof && matches!(self.left, Left::Close) => {
                    self.left = Left::Done;
                }
                other => other?,
            }
        }
    }

    /// A whole answer of at most `most` bytes.
    pub async fn answer(&mut self, most: usize) -> io::Result<(Head, Bytes)> {
        self.peek_head().await?;
        match self.held(most).await? {
            Some(body) => Ok((self.head.take().ok_or_else(|| bad("no head"))?, body)),
            None => Err(bad("body too long")),
        }
    }

    /// The next answer's head, which `answer` or `take_head` still gives.
    pub async fn peek_head(&mut self) -> io::Result<&Head> {
        let head = match self.head.take() {
            Some(head) => head,
            None => self.head().await?,
        };
        Ok(self.head.insert(head))
    }

    /// The head that was peeked at.
    pub fn take_head(&mut self) -> io::Result<Head> {
        self.head.take().ok_or_else(|| bad("no head"))
    }

    /// The whole body, if it has at most `most` bytes. Else what has come of it is left for `held_so_far`.
    pub async fn held(&mut self, most: usize) -> io::Result<Option<Bytes>> {
        while let Some(piece) = self.piece().await? {
            self.body.extend_from_slice(&piece);
            if self.body.len() > most {
                return Ok(None);
            }
        }
        Ok(Some(self.body.split().freeze()))
    }

    /// What `held` took in of a body that is not whole.
    pub fn held_so_far(&mut self) -> Bytes {
        self.body.split().freeze()
    }
}

impl Head {
    /// The lines of the head, in order.
    pub fn each(&self, mut line: impl FnMut(&str, &[u8])) {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        // It was parsed once already.
        if parser().parse_response(&mut response, &self.raw).is_ok() {
            response.headers.iter().for_each(|header| line(header.name, header.value));
        }
    }
}

fn parser() -> httparse::ParserConfig {
    let mut parser = httparse::ParserConfig::default();
    parser.allow_obsolete_multiline_headers_in_responses(true);
    parser
}

/// Whether a head has a line's end that not everyone takes for one: an LF without its CR. An empty line before it is
/// none of it.
pub fn lone_end(head: &[u8]) -> bool {
    let mut before = 0;
    head.iter().any(|byte| std::mem::replace(&mut before, *byte) != b'\r' && *byte == b'\n')
        || matches!(head, [b'\r' | b'\n', ..])
}

/// Whether a second answer begins inside a head: what was left of a surplus one, and right behind it the answer that is due,
/// would pass for one with the status of the first and the name of the second.
fn glued(head: &[u8]) -> bool {
    let begins = |from: &[u8]| {
        matches!(from, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', status @ ..]
            if status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
    };
    (1..head.len()).any(|at| head[at] == b'H' && begins(&head[at..]))
}

/// Whether a line that tells where an answer ends goes on in the next one: some read that, and others do not.
fn folded(head: &[u8]) -> bool {
    let folds = |line: &[u8]| matches!(line, [b' ' | b'\t', ..]);
    if !head.windows(2).any(|pair| pair[0] == b'\n' && folds(&pair[1..])) {
        return false;
    }
    let mut framing = false;
    head.split(|byte| *byte == b'\n').any(|line| {
        if folds(line) {
            return framing;
        }
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        framing = FRAMING.iter().any(|of| name.eq_ignore_ascii_case(of.as_bytes()));
        false
    })
}

/// Whether a chunk's first line begins with a digit of its length and ends where anyone sees it end.
fn chunk_line(line: &[u8]) -> bool {
    let text = line.strip_suffix(b"\r\n").unwrap_or(line);
    text.first().is_some_and(u8::is_ascii_hexdigit) && !text.iter().any(|b| matches!(b, b'\r' | b'\n'))
}

fn parse_head(buf: &[u8], bodiless: bool) -> io::Result<Option<(Head, Left, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let used = match parser().parse_response(&mut response, buf) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("no HTTP answer")),
    };
    if lone_end(&buf[..used]) {
        return Err(bad("a lone LF, or a line before the answer"));
    }
    if glued(&buf[..used]) {
        return Err(bad("an answer in another's head"));
    }
    if folded(&buf[..used]) {
        return Err(bad("framing over several lines"));
    }
    let status = response.code.unwrap_or(0);
    let mut head = Head {
        status,
        length: None,
        keep: response.version == Some(1),
        turned_away: false,
        units: None,
        content_type: None,
        raw: Bytes::new(),
    };
    let (mut length, mut chunked) = (None, false);
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        let named = |name: &str| header.name.eq_ignore_ascii_case(name);
        if named("content-length") {
            // A sign is no digit, though it parses.
            let digits = Some(value).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
            let value =
                digits.and_then(|v| v.parse::<u64>().ok()).ok_or_else(|| bad("bad content length"))?;
            if length.is_some_and(|l| l != value) {
                return Err(bad("two content lengths"));
            }
            length = Some(value);
        } else if named("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || chunked || response.version != Some(1) {
                return Err(bad("unknown transfer encoding"));
            }
            chunked = true;
        } else if named("connection") {
            for word in value.split(',').map(str::trim) {
                head.keep &= !word.eq_ignore_ascii_case("close");
                head.keep |= word.eq_ignore_ascii_case("keep-alive");
            }
        } else if named("x-turned-away") {
            head.turned_away = value == "1";
        } else if named("x-units-charged") {
            head.units = value.parse().ok().filter(|units: &f64| units.is_finite() && *units >= 0.0);
        } else if named("content-type") {
            head.content_type = Some(Bytes::copy_from_slice(header.value));
        }
    }
    if chunked && length.is_some() {
        return Err(bad("a content length and chunks"));
    }
    let left = match (status, chunked, length) {
        _ if bodiless => Left::Done,
        (100..=199 | 204 | 304, ..) => Left::Done,
        (_, true, _) => Left::Chunk,
        (_, _, Some(length)) => Left::Length(length),
        _ => {
            head.keep = false;
            Left::Close
        }
    };
    if let Left::Length(length) = left {
        head.length = Some(length);
    }
    Ok(Some((head, left, used)))
}
