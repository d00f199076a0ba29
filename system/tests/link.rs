//! Length-prefixed messages between processes: fragmentation, invalid bytes and lengths above the maximum.

use oakfall_system::link::{
    encode_frame, MessageReader, MAX_AGENT_MESSAGE_BYTES, MAX_CHARGES_BYTES, MAX_HELLO_BYTES,
};
use oakfall_system::protocol::{FromAgent, Gateway, Hello, Purpose};
use std::io::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Runs a test with both ends of a loopback connection.
fn with_connection<F: std::future::Future<Output = ()>>(run: impl FnOnce(TcpStream, TcpStream) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
        run(client.expect("a connection"), server.expect("a connection").0).await;
    });
}

#[test]
fn an_invalid_hello_is_an_error() {
    let mut rng = fastrand::Rng::with_seed(1);
    for round in 0..40 {
        let mut bytes: Vec<u8> = (0..64 * 1024).map(|_| rng.u8(..)).collect();
        match round % 4 {
            // Lengths of 4 GiB, one byte above the maximum, less than the bytes sent, and a random large one.
            0 => bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes()),
            1 => bytes[..4].copy_from_slice(&(MAX_HELLO_BYTES as u32 + 1).to_le_bytes()),
            2 => bytes[..4].copy_from_slice(&40_000u32.to_le_bytes()),
            _ => bytes[3] |= 1,
        }
        with_connection(|mut client, server| async move {
            client.write_all(&bytes).await.expect("room for 64 KiB");
            let received =
                MessageReader::<Hello>::within(server.into_split().0, MAX_HELLO_BYTES).next().await;
            assert_eq!(received.expect_err("invalid bytes").kind(), ErrorKind::InvalidData);
        });
    }
}

#[test]
fn messages_above_the_maximum_of_their_type_are_errors() {
    for max_bytes in [MAX_AGENT_MESSAGE_BYTES, MAX_CHARGES_BYTES] {
        let mut bytes = encode_frame(&Hello { purpose: Purpose::Agent as i32 });
        bytes.extend_from_slice(&(max_bytes as u32 + 1).to_le_bytes());
        with_connection(|mut client, server| async move {
            client.write_all(&bytes).await.expect("room");
            let mut hello = MessageReader::<Hello>::within(server.into_split().0, MAX_HELLO_BYTES);
            assert_eq!(hello.next().await.expect("a hello").purpose(), Purpose::Agent);
            let received = hello.decoding::<FromAgent>(max_bytes).next().await;
            assert_eq!(received.expect_err("too long").kind(), ErrorKind::InvalidData);
        });
    }
}

#[test]
fn messages_are_reassembled_from_any_fragments() {
    let mut rng = fastrand::Rng::with_seed(2);
    let messages: Vec<FromAgent> = (0..200)
        .map(|n| FromAgent {
            gateway: Some(Gateway { node: "g".repeat(rng.usize(0..900)), ..Gateway::default() }),
            applied_index: n,
            ..FromAgent::default()
        })
        .collect();
    let bytes: Vec<u8> = messages.iter().flat_map(encode_frame).collect();
    with_connection(|mut client, server| async move {
        let mut incoming = MessageReader::<FromAgent>::within(server.into_split().0, MAX_AGENT_MESSAGE_BYTES);
        let writing = async {
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                let (fragment, remaining) = rest.split_at(rng.usize(1..=rest.len().min(700)));
                client.write_all(fragment).await.expect("a write");
                rest = remaining;
            }
        };
        let reading = async {
            for message in &messages {
                assert_eq!(incoming.next().await.expect("a message"), *message);
            }
        };
        tokio::join!(writing, reading);
    });
}
