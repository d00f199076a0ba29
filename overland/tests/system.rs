//! The system's real processes on loopback: three of the core, one agent, one proxy, and a backend that this test plays.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Longest wait for a condition, far beyond what any takes.
const PATIENCE: Duration = Duration::from_secs(40);

/// Processes that end with the test, however it ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn signal(process: &Process, name: &str) {
    let id = process.0.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
}

/// Two ports in a row that the system finds free, on every address that the test uses.
fn inner_ports() -> u16 {
    (0..100)
        .find_map(|_| {
            let first = TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok()?.port();
            let next = first.checked_add(1)?;
            TcpListener::bind(("127.0.0.1", next)).ok().map(|_| first)
        })
        .expect("two free ports")
}

fn port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()).expect("a free port").port()
}

struct Answer {
    status: u16,
    head: String,
    body: String,
}

/// One call on a connection of its own. None if nobody answers.
fn call(addr: &str, method: &str, path: &str, headers: &str, body: &str) -> Option<Answer> {
    let mut stream =
        TcpStream::connect_timeout(&addr.parse::<SocketAddr>().ok()?, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}

/// Asks until the answer is as wanted.
fn until<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(start.elapsed() < PATIENCE, "{what} did not come");
        std::thread::yield_now();
    }
}

/// A backend: answers each request with its stamp, and tells what came. Of those that name a pair it answers none before
/// two are there.
fn backend() -> (String, Receiver<String>) {
    let pairs = Arc::new(Barrier::new(2));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound").to_string();
    let (to, from) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (to, pairs) = (to.clone(), pairs.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut head, mut line, mut id, mut length) =
                        (String::new(), String::new(), String::new(), 0);
                    loop {
                        line.clear();
                        if reader.read_line(&mut line).unwrap_or(0) == 0 {
                            return;
                        }
                        let lower = line.to_ascii_lowercase();
                        if let Some(of) = lower.strip_prefix("request-id: ") {
                            id = of.trim().to_owned();
                        }
                        if let Some(of) = lower.strip_prefix("content-length: ") {
                            length = of.trim().parse().unwrap_or(0);
                        }
                        if line == "\r\n" {
                            break;
                        }
                        head.push_str(&line);
                    }
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    if head.contains("/pair") {
                        pairs.wait();
                    }
                    let _ = to.send(head + "\r\n" + &String::from_utf8_lossy(&body));
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s.1\r\nX-Own: 7\r\nContent-Length: 5\r\n\r\nhello");
                    if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, from)
}

struct Fleet {
    folder: tempfile::TempDir,
    inner: u16,
    seeds: Vec<String>,
}

impl Fleet {
    fn settings(&self, name: &str, ip: &str, class: &str, docks: &str, first: bool) -> PathBuf {
        let data = self.folder.path().join(name);
        std::fs::create_dir_all(&data).expect("a folder");
        let mut seeds = String::new();
        for seed in &self.seeds {
            let _ = writeln!(seeds, "    - \"{seed}\"");
        }
        let text = format!(
            "sender:\n  node: \"{name}\"\n  role: \"any\"\n  machine_class: \"{class}\"\n  ip: \"{ip}\"\n  zone: \"a\"\n  \
             region: \"r\"\n  first_start: {first}\n  data_dir: \"{}\"\n  limits:\n    memory_mb: 256\n    fds: 1000\n\
             network:\n  docks_at:\n{docks}  inner_ports:\n    - {}\n    - {}\n  seeds:\n{seeds}  zones:\n    a: \"r\"\n\
             carrier:\n  beat: \"1500ms\"\ntariffs:\n  bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: true\n    \
             revoke: \"5000ms\"\n    quota_slack: 20\n    ttl_max: \"5s\"\n",
            data.display(),
            self.inner,
            self.inner + 1,
        );
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("a file");
        file
    }

    fn core(&self, number: usize, first: bool) -> Process {
        let (ip, seed) = (format!("127.0.0.{}", number + 2), &self.seeds[number]);
        let docks = format!("    control: \"{seed}\"\n");
        start(
            env!("CARGO_BIN_EXE_narcissus"),
            &self.settings(&format!("core{number}"), &ip, "sorting", &docks, first),
        )
    }
}

fn start(program: &str, settings: &Path) -> Process {
    let mut command = Command::new(program);
    command.arg("run").arg("--settings").arg(settings).args(["--log", "warn"]);
    Process(command.spawn().expect("it starts"))
}

