//! What reads other people's bytes, driven with any bytes in any pieces, against a slow reader that sees the whole at
//! once: the same requests or answers and the same end, or a refusal. Longer by `SECONDS`.

use cherrytally::plane::http::Reader;
use overland::ahead::Splitter;
use overland::charging::Pending;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};

/// Inputs in each test run.
const USUAL: usize = 4000;

/// Drives a check with drawn bytes: in each test run so many, by `SECONDS` for so long.
fn drive(check: fn(&[u8])) {
    let seconds = std::env::var("SECONDS").ok().and_then(|text| text.parse().ok());
    let drawn = bolero::check!().with_max_len(600);
    match seconds {
        Some(seconds) => drawn.with_test_time(Duration::from_secs(seconds)).for_each(check),
        None => drawn.with_iterations(USUAL).for_each(check),
    }
}

/// Drawn bytes as choices; past their end all are nought.
struct Choices<'a>(&'a [u8], usize);

impl Choices<'_> {
    fn next(&mut self) -> u8 {
        self.1 += 1;
        self.0.get(self.1 - 1).copied().unwrap_or(0)
    }

    fn more(&self) -> bool {
        self.1 < self.0.len()
    }
}

/// Parts of messages, sound and not, of which drawn bytes make streams.
const PARTS: [&str; 64] = [
    "GET /a HTTP/1.1\r\n",
    "GET /b?x=y HTTP/1.1\r\n",
    "POST /c HTTP/1.1\r\n",
    "HEAD /d HTTP/1.1\r\n",
    "CONNECT e:1 HTTP/1.1\r\n",
    "GET /f HTTP/1.0\r\n",
    "Host: h\r\n",
    "Content-Length: 0\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: 12\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: 5, 5\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length:\r\n",
    "Content-Length : 5\r\n",
    "content-length: 5 \r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: identity, chunked\r\n",
    "Transfer-Encoding:\r\n chunked\r\n",
    "Transfer-Encoding\x0b: chunked\r\n",
    "Connection: close\r\n",
    "Connection: keep-alive\r\n",
    "Upgrade: x\r\n",
    "Expect: 100-continue\r\n",
    "\r\n",
    "\n",
    "\r",
    "hello",
    "0\r\n\r\n",
    "5\r\nhello\r\n",
    "5\r\nhello",
    "5;a=b\r\nhello\r\n",
    "5;a=\nb\r\nhello\r\n",
    "05\r\nhello\r\n",
    "ffffffffffffffff\r\n",
    "10000000000000000\r\n",
    "-5\r\nhello\r\n",
    " 5\r\nhello\r\n",
    "5 \r\nhello\r\n",
    "5\nhello\n",
    "\r\n\r\n",
    "0\r\nX: y\r\n\r\n",
    "0\r\nX: y\n\n",
    "0;z\r\n\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 204 No\r\n",
    "HTTP/1.1 304 No\r\n",
    "HTTP/1.1 100 Go\r\n",
    "HTTP/1.1 101 Other\r\n",
    "HTTP/1.0 200 OK\r\n",
    "HTTP/1.1 500 No\r\n",
    "HTTP/2 200 OK\r\n",
    "Request-Id: 1\r\n",
    "Stamp: s\r\n",
    "X: \u{e9}\r\n",
    " folded\r\n",
    "GET /z HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /z HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /y HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "\0",
];

/// A stream of such parts, and now and then of any bytes.
fn stream(choices: &mut Choices) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..choices.next() % 24 {
        match choices.next() {
            at @ 0..=239 => bytes.extend(PARTS[at as usize % PARTS.len()].as_bytes()),
            _ => bytes.push(choices.next()),
        }
    }
    bytes
}

// ---- Requests behind one another ------------------------------------------------------------------------------------

/// Where the request at the front ends, if that is beyond doubt: its whole length, and its path if it has no body. By
/// the letter of the standard and no leniency at all; nought for «not yet», none for «unsure».
fn plainly(bytes: &[u8]) -> Option<(usize, Option<String>)> {
    let skip = bytes.len() - bytes.strip_prefix(b"\r\n").unwrap_or(bytes).len();
    let from = &bytes[skip..];
    let end = from.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = std::str::from_utf8(&from[..end]).ok()?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path, version) = (first.next()?, first.next()?, first.next()?);
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    if method.is_empty()
        || method == "CONNECT"
        || !path.starts_with('/')
        || !method.bytes().all(token)
        || version != "HTTP/1.1"
        || first.next().is_some()
    {
        return None;
    }
    let mut length = None;
    for line in lines {
        let (name, value) = line.split_once(':')?;
        if name.is_empty() || !name.bytes().all(token) || value.bytes().any(|b| b < 32) {
            return None;
        }
        match name.to_ascii_lowercase().as_str() {
            "transfer-encoding" | "upgrade" | "expect" => return None,
            "connection" if value.to_ascii_lowercase().contains("close") => return None,
            "content-length" if length.is_some() => return None,
            "content-length" => {
                let digits = value.trim_matches(' ');
                let all = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
                length = Some(digits.parse::<usize>().ok().filter(|_| all)?);
            }
            _ => {}
        }
    }
    let whole = (skip + end + 4).checked_add(length.unwrap_or(0))?;
    let path = path.split('?').next().unwrap_or_default();
    Some((whole, length.is_none().then(|| path.to_owned())))
}

