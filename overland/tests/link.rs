//! What comes in on the inner ports against a plain model: messages in any pieces, garbage, and lengths beyond all bounds.

use overland::link::{framed, Incoming, MAX_AGENT_MESSAGE_BYTES, MAX_CHARGES_BYTES, MAX_HELLO_BYTES};
use overland::news::{FromAgent, Gateway, Hello, Purpose};
use std::io::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Runs with both ends of a connection.
fn both_ends<F: std::future::Future<Output = ()>>(play: impl FnOnce(TcpStream, TcpStream) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
        play(near.expect("a connection"), far.expect("a connection").0).await;
    });
}

#[test]
fn garbage_before_a_hello_ends_the_connection_unread() {
    let mut rng = fastrand::Rng::with_seed(1);
    for round in 0..40 {
        let mut bytes: Vec<u8> = (0..64 * 1024).map(|_| rng.u8(..)).collect();
        match round % 4 {
            // A length of 4 GiB, one byte too much, and one that the buffer holds in full.
            0 => bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes()),
            1 => bytes[..4].copy_from_slice(&(MAX_HELLO_BYTES as u32 + 1).to_le_bytes()),
            2 => bytes[..4].copy_from_slice(&40_000u32.to_le_bytes()),
            _ => bytes[3] |= 1,
        }
        both_ends(|mut near, far| async move {
            near.write_all(&bytes).await.expect("room for 64 KiB");
            let ended = Incoming::<Hello>::within(far.into_split().0, MAX_HELLO_BYTES).next().await;
            assert_eq!(ended.expect_err("garbage").kind(), ErrorKind::InvalidData);
        });
    }
}

#[test]
fn each_purpose_has_its_bound() {
    for most in [MAX_AGENT_MESSAGE_BYTES, MAX_CHARGES_BYTES] {
        let mut bytes = framed(&Hello { purpose: Purpose::Agent as i32 });
        bytes.extend_from_slice(&(most as u32 + 1).to_le_bytes());
        both_ends(|mut near, far| async move {
            near.write_all(&bytes).await.expect("room");
            let mut hello = Incoming::<Hello>::within(far.into_split().0, MAX_HELLO_BYTES);
            assert_eq!(hello.next().await.expect("a hello").purpose(), Purpose::Agent);
            let ended = hello.decoding::<FromAgent>(most).next().await;
            assert_eq!(ended.expect_err("too long").kind(), ErrorKind::InvalidData);
        });
    }
}

#[test]
fn messages_come_whole_however_they_are_cut() {
    let mut rng = fastrand::Rng::with_seed(2);
    let words: Vec<FromAgent> = (0..200)
        .map(|n| FromAgent {
            gateway: Some(Gateway { node: "g".repeat(rng.usize(0..900)), ..Gateway::default() }),
            applied_index: n,
            ..FromAgent::default()
        })
        .collect();
    let bytes: Vec<u8> = words.iter().flat_map(framed).collect();
    both_ends(|mut near, far| async move {
        let mut incoming = Incoming::<FromAgent>::within(far.into_split().0, MAX_AGENT_MESSAGE_BYTES);
        let writing = async {
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                let (piece, more) = rest.split_at(rng.usize(1..=rest.len().min(700)));
                near.write_all(piece).await.expect("a write");
                rest = more;
            }
        };
        let reading = async {
            for word in &words {
                assert_eq!(incoming.next().await.expect("a message"), *word);
            }
        };
        tokio::join!(writing, reading);
    });
}
