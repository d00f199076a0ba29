//! The lingering close of client connections: when it ends, in virtual time.
#![allow(missing_docs)]

use oakfall::plane::backends::Stream;
use oakfall::plane::client_stream::{
    ClientStream, ConnectionEnd, LINGER_IDLE_TIMEOUT, LINGER_TIMEOUT, MAX_DISCARDED_BYTES,
};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::time::{sleep, Instant};

/// Buffer of a connection in each direction.
const BUFFER_BYTES: usize = 64 * 1024;
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);

/// The gateway's side of a connection in memory.
struct TestStream(DuplexStream);

impl AsyncRead for TestStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for TestStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Stream for TestStream {
    fn is_idle(&self) -> bool {
        true
    }

    fn disable_nagle(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Shuts down a connection while `client` uses its other side. Returns how it ended, and when.
fn close<F: Future<Output = ()>>(client: impl FnOnce(DuplexStream) -> F) -> (ConnectionEnd, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (client_side, gateway_side) = duplex(BUFFER_BYTES);
        let mut stream = ClientStream::new(TestStream(gateway_side));
        let record = stream.record();
        let started = Instant::now();
        let closing = async {
            stream.shutdown().await.expect("a shutdown");
            (record.end(), started.elapsed())
        };
        tokio::select! {
            closed = closing => closed,
            () = async { client(client_side).await; std::future::pending().await } => unreachable!(),
        }
    })
}

fn assert_ends_at((end, at): (ConnectionEnd, Duration), expected: ConnectionEnd, expected_at: Duration) {
    assert_eq!(end, expected, "after {at:?}");
    assert!(at >= expected_at && at <= expected_at + TIMER_RESOLUTION, "{at:?} instead of {expected_at:?}");
}

/// The client sees the end of its responses at once, and what it sends until it closes is discarded.
#[test]
fn input_is_discarded_until_the_client_closes() {
    let sending = Duration::from_secs(3);
    let closed = close(|mut client| async move {
        assert_eq!(client.read(&mut [0]).await.expect("the end of the stream"), 0);
        let started = Instant::now();
        while started.elapsed() < sending {
            client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the gateway is still reading");
            sleep(Duration::from_millis(500)).await;
        }
    });
    assert_ends_at(closed, ConnectionEnd::ClosedByClient, sending);
}

#[test]
fn a_client_that_keeps_the_connection_open_is_not_waited_for() {
    let last_input = Duration::from_millis(700);
    let closed = close(|mut client| async move {
        sleep(last_input).await;
        client.write_all(b"GET").await.expect("the gateway is still reading");
        std::future::pending::<()>().await;
    });
    assert_ends_at(closed, ConnectionEnd::IdleClient, last_input + LINGER_IDLE_TIMEOUT);
}

#[test]
fn a_client_that_never_stops_sending_is_limited_in_time_and_size() {
    let slow = close(|mut client| async move {
        while client.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(500)).await;
        }
    });
    assert_ends_at(slow, ConnectionEnd::BusyClient, LINGER_TIMEOUT);

    let sent = Cell::new(0);
    let (bytes, sent_bytes) = (vec![0; BUFFER_BYTES], &sent);
    let fast = close(|mut client| async move {
        while client.write_all(&bytes).await.is_ok() {
            sent_bytes.set(sent_bytes.get() + bytes.len() as u64);
        }
    });
    assert_ends_at(fast, ConnectionEnd::BusyClient, Duration::ZERO);
    assert!(sent.get().abs_diff(MAX_DISCARDED_BYTES) <= 2 * BUFFER_BYTES as u64, "{} bytes", sent.get());
}