fn splits(drawn: &[u8]) {
    let mut choices = Choices(drawn, 0);
    let all = stream(&mut choices);
    let (mut splitter, mut handed, mut told) = (Splitter::default(), Vec::new(), Vec::new());
    let (mut fed, mut turns) = (0, 0);
    // Where the turns began.
    let mut begins = vec![0];
    while fed < all.len() || choices.more() {
        let mut found = Vec::new();
        let act = choices.next();
        if act & 1 == 0 && fed < all.len() && !splitter.full() {
            let more = (fed + 1 + (act >> 3) as usize).min(all.len());
            found.extend(splitter.feed(&all[fed..more]));
            fed = more;
        }
        let open = splitter.readable();
        if act & 2 == 0 && open > 0 {
            let mut room = vec![0; 1 + choices.next() as usize * 4];
            let mut buf = ReadBuf::new(&mut room);
            found.extend(splitter.read_into(&mut buf));
            handed.extend_from_slice(buf.filled());
        }
        told.extend(found.into_iter().map(|parts| parts.uri.path().to_owned()));
        // It is answered: at its proper end, or now and then before.
        if splitter.readable() == 0 && handed.len() > begins[turns] && act & 4 == 0 || act == 255 {
            splitter.response_done();
            turns += 1;
            begins.push(handed.len());
        }
        if choices.1 > 4 * drawn.len() + 4000 {
            break;
        }
    }
    assert_eq!(handed, &all[..handed.len()], "what is handed on is what came, in order");
    // The slow reader sees all at once, and goes on as long as all is beyond doubt.
    let (mut at, mut may) = (0, Vec::new());
    while let Some((length, path)) = plainly(&all[at..]) {
        at += length;
        may.extend(path.filter(|_| at > length));
        if at > all.len() {
            break;
        }
    }
    // What is told ahead stands there for the slow reader too, in order: nothing out of a body, nothing twice.
    let mut left = may.iter();
    for path in &told {
        assert!(left.any(|of| of == path), "{path} is told ahead of {:?}", String::from_utf8_lossy(&all));
    }
}

#[test]
fn nothing_is_told_ahead_that_a_slow_reader_of_the_whole_does_not_see() {
    drive(splits);
}

// ---- Answers --------------------------------------------------------------------------------------------------------

/// Bytes that come in pieces, and end.
struct Pieces<'a> {
    bytes: &'a [u8],
    pieces: &'a [u8],
    at: usize,
}

impl AsyncRead for Pieces<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let piece = 1 + self.pieces.get(self.at).copied().unwrap_or(200) as usize;
        self.at += 1;
        let count = piece.min(self.bytes.len()).min(buf.remaining());
        buf.put_slice(&self.bytes[..count]);
        self.bytes = &self.bytes[count..];
        Poll::Ready(Ok(()))
    }
}

/// An answer at the front, by the letter: its status, its body, and how long it is. None if there is no whole and
/// undoubted one.
fn answer(bytes: &[u8], bodiless: bool) -> Option<(u16, Vec<u8>, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text: String = bytes[..end].iter().map(|b| *b as char).collect();
    // A line that goes on in the next one, which only lines that frame nothing may.
    let folds = |line: &str| line.starts_with([' ', '\t']);
    let mut lines = text.split("\r\n").peekable();
    let first = lines.next()?;
    let (version, rest) = first.split_once(' ')?;
    let status: u16 = rest.get(..3)?.parse().ok()?;
    let (mut length, mut chunked) = (None, false);
    while let Some(line) = lines.next() {
        let (name, value) = line.split_once(':')?;
        let value = value.trim_matches([' ', '\t']);
        while lines.next_if(|line| folds(line)).is_some() {
            if ["content-length", "transfer-encoding", "connection"].contains(&&*name.to_ascii_lowercase()) {
                return None;
            }
        }
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let sound = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                let value = value.parse::<usize>().ok().filter(|_| sound)?;
                if length.is_some_and(|length| length != value) {
                    return None;
                }
                length = Some(value);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && !chunked => chunked = true,
            "transfer-encoding" => return None,
            _ => {}
        }
    }
    // A second answer that begins inside this one's head.
    let begins = |from: &str| from.get(9..12).is_some_and(|of| of.bytes().all(|b| b.is_ascii_digit()));
    let marks = text.match_indices("HTTP/1.").map(|(at, _)| at);
    if marks.filter(|at| *at > 0 && text.get(at + 8..at + 9) == Some(" ")).any(|at| begins(&text[at..])) {
        return None;
    }
    let mut at = end + 4;
    if chunked && (length.is_some() || version != "HTTP/1.1") {
        return None;
    }
    if (100..200).contains(&status) {
        return if status == 101 {
            None
        } else {
            answer(&bytes[at..], bodiless).map(|(s, b, l)| (s, b, l + at))
        };
    }
    if bodiless || status == 204 || status == 304 {
        return Some((status, Vec::new(), at));
    }
    if !chunked {
        return match length {
            Some(length) => Some((status, bytes.get(at..at.checked_add(length)?)?.to_vec(), at + length)),
            None => Some((status, bytes[at..].to_vec(), bytes.len())),
        };
    }
    let mut body = Vec::new();
    loop {
        let line = bytes[at..].windows(2).position(|w| w == b"\r\n")?;
        let text: String = bytes[at..at + line].iter().map(|b| *b as char).collect();
        let digits = text.split(';').next()?.trim_end_matches([' ', '\t']);
        if text.contains(['\n', '\r']) || digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit())
        {
            return None;
        }
        let size = usize::from_str_radix(digits, 16).ok()?;
        at += line + 2;
        if size == 0 {
            break;
        }
        let next = at.checked_add(size)?;
        body.extend(bytes.get(at..next)?);
        if bytes.get(next..next.checked_add(2)?)? != b"\r\n" {
            return None;
        }
        at = next + 2;
    }
    loop {
        let line = bytes[at..].windows(2).position(|w| w == b"\r\n")?;
        if bytes[at..at + line].contains(&b'\n') {
            return None;
        }
        at += line + 2;
        if line == 0 {
            return Some((status, body, at));
        }
    }
}

