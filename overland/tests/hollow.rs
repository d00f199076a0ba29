//! The hollow gateway of the lab and the real agent and proxy tell a core process the same, for the same history.

use granite_lab::scale::draw::{Drawn, Machine, Size};
use granite_lab::scale::hollow::{Holds, Hollow, Out};
use overland::config::ConfigUpdate;
use overland::follow::Event;
use overland::link::framed;
use overland::news::{
    Backend, Change, ConfigRevision, FromAgent, Gateway, HeartbeatReply, Hello, IndexedChange, Kind,
    StateSnapshot, ToAgent,
};
use overland::settings::Settings;
use prost::Message;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// A word that does not come within this will not.
const PATIENCE: Duration = Duration::from_secs(40);
const CORE: &str = "127.0.0.77";

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The links of a core process that follows a script.
struct Core(TcpStream);

impl Core {
    fn next<M: Message + Default>(&mut self) -> M {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).expect("a message");
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut bytes).expect("the rest of it");
        M::decode(&bytes[..]).expect("it can be read")
    }

    /// The next word. It is answered by one who does not lead, which changes nothing: a silent link would be ended.
    fn word(&mut self) -> FromAgent {
        let word: FromAgent = self.next();
        let pulse = HeartbeatReply { request_sent_at: word.sent_at, ..HeartbeatReply::default() };
        self.say(&ToAgent { heartbeat_reply: Some(pulse), ..ToAgent::default() });
        word
    }

    fn say(&mut self, news: &ToAgent) {
        self.0.write_all(&framed(news)).expect("it is written");
    }
}

/// What a word says, whenever it was said.
fn said(word: &FromAgent) -> FromAgent {
    FromAgent { sent_at: 0.0, gateway: None, ..word.clone() }
}

fn pulse(index: u64, digest: u64) -> ToAgent {
    let pulse = HeartbeatReply {
        request_sent_at: 1.0,
        leads: true,
        term: 3,
        index,
        members: Vec::new(),
        digest,
        unsettled: false,
    };
    ToAgent { heartbeat_reply: Some(pulse), ..ToAgent::default() }
}

fn changes(from: u64, kinds: Vec<Kind>) -> ToAgent {
    let numbered = |(at, kind)| IndexedChange {
        index: from + at as u64,
        change: Some(Change { kind: Some(kind), ..Change::default() }),
    };
    ToAgent { changes: kinds.into_iter().enumerate().map(numbered).collect(), ..ToAgent::default() }
}

/// What the core says, and the word that shows that it was taken in.
type Step = (ToAgent, fn(&FromAgent) -> bool);

