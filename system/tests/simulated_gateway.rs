//! The lab's simulated gateway sends a core process the same messages as the real agent and proxy, for the
//! same history.

use oakfall_lab::scale::generator::{FleetSize, GeneratedFleet, NodeSettings};
use oakfall_lab::scale::simulated_gateway::{Output, ProxyDetail, SimulatedGateway};
use oakfall_system::agent_state::Event;
use oakfall_system::config::ConfigDocument;
use oakfall_system::link::encode_frame;
use oakfall_system::protocol::{
    Backend, Change, ChangeKind, ConfigRevision, FromAgent, Gateway, HeartbeatReply, Hello, IndexedChange,
    StateSnapshot, ToAgent,
};
use oakfall_system::settings::Settings;
use prost::Message;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Timeout of the wait for a message from the real agent.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(40);
const CORE_IP: &str = "127.0.0.77";

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A scripted core process: its end of the agent's link.
struct Core(TcpStream);

impl Core {
    fn next<M: Message + Default>(&mut self) -> M {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).expect("a message");
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut bytes).expect("the rest of the message");
        M::decode(&bytes[..]).expect("a valid message")
    }

    /// Receives a message, and acknowledges it as a follower, so that the agent does not time out the link.
    fn receive(&mut self) -> FromAgent {
        let message: FromAgent = self.next();
        let reply = HeartbeatReply { request_sent_at: message.sent_at, ..HeartbeatReply::default() };
        self.send(&ToAgent { heartbeat_reply: Some(reply), ..ToAgent::default() });
        message
    }

    fn send(&mut self, message: &ToAgent) {
        self.0.write_all(&encode_frame(message)).expect("the message is sent");
    }
}

/// The message without its timestamp and registration.
fn comparable(message: &FromAgent) -> FromAgent {
    FromAgent { sent_at: 0.0, gateway: None, ..message.clone() }
}

fn heartbeat_reply(index: u64, digest: u64) -> ToAgent {
    let reply = HeartbeatReply {
        request_sent_at: 1.0,
        leads: true,
        term: 3,
        index,
        members: Vec::new(),
        digest,
        unsettled: false,
    };
    ToAgent { heartbeat_reply: Some(reply), ..ToAgent::default() }
}

fn changes(first_index: u64, kinds: Vec<ChangeKind>) -> ToAgent {
    let indexed = |(offset, kind)| IndexedChange {
        index: first_index + offset as u64,
        change: Some(Change { kind: Some(kind), ..Change::default() }),
    };
    ToAgent { changes: kinds.into_iter().enumerate().map(indexed).collect(), ..ToAgent::default() }
}

/// A message of the core process, and the condition on the gateway's messages that shows that it was applied.
type Step = (ToAgent, fn(&FromAgent) -> bool);

fn history(fleet: &GeneratedFleet) -> Vec<Step> {
    let config = |edition| {
        let text = ConfigDocument::read(fleet.config_body(edition).as_bytes())
            .and_then(ConfigDocument::into_full_config)
            .expect("the generated configuration is valid")
            .1;
        ConfigRevision { edition, text, call_digest: edition, ..ConfigRevision::default() }
    };
    let backend = Backend {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        ..Backend::default()
    };
    let gateway =
        Gateway { node: "other".into(), zone: "zone-hall-1".into(), client_addr: "10.0.0.2:80".into() };
    // A proxy without a backend never becomes ready.
    let first_backend = Backend { id: "i-0".into(), address: "10.0.0.9:80".into(), ..backend.clone() };
    let snapshot = StateSnapshot {
        index: 5,
        config: Some(config(1)),
        backends: vec![first_backend],
        ..StateSnapshot::default()
    };
    vec![
        (heartbeat_reply(5, 0), |message| message.subscribes),
        (ToAgent { snapshot: Some(snapshot), ..ToAgent::default() }, |message| {
            message.proxy_applied_index == 5
        }),
        (heartbeat_reply(5, 0), |message| message.ready),
        (changes(6, vec![ChangeKind::Config(config(2))]), |message| message.proxy_applied_index == 6),
        (changes(7, vec![ChangeKind::Backend(backend), ChangeKind::Gateway(gateway)]), |message| {
            message.proxy_applied_index == 8
        }),
        // Changes at indexes already applied are skipped, and the later ones are applied.
        (
            changes(8, vec![ChangeKind::GatewayGone("other".into()), ChangeKind::BackendGone("i-1".into())]),
            |message| message.proxy_applied_index == 9,
        ),
        // A digest that differs from the replica's: the agent reports its range digests.
        (heartbeat_reply(9, 1), |message| message.ranges.is_some()),
    ]
}