fn config(edition: u64, based_on: &str, keys: &str) -> String {
    format!(
        r#"{{"edition":"r{edition}","based_on":"{based_on}","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3000ms","idle":"15000ms"}},
"patrons":[{{"name":"t1","stamps":[{keys}],"priority":0,"per_s":1000,"burst":1000,"home_regions":[]}}],
"docks":[{{"depot":"a.example","regulations":[{{"name":"r-1","kind":"unsafe","target":"2s","priority":1,"unstamped":false,"sorting":{{"lane_prefix":"/x/"}},
"dispatch":{{"service":"s1","timeout":"5s","attempts":2,"home_regions":[]}}}},
{{"name":"r-2","kind":"safe","target":"2s","priority":1,"unstamped":true,"sorting":{{"lane_prefix":"/s/"}},
"dispatch":{{"service":"s1","timeout":"30s","attempts":1,"home_regions":[]}}}}]}}],
"fleets":[{{"name":"s1","health_path":"/health","conn_cap":110,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":22.0}}]}}"#
    )
}

#[test]
fn the_whole_path_serves_forgets_nothing_and_ends_in_order() {
    let seeds = (2..5).map(|n| format!("127.0.0.{n}")).map(|ip| format!("{ip}:{}", port(&ip))).collect();
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = Fleet { folder, inner: inner_ports(), seeds };
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, true)).collect();
    let control = |number: usize| fleet.seeds[number].as_str();
    let put = |number: usize, body: &str| {
        call(control(number), "POST", "/api/Config.Put", "", body).map(|a| a.status)
    };

    // A configuration is taken by whoever is asked, once; the same again is acknowledged, another on its base is not.
    let first = config(3, "0", r#""k1","k2""#);
    until("an acknowledgement", || put(0, &first).filter(|status| *status == 200));
    until("the same from another", || put(1, &first).filter(|status| *status == 200));
    until("a conflict", || {
        put(2, &config(4, "0", r#""k3""#)).filter(|status| *status != 503).map(|s| assert_eq!(s, 412))
    });
    until("a refusal", || {
        let bad = config(5, "r3", r#""k3""#).replace("\"service\":\"s1\"", "\"service\":\"s9\"");
        put(0, &bad).filter(|status| *status != 503).map(|status| assert_eq!(status, 400))
    });

    let (server, came) = backend();
    let beat = format!(
        r#"{{"service":"s1","address":"{server}","zone":"a","edition":"v1","berths":2,"state":"open","cold_time":"0ms","postmark":1}}"#
    );
    let beats = || {
        call(control(1), "POST", "/api/Instances.Beat/i-1", "", &beat).filter(|a| a.status == 200).map(
            |answer| {
                assert!(fleet.seeds.iter().any(|seed| answer.body.contains(seed)), "{}", answer.body);
            },
        )
    };
    until("the backend's acknowledgement", beats);

    // The gateway comes up, and is told to clients.
    let (front, ready) =
        (format!("127.0.0.5:{}", port("127.0.0.5")), format!("127.0.0.5:{}", port("127.0.0.5")));
    let docks = format!("    front: \"{front}\"\n    ready: \"{ready}\"\n");
    let settings = fleet.settings("gateway", "127.0.0.5", "counter", &docks, true);
    let _agent = start(env!("CARGO_BIN_EXE_windermere"), &settings);
    let mut proxy = start(env!("CARGO_BIN_EXE_pelion"), &settings);
    until("a ready gateway", || call(&ready, "GET", "/api/ready", "", "").filter(|a| a.status == 200));
    let resolve = "/api/resolve?name=a.example&region=r&zone=a";
    until("the gateway's address", || {
        call(control(2), "GET", resolve, "", "").filter(|a| a.body.contains(&front))
    });

    // Whoever is asked tells of all: the core, copies that are the same, the gateway and the backend.
    let status = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_narcissus"))
            .args(["status", "--core", control(1)])
            .args(args)
            .output()
            .expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    until("a table with a leader, three copies that are the same, a ready gateway and a backend", || {
        let (code, text) = status(&[]);
        let told = ["leads", "configuration r3", "gateway  a     ready", "s1       a     1     0"];
        (code == Some(0) && text.matches("same").count() == 3 && told.iter().all(|told| text.contains(told)))
            .then_some(())
    });
    assert!(status(&["--json"]).1.starts_with("[{\"address\":"));

    // Garbage at every port hurts nobody.
    let inner = format!("127.0.0.2:{}", fleet.inner);
    for addr in [control(0), inner.as_str(), front.as_str(), ready.as_str()] {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        // It may be cut off in the middle.
        let _ = stream.write_all(&(0..65_536u32).map(|n| ((n * 7919) >> 3) as u8).collect::<Vec<_>>());
    }

    let ask = |path: &str, key: &str| {
        let headers = format!(
            "Host: a.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 5000\r\nTenant: somebody\r\nAuthorization: Bearer {key}\r\n"
        );
        call(&front, "POST", path, &headers, "body")
    };
    let served = until("an answer", || ask("/x/1?q=2", "k1").filter(|a| a.status == 200));
    assert!(served.head.contains("stamp: s.1") && served.head.contains("x-own: 7"), "{}", served.head);
    assert_eq!(served.body, "hello");
    let seen = came.recv_timeout(PATIENCE).expect("the backend got it").to_ascii_lowercase();
    assert!(seen.starts_with("post /x/1?q=2 http/1.1") && seen.ends_with("body"), "{seen}");
    assert!(seen.contains("tenant: t1") && !seen.contains("somebody") && !seen.contains("bearer"), "{seen}");
    assert!(seen.contains("expect-instance: i-1") && seen.contains("request-id: id-1"), "{seen}");
    assert_eq!(ask("/x/1", "k9").map(|a| a.status), Some(401));
    assert_eq!(ask("/y/1", "k1").map(|a| a.status), Some(404));

    // Two behind one another on a connection are at the backend together, and are answered in order.
    let mut stream = TcpStream::connect(&front).expect("it listens");
    let pair = |id: u32| {
        format!("GET /s/pair HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 30000\r\n\r\n")
    };
    stream.write_all((pair(1) + &pair(2)).as_bytes()).expect("it reads");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut text = String::new();
    until("both answers", || {
        let mut piece = [0; 1024];
        let read = stream.read(&mut piece).expect("an answer");
        assert!(read > 0, "it closed after {text}");
        text += &String::from_utf8_lossy(&piece[..read]);
        (text.matches("hello").count() == 2).then_some(())
    });
    let (one, two) = (text.find("request-id: 1"), text.find("request-id: 2"));
    assert!(one.is_some() && one < two, "{text}");
    (0..2).for_each(|_| drop(came.recv_timeout(PATIENCE)));

    // What came of all this is counted.
    let figures = call(&ready, "GET", "/metrics", "", "").expect("figures");
    assert_eq!(figures.status, 200);
    for line in [
        "pelion_answers_total{status=\"401\"} 1",
        "pelion_ahead_total 1",
        "pelion_ready 1",
        "pelion_mended_total 0",
    ] {
        assert!(figures.body.contains(line), "{line} is not in {}", figures.body);
    }
    assert!(figures.body.trim_end().ends_with("# EOF") && figures.body.matches("# EOF").count() == 1);

    // A key that is taken away works nowhere once that is acknowledged.
    until("a key taken away", || put(2, &config(6, "r3", r#""k1""#)).filter(|status| *status == 200));
    until("its end", || ask("/x/1", "k2").filter(|a| a.status == 401));

    // All of the core dies at once, and one forgets everything: what was acknowledged is there.
    drop(cores);
    std::fs::remove_dir_all(fleet.folder.path().join("core2")).expect("its folder");
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, false)).collect();
    let get =
        |number: usize| call(control(number), "GET", "/api/Config.Get", "", "").filter(|a| a.status == 200);
    let text = until("the configuration", || get(2)).body;
    assert!(text.contains("\"edition\":\"r6\"") && text.contains("\"sealed\":false"), "{text}");
    until("the acknowledgement of what was taken", || put(0, &first).filter(|status| *status == 200));
    until("an answer by the new core", || ask("/x/2", "k1").filter(|a| a.status == 200));

    // Other settings are read at a SIGHUP, which ends nobody. SIGTERM turns the gateway away, and it ends by itself.
    signal(&proxy, "-HUP");
    signal(&cores[0], "-HUP");
    until("an answer after SIGHUP", || ask("/x/3", "k1").filter(|a| a.status == 200));
    signal(&proxy, "-TERM");
    until("an unready gateway", || call(&ready, "GET", "/api/ready", "", "").filter(|a| a.status == 503));
    until("nobody is told of it", || call(control(0), "GET", resolve, "", "").filter(|a| a.status == 503));
    assert!(proxy.0.wait().expect("it ends").success());
}