fn history(drawn: &Drawn) -> Vec<Step> {
    let configured = |edition| {
        let text = ConfigUpdate::read(drawn.put(edition).as_bytes())
            .and_then(ConfigUpdate::into_full_config)
            .expect("it is valid")
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
    // Without a backend a proxy wants no clients.
    let known = Backend { id: "i-0".into(), address: "10.0.0.9:80".into(), ..backend.clone() };
    let whole = StateSnapshot {
        index: 5,
        config: Some(configured(1)),
        backends: vec![known],
        ..StateSnapshot::default()
    };
    vec![
        (pulse(5, 0), |word| word.subscribes),
        (ToAgent { snapshot: Some(whole), ..ToAgent::default() }, |word| word.proxy_applied_index == 5),
        (pulse(5, 0), |word| word.ready),
        (changes(6, vec![Kind::Config(configured(2))]), |word| word.proxy_applied_index == 6),
        (changes(7, vec![Kind::Backend(backend), Kind::Gateway(gateway)]), |word| {
            word.proxy_applied_index == 8
        }),
        // Numbers that are held already change nothing, and those behind them do.
        (changes(8, vec![Kind::GatewayGone("other".into()), Kind::BackendGone("i-1".into())]), |word| {
            word.proxy_applied_index == 9
        }),
        // A digest that is not that of the copy: its ranges are told.
        (pulse(9, 1), |word| word.ranges.is_some()),
    ]
}

/// The words of the real agent and proxy. What comes again in a row counts once.
fn real(settings: &str, inner: u16, history: &[Step]) -> Vec<FromAgent> {
    let listener = TcpListener::bind((CORE, inner)).expect("the core's port");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("gateway.yaml");
    std::fs::write(&file, settings).expect("a file");
    let start = |program: &str| {
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(&file).args(["--log", "error"]);
        Process(command.spawn().expect("it starts"))
    };
    let _proxy = start(env!("CARGO_BIN_EXE_pelion"));
    let _agent = start(env!("CARGO_BIN_EXE_windermere"));
    let (stream, _) = listener.accept().expect("the agent comes");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let mut core = Core(stream);
    core.next::<Hello>();
    // The proxy has come, too, and the agent tells of it.
    let start = Instant::now();
    while core.word().gateway.is_none_or(|gateway| gateway.client_addr.is_empty()) {}
    let mut words = Vec::new();
    for (news, shown) in history {
        core.say(news);
        loop {
            assert!(
                start.elapsed() < PATIENCE,
                "never shown; the last words: {:?}",
                words.iter().rev().take(3).collect::<Vec<_>>()
            );
            let word = core.word();
            words.push(said(&word));
            if shown(&word) {
                break;
            }
        }
    }
    told(words)
}

/// The same of a hollow one.
fn hollow(settings: &str, core: &str, holds: Holds, history: &[Step]) -> Vec<FromAgent> {
    let settings = Settings::read(settings).expect("they are sound");
    let (mut now, mut out) = (0.0, Vec::new());
    let mut hollow = Hollow::new(&settings, holds, now, &mut out);
    hollow.event(now, Event::LinkOpened(core.to_owned()), &mut out);
    let met = out.iter().any(|out| matches!(out, Out::Say(_, word) if word.gateway.as_ref().is_some_and(|g| g.client_addr == "127.0.0.78:8099")));
    assert!(met, "the first word on a link tells who it is");
    let mut words = Vec::new();
    for (news, shown) in history {
        now += 10.0;
        out.clear();
        hollow.said(now, core.to_owned(), Box::new(news.clone()), &mut out);
        let mut done = false;
        // What nobody waits for is told with a word at its time, the second one at the latest.
        for _ in 0..3 {
            let told = out.iter().filter_map(|out| match out {
                Out::Say(_, word) => Some(&**word),
                _ => None,
            });
            // The real one's words that come after this are those of the next step.
            for word in told {
                words.push(said(word));
                done = shown(word);
                if done {
                    break;
                }
            }
            if done {
                break;
            }
            now = now.max(hollow.due());
            out.clear();
            hollow.event(now, Event::Tick, &mut out);
        }
        assert!(done, "never shown; the last words: {words:?}");
    }
    told(words)
}

/// Words as they are compared: what comes again in a row counts once, and so does one whose time fell between the agent's
/// taking a change in and its proxy's, which is one number apart.
fn told(mut words: Vec<FromAgent>) -> Vec<FromAgent> {
    words.retain(|word| word.proxy_applied_index == 0 || word.proxy_applied_index == word.applied_index);
    words.dedup();
    words
}

#[test]
fn a_hollow_gateway_tells_what_the_real_one_tells() {
    let inner = (0..100)
        .find_map(|_| {
            let first = TcpListener::bind((CORE, 0)).ok()?.local_addr().ok()?.port();
            TcpListener::bind(("127.0.0.1", first.checked_add(1)?)).ok().map(|_| first)
        })
        .expect("two free ports");
    let core = format!("{CORE}:8383");
    let docks = [("front", "127.0.0.78:8099".to_owned())];
    let machine = Machine {
        node: "counter-1",
        class: "counter",
        ip: "127.0.0.78",
        zone: ("zone-hall-0".into(), "region-0".into()),
        docks: &docks,
        data: "/nowhere",
        inner,
        seeds: std::slice::from_ref(&core),
    };
    let settings = machine.text();
    let history = history(&Drawn::new(Size::of(2, 0.1), 1));
    let words = real(&settings, inner, &history);
    assert!(words.len() >= history.len(), "{words:?}");
    assert_eq!(hollow(&settings, &core, Holds::All, &history), words);
    // One that holds the number alone can't tell that its copy differs from its agent's; all else is the same.
    assert_eq!(hollow(&settings, &core, Holds::Number, &history), words);
}