/// The messages of the real agent and proxy.
fn real_messages(settings: &str, inner_port: u16, history: &[Step]) -> Vec<FromAgent> {
    let listener = TcpListener::bind((CORE_IP, inner_port)).expect("the inner port is free");
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("gateway.yaml");
    std::fs::write(&file, settings).expect("a file");
    let start = |program: &str| {
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(&file).args(["--log", "error"]);
        Process(command.spawn().expect("the program starts"))
    };
    let _proxy = start(env!("CARGO_BIN_EXE_oakfall-proxy"));
    let _agent = start(env!("CARGO_BIN_EXE_oakfall-agent"));
    let (stream, _) = listener.accept().expect("the agent connects");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("a socket");
    let mut core = Core(stream);
    core.next::<Hello>();
    // Wait until the agent reports that its proxy is connected.
    let start = Instant::now();
    while core.receive().gateway.is_none_or(|gateway| gateway.client_addr.is_empty()) {}
    let mut messages = Vec::new();
    for (message, is_applied) in history {
        core.send(message);
        loop {
            assert!(
                start.elapsed() < MESSAGE_TIMEOUT,
                "the agent never applied the message; the last messages: {:?}",
                messages.iter().rev().take(3).collect::<Vec<_>>()
            );
            let message = core.receive();
            messages.push(comparable(&message));
            if is_applied(&message) {
                break;
            }
        }
    }
    normalized(messages)
}

/// The messages of a simulated gateway.
fn simulated_messages(settings: &str, core: &str, detail: ProxyDetail, history: &[Step]) -> Vec<FromAgent> {
    let settings = Settings::read(settings).expect("valid settings");
    let (mut now, mut outputs) = (0.0, Vec::new());
    let mut gateway = SimulatedGateway::new(&settings, detail, now, &mut outputs);
    gateway.handle(now, Event::LinkOpened(core.to_owned()), &mut outputs);
    let registered = outputs.iter().any(|output| match output {
        Output::Send(_, message) => {
            message.gateway.as_ref().is_some_and(|gateway| gateway.client_addr == "127.0.0.78:8099")
        }
        _ => false,
    });
    assert!(registered, "the first message on a link contains the registration");
    let mut messages = Vec::new();
    for (message, is_applied) in history {
        now += 10.0;
        outputs.clear();
        gateway.handle_core_message(now, core.to_owned(), Box::new(message.clone()), &mut outputs);
        let mut applied = false;
        // A reply that is not sent at once is part of one of the next two periodic messages.
        for _ in 0..3 {
            let sent = outputs.iter().filter_map(|output| match output {
                Output::Send(_, message) => Some(&**message),
                _ => None,
            });
            // Later messages belong to the next step, as with the real agent.
            for message in sent {
                messages.push(comparable(message));
                applied = is_applied(message);
                if applied {
                    break;
                }
            }
            if applied {
                break;
            }
            now = now.max(gateway.next_deadline());
            outputs.clear();
            gateway.handle(now, Event::Tick, &mut outputs);
        }
        assert!(applied, "the gateway never applied the message; its messages: {messages:?}");
    }
    normalized(messages)
}

/// Removes what depends on timing: consecutive duplicates, and messages sent after the agent and before its
/// proxy applied a change.
fn normalized(mut messages: Vec<FromAgent>) -> Vec<FromAgent> {
    messages.retain(|message| {
        message.proxy_applied_index == 0 || message.proxy_applied_index == message.applied_index
    });
    messages.dedup();
    messages
}

#[test]
fn a_simulated_gateway_sends_the_same_messages_as_a_real_one() {
    // The core process listens on the first port, the agent on the next one. Ports outside the ephemeral range,
    // so that no outgoing connection holds one in TIME-WAIT.
    let inner_port = (0..100)
        .map(|_| fastrand::u16(10_000..30_000))
        .find(|port| {
            TcpListener::bind((CORE_IP, *port)).is_ok() && TcpListener::bind(("127.0.0.1", *port + 1)).is_ok()
        })
        .expect("two free ports");
    let core = format!("{CORE_IP}:8383");
    let listen_addresses = [("front", "127.0.0.78:8099".to_owned())];
    let node_settings = NodeSettings {
        node: "counter-1",
        class: "counter",
        ip: "127.0.0.78",
        zone: ("zone-hall-0".into(), "region-0".into()),
        listen_addresses: &listen_addresses,
        data_dir: "/nowhere",
        inner_port,
        seeds: std::slice::from_ref(&core),
    };
    let settings = node_settings.to_yaml();
    let history = history(&GeneratedFleet::new(FleetSize::with_gateways(2, 0.1), 1));
    let messages = real_messages(&settings, inner_port, &history);
    assert!(messages.len() >= history.len(), "{messages:?}");
    assert_eq!(simulated_messages(&settings, &core, ProxyDetail::Full, &history), messages);
    // A proxy that holds only the index cannot detect that it differs from its agent; all else is the same.
    assert_eq!(simulated_messages(&settings, &core, ProxyDetail::IndexOnly, &history), messages);
}