fn answers(drawn: &[u8]) {
    let mut choices = Choices(drawn, 0);
    let bodiless = choices.next() & 7 == 0;
    // Mostly what begins as an answer.
    let mut bytes = if choices.next() & 3 > 0 { b"HTTP/1.1 200 OK\r\n".to_vec() } else { Vec::new() };
    bytes.extend(stream(&mut choices));
    let pieces: Vec<u8> = (0..20).map(|_| choices.next()).collect();
    let mut reader = Reader::new(Pieces { bytes: &bytes, pieces: &pieces, at: 0 });
    let mut read = std::pin::pin!(async {
        let (mut at, mut count) = (0, 0);
        loop {
            reader.expect_no_body(bodiless);
            let Ok((head, body)) = reader.answer(1 << 20).await else { return };
            let slow = answer(&bytes[at..], bodiless);
            let same = slow.as_ref().map(|(status, body, _)| (*status, &body[..]));
            assert_eq!(same, Some((head.status, &body[..])), "{:?}", String::from_utf8_lossy(&bytes));
            at += slow.map_or(0, |(.., length)| length);
            count += 1;
            if count > 20 || at >= bytes.len() {
                return;
            }
        }
    });
    // It never waits: what comes, comes at once.
    let done = read.as_mut().poll(&mut Context::from_waker(std::task::Waker::noop()));
    assert!(done.is_ready());
}

use std::future::Future;

#[test]
fn an_answer_is_what_a_slow_reader_of_the_whole_takes_it_for_or_is_refused() {
    drive(answers);
}

#[test]
fn what_is_left_of_a_surplus_answer_lends_its_status_to_no_other() {
    for left in ["HTTP/1.1 200 ", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nDate: Mon"] {
        let due = "HTTP/1.1 500 No\r\nRequest-Id: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n";
        let bytes = format!("{left}{due}");
        let mut reader = Reader::new(Pieces { bytes: bytes.as_bytes(), pieces: &[], at: 0 });
        let mut read = std::pin::pin!(reader.answer(100));
        let read = read.as_mut().poll(&mut Context::from_waker(std::task::Waker::noop()));
        assert!(matches!(read, Poll::Ready(Err(_))), "{left:?}");
    }
}

// ---- Answers to charges ---------------------------------------------------------------------------------------------

fn charges(drawn: &[u8]) {
    let mut choices = Choices(drawn, 0);
    let (mut pending, mut life) = (Pending::<(u32, u64)>::default(), 0);
    // The plain model: what waits, by number; on another connection nothing of before does.
    let (mut waits, mut last) = (std::collections::BTreeMap::new(), 0);
    while choices.more() {
        match choices.next() {
            0..=119 => {
                let number = pending.sent((life, last + 1)).expect("room");
                last += 1;
                assert_eq!(number, last, "numbers go up by one on each connection");
                waits.insert(number, (life, number));
            }
            120..=239 => {
                let number = u64::from(choices.next()) % (last + 3);
                let wanted = waits.remove(&number);
                waits.retain(|of, _| *of > number);
                assert_eq!(pending.answered(number), wanted, "by its number and nothing else");
            }
            _ => (pending, waits, last, life) = (Pending::default(), Default::default(), 0, life + 1),
        }
    }
}

#[test]
fn an_answer_to_a_charge_is_its_own_or_nobodys() {
    drive(charges);
    // Bounded: a counter that answers nothing is given up.
    let mut pending = Pending::default();
    assert!((0..100_000).any(|n| pending.sent(n).is_none()));
}
