//! Stand-ins of the second review: a platform that starts the project's programs, backends, an operator and
//! clients. Built by `review/build-2.sh` with `rustc` alone; `review/N/run.sh` starts it with the name of a case.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Result<T> = std::result::Result<T, String>;

// ---- Record ----------------------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start in ms.
#[derive(Clone)]
struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    fn new() -> Self {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    fn note(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.started.elapsed().as_micros(), line.into()));
    }

    fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>10.3} ms  {line}", at as f64 / 1000.0);
        }
        let _ = std::fs::write(file, text);
    }
}

// ---- HTTP ------------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    body: String,
}

/// Sends one request on a connection of its own. None without a whole answer.
fn call(addr: &str, method: &str, path: &str, headers: &str, body: &[u8], timeout: Duration) -> Option<Answer> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let length = body.len();
    let mut request =
        format!("{method} {path} HTTP/1.1\r\n{headers}Connection: close\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    request.extend_from_slice(body);
    stream.write_all(&request).ok()?;
    let mut reader = BufReader::new(stream);
    let (head, fields) = read_head(&mut reader)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    match fields.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => drop(reader.read_to_end(&mut body).ok()?),
    }
    Some(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Reads a head: its first line, and its fields with names in lower case.
fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut fields = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), fields));
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

// ---- Platform --------------------------------------------------------------------------------------------

struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Gateway {
    agent: Process,
    proxy: Process,
    front: String,
    ready: String,
}

/// A small deployment on loopback: core machines at 127.0.0.2 and up, gateways at 127.0.0.20 and up.
struct Deployment {
    folder: PathBuf,
    root: PathBuf,
    inner_port: u16,
    seeds: Vec<String>,
    used_ports: BTreeSet<u16>,
    seed: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    fn new(cores: usize) -> Result<Self> {
        let root = std::env::current_dir().map_err(|e| e.to_string())?;
        let folder = std::env::temp_dir().join(format!("oakfall-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let seed = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |time| time.as_nanos() as u64)
            ^ u64::from(std::process::id()) << 32;
        let mut deployment =
            Deployment { folder, root, inner_port: 0, seeds: Vec::new(), used_ports: BTreeSet::new(), seed };
        deployment.inner_port = deployment.two_free_ports();
        for number in 0..cores {
            let ip = format!("127.0.0.{}", number + 2);
            let port = deployment.two_free_ports();
            deployment.seeds.push(format!("{ip}:{port}"));
        }
        Ok(deployment)
    }

    fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.seed >> 33
    }

    /// Two free ports outside the ephemeral range, so that they stay free while a process restarts.
    fn two_free_ports(&mut self) -> u16 {
        loop {
            let port = 10_000 + (self.random() % 20_000) as u16;
            let free = |port: u16| {
                (1..40).all(|host| TcpListener::bind((format!("127.0.0.{host}").as_str(), port)).is_ok())
            };
            if (port - 1..=port + 2).all(|port| !self.used_ports.contains(&port)) && free(port) && free(port + 1) {
                self.used_ports.extend([port, port + 1]);
                return port;
            }
        }
    }

    /// Writes a settings file as `DEPLOY.md` describes it, with the bounds of the small site.
    fn settings(&self, name: &str, role: &str, ip: &str, class: &str, docks: &str, inner: u16, first_start: bool) -> Result<PathBuf> {
        let data = self.folder.join(name);
        std::fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        let (data_dir, counted) = match class {
            "sorting" => (format!("\"{}\"", data.display()), true),
            _ => ("null".to_owned(), false),
        };
        let seeds: String = self.seeds.iter().map(|seed| format!("    - \"{seed}\"\n")).collect();
        let text = format!(
            "sender:\n  node: \"{name}\"\n  role: \"{role}\"\n  machine_class: \"{class}\"\n  ip: \"{ip}\"\n  zone: \"bangor-a\"\n  \
             region: \"ne-north\"\n  counted: {counted}\n  first_start: {first_start}\n  data_dir: {data_dir}\n  limits:\n    \
             cpu_share: 0.6\n    cores: 1\n    memory_mb: 256\n    fds: 4096\n    link_mbps: 1000.0\n    disk_mb: 256\n\
             network:\n  docks_at:\n{docks}  inner_ports:\n    - {inner}\n    - {}\n  seeds:\n{seeds}  zones:\n    \
             bangor-a: \"ne-north\"\n    portland-b: \"ne-north\"\n\
             carrier:\n  discovery: \"enrol\"\n  entry: \"gazetteer\"\n  beat: \"1500ms\"\n\
             tariffs:\n  contracts:\n    - \"base\"\n    - \"drain\"\n    - \"config\"\n    - \"cost\"\n    - \"retry\"\n    \
             - \"recover\"\n    - \"places\"\n    - \"tenants\"\n    - \"quota\"\n  tolerate:\n    machines: 1\n    zones: 1\n    \
             regions: 0\n  bounds:\n    seed_lag: \"3s\"\n    reuse_after: \"2s\"\n    touch: \"5000ms\"\n    ack: \"8000ms\"\n    \
             catch_up: \"4s\"\n    drain: \"2500ms\"\n    grace: \"6s\"\n    lost_time: \"200ms\"\n    edition_time: \"2500ms\"\n    \
             back: \"250ms\"\n    outer: \"10000ms\"\n    closed: true\n    revoke: \"5000ms\"\n    retry_ratio: 0.2\n    \
             retry_window: \"10s\"\n    retry_slack: 56\n    quota_window: \"5s\"\n    quota_over: 0.1\n    quota_slack: 20\n    \
             cold_over: 1.5\n    cold_slack: 5\n    evac: \"5000ms\"\n    recover: \"15s\"\n    ttl_max: \"5s\"\n",
            inner + 1,
        );
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        Ok(file)
    }

    /// Starts a program with its command from the deploy file.
    fn start(&self, command: &str, settings: &Path) -> Result<Process> {
        let log_name = format!("{}-{}.log", settings.file_stem().unwrap_or_default().to_string_lossy(), command.replace(['/', ' '], "_"));
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join(log_name)).map_err(|e| e.to_string())?;
        let mut parts = command.split(' ');
        let program = self.root.join(parts.next().unwrap_or_default());
        let child = Command::new(&program)
            .args(parts)
            .env("OAKFALL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Process { child })
    }

    fn core(&self, number: usize, first_start: bool) -> Result<Process> {
        let (ip, seed) = (format!("127.0.0.{}", number + 2), &self.seeds[number]);
        let docks = format!("    control: \"{seed}\"\n");
        let settings =
            self.settings(&format!("sorting-{number}"), "narcissus", &ip, "sorting", &docks, self.inner_port, first_start)?;
        self.start("target/release/oakfall-core run", &settings)
    }

    fn gateway(&mut self, number: usize) -> Result<Gateway> {
        let ip = format!("127.0.0.{}", number + 20);
        // Agents accept their proxies at 127.0.0.1, so each machine here needs ports of its own; those of the core
        // are the first of the range that the others dial.
        let (front, ready) = (self.two_free_ports(), self.two_free_ports());
        let (front, ready) = (format!("{ip}:{front}"), format!("{ip}:{ready}"));
        let docks = format!("    front: \"{front}\"\n    ready: \"{ready}\"\n");
        let settings = self.settings(&format!("counter-{number}"), "pelion", &ip, "counter", &docks, self.inner_port, true)?;
        let agent = self.start("target/release/oakfall-agent run", &settings)?;
        let proxy = self.start("target/release/oakfall-proxy run", &settings)?;
        Ok(Gateway { agent, proxy, front, ready })
    }

    /// Calls one core process after the other until one answers below 500, as the operator does.
    fn order(&self, record: &Record, method: &str, path: &str, body: &str, limit: Duration) -> Result<Answer> {
        let (start, mut last) = (Instant::now(), None);
        let mut turn = 0;
        while start.elapsed() < limit {
            let seed = &self.seeds[turn % self.seeds.len()];
            turn += 1;
            let patience = Duration::from_millis(1000 + body.len() as u64 / 1000);
            let json = "Content-Type: application/json\r\n";
            match call(seed, method, path, json, body.as_bytes(), patience) {
                Some(answer) if answer.status < 500 && answer.status != 408 && answer.status != 429 => return Ok(answer),
                answer => last = answer,
            }
            thread::sleep(Duration::from_millis(100 + 20 * turn.min(20) as u64));
        }
        record.note(format!("operator: {method} {path} has no clear answer: {last:?}"));
        Err(format!("{method} {path}: no answer"))
    }

    fn wait_ready(&self, gateway: &Gateway) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            let answer = call(&gateway.ready, "GET", "/api/ready", "", b"", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the gateway is not ready".to_owned())
    }
}

// ---- Backends --------------------------------------------------------------------------------------------

/// What a backend does with the next request, decided by the case.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Run it for this long and answer.
    Answer(Duration),
    /// Run it for this long, and close the connection without an answer.
    LoseAnswer(Duration),
    /// Answer with this many bytes: half of them at once, the rest after this time of work.
    AnswerInHalves(usize, Duration),
}

struct Run {
    backend: String,
    request: String,
}

#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<Run>>>);

/// Starts a backend: it listens, and sends its beats to the core.
fn start_backend(
    deployment: &Deployment, record: &Record, runs: &Runs, id: &str, service: &str, zone: &str,
    behavior: impl Fn(&str, &str) -> Behavior + Send + Sync + 'static,
) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let behavior = Arc::new(behavior);
    let (record_of, runs, name) = (record.clone(), runs.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, name, behavior) = (record_of.clone(), runs.clone(), name.clone(), behavior.clone());
            thread::spawn(move || serve(stream, &record, &runs, &name, &*behavior));
        }
    });
    let (seeds, beat) = (deployment.seeds.clone(), (id.to_owned(), service.to_owned(), zone.to_owned(), address));
    thread::spawn(move || {
        let (id, service, zone, address) = beat;
        let mut postmark = 0;
        let mut turn = 0;
        loop {
            postmark += 1;
            let body = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","edition":"v1","berths":6,"state":"open","cold_time":"0ms","postmark":{postmark}}}"#
            );
            for _ in 0..3 {
                let json = "Content-Type: application/json\r\n";
                let path = format!("/api/Instances.Beat/{id}");
                let answer = call(&seeds[turn % seeds.len()], "POST", &path, json, body.as_bytes(), Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status < 300) {
                    break;
                }
                turn += 1;
            }
            thread::sleep(Duration::from_millis(1500));
        }
    });
    Ok(())
}

/// Serves one connection of a backend.
fn serve(
    stream: TcpStream, record: &Record, runs: &Runs, name: &str, behavior: &dyn Fn(&str, &str) -> Behavior,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    // A backend closes idle connections after a time.
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, fields) = read_head(&mut reader)?;
        let mut parts = first.split(' ');
        let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
        let length = fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let id = fields.get("request-id").cloned().unwrap_or_default();
        if target == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance: {name}\r\nContent-Length: 0\r\n\r\n");
            reader.get_mut().write_all(answer.as_bytes()).ok()?;
            continue;
        }
        if fields.get("expect-instance").is_some_and(|expected| expected != name) {
            let answer = format!("HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            reader.get_mut().write_all(answer.as_bytes()).ok()?;
            continue;
        }
        runs.0.lock().unwrap().push(Run {
            backend: name.to_owned(),
            request: id.clone(),
        });
        let behavior = behavior(&id, &target);
        record.note(format!("backend {name} runs {id}: {method} {target}, {behavior:?}"));
        match behavior {
            Behavior::LoseAnswer(work) => {
                thread::sleep(work);
                let _ = reader.get_mut().shutdown(Shutdown::Both);
                return None;
            }
            Behavior::AnswerInHalves(bytes, work) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {name}.{id}\r\nContent-Length: {bytes}\r\n\r\n"
                );
                let half = vec![b'x'; bytes / 2];
                reader.get_mut().write_all(head.as_bytes()).ok()?;
                reader.get_mut().write_all(&half).ok()?;
                record.note(format!("backend {name} has sent half of its answer to {id}"));
                thread::sleep(work);
                let sent = reader.get_mut().write_all(&vec![b'x'; bytes - bytes / 2]);
                record.note(format!("backend {name} has sent the rest of its answer to {id}: {sent:?}"));
                sent.ok()?;
            }
            Behavior::Answer(work) => {
                thread::sleep(work);
                let text = format!("{name} {id}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {name}.{id}\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                reader.get_mut().write_all(answer.as_bytes()).ok()?;
            }
        }
    }
}

/// Waits until the core lists this many open backends.
fn wait_for_backends(deployment: &Deployment, number: usize) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(20) {
        let mut listed = 0;
        if let Some(status) = call(&deployment.seeds[0], "GET", "/api/Status", "", b"", Duration::from_secs(1)) {
            let mut rest = status.body.as_str();
            while let Some(at) = rest.find("\"open\":") {
                rest = &rest[at + 7..];
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                listed += digits.parse::<usize>().unwrap_or(0);
            }
        }
        if listed >= number {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err("the backends are not registered".to_owned())
}

// ---- Configurations --------------------------------------------------------------------------------------

const LIMITS: &str = r#""limits":{"label_bytes":16384,"body_bytes":67108864,"label_time":"3000ms","idle":"15000ms"}"#;

fn route(name: &str, kind: &str, prefix: &str, service: &str, timeout: &str) -> String {
    format!(
        r#"{{"name":"{name}","kind":"{kind}","target":"500ms","priority":1,"unstamped":false,"sorting":{{"lane_prefix":"{prefix}"}},"dispatch":{{"service":"{service}","timeout":"{timeout}","attempts":2,"home_regions":[]}}}}"#
    )
}

fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","conn_cap":110,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":22.0}}"#
    )
}

fn full_config(edition: u64, based_on: &str, routes: &str, services: &[&str]) -> String {
    let services: Vec<String> = services.iter().map(|name| service(name)).collect();
    format!(
        r#"{{"edition":"r{edition}","based_on":"{based_on}",{LIMITS},"patrons":[{{"name":"tenant1","stamps":["key1"],"priority":1,"per_s":0,"burst":0,"home_regions":[]}}],"docks":[{{"depot":"pickup.example","regulations":[{routes}]}}],"fleets":[{}]}}"#,
        services.join(",")
    )
}

/// Requests of a client, as the pages allow them: a key, an id of its own and a deadline.
fn client_headers(id: &str, deadline_ms: u64) -> String {
    format!("Host: pickup.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key1\r\n")
}

/// Half of the backends lose this share of their answers: `answer_lost` with share 0.5 and x 0.05.
const LOST_PER_CENT: u64 = 5;

// ---- Case: a change that can't be read whole -------------------------------------------------------------

/// The operator takes the key of a tenant away with a patch whose table `deliver` is damaged: it stands in a list.
fn unread_patch(record: &Record, trouble: bool) -> Result<bool> {
    let mut deployment = Deployment::new(3)?;
    let _cores = (0..3).map(|number| deployment.core(number, true)).collect::<Result<Vec<_>>>()?;
    let limit = Duration::from_secs(20);
    let first = full_config(1, "0", &route("r-hold", "unsafe", "/hold/", "holdbook", "2000ms"), &["holdbook"]);
    let answer = deployment.order(record, "POST", "/api/Config.Put", &first, limit)?;
    record.note(format!("operator: Config.Put r1, tenant1 holds key1: {}", answer.status));
    let gateway = deployment.gateway(0)?;
    let runs = Runs::default();
    start_backend(&deployment, record, &runs, "i-hold-0", "holdbook", "bangor-a", |_, _| {
        Behavior::Answer(Duration::from_millis(5))
    })?;
    wait_for_backends(&deployment, 1)?;
    deployment.wait_ready(&gateway)?;
    let ask = |id: &str| {
        record.note(format!("client sends {id} with key1"));
        let path = format!("/hold/{id}");
        let answer = call(&gateway.front, "POST", &path, &client_headers(id, 1200), b"basket", Duration::from_millis(1500));
        let status = answer.map(|answer| answer.status);
        record.note(format!("client gets {status:?} for {id}"));
        status
    };
    if ask("before") != Some(200) {
        return Err("the key does not work at first".to_owned());
    }
    let change = r#"{"patrons":[{"name":"tenant1","stamps":["key2"],"priority":1,"per_s":0,"burst":0,"home_regions":[]}]}"#;
    let deliver = if trouble { format!("[{change}]") } else { change.to_owned() };
    let body = format!(r#"{{"edition":"r2","based_on":"r1","deliver":{deliver}}}"#);
    let answer = deployment.order(record, "POST", "/api/Config.Patch", &body, limit)?;
    record.note(format!("operator: Config.Patch {body}: {} {}", answer.status, answer.body));
    let acknowledged = answer.status == 200;
    if !trouble && !acknowledged {
        return Err(format!("the proper patch is refused: {answer:?}"));
    }
    // Longer than `edition_time` and `revoke`.
    thread::sleep(Duration::from_millis(5500));
    let after = ask("after");
    let read = deployment.order(record, "GET", "/api/Config.Get", "", limit)?;
    record.note(format!("operator: Config.Get: {} {}", read.status, read.body));
    let in_force = read.body.contains(r#""edition":"r2""#);
    println!("the patch got {}, r2 in force: {in_force}, then a request with key1 got {after:?}", answer.status);
    if trouble {
        Ok(acknowledged && in_force)
    } else {
        // The proper patch has taken the key away.
        Ok(after != Some(401))
    }
}

// ---- Case: a route changes its kind while its requests run -----------------------------------------------

const KIND_ROUNDS: u64 = 4;
const KIND_CLIENTS: usize = 60;
const KIND_WORK: Duration = Duration::from_millis(400);

/// A version makes an `unsafe` route `safe` while requests that were sent on the unsafe one still run. Half of the
/// backends lose one in twenty answers, with and without the change.
fn kind_change(record: &Record, trouble: bool) -> Result<bool> {
    let mut deployment = Deployment::new(3)?;
    let _cores = (0..3).map(|number| deployment.core(number, true)).collect::<Result<Vec<_>>>()?;
    let limit = Duration::from_secs(20);
    let hold = |kind: &str| route("r-hold", kind, "/hold/", "holdbook", "2000ms");
    let first = full_config(1, "0", &hold("unsafe"), &["holdbook"]);
    let answer = deployment.order(record, "POST", "/api/Config.Put", &first, limit)?;
    record.note(format!("operator: Config.Put r1, r-hold is unsafe: {}", answer.status));
    let gateway = deployment.gateway(0)?;
    let runs = Runs::default();
    for number in 0..12 {
        let (loses, count) = (number % 2 == 0, AtomicU64::new(number));
        start_backend(&deployment, record, &runs, &format!("i-hold-{number}"), "holdbook", "bangor-a", move |_, _| {
            let turn = count.fetch_add(1, Ordering::SeqCst);
            if loses && turn % (100 / LOST_PER_CENT) == 7 {
                Behavior::LoseAnswer(KIND_WORK)
            } else {
                Behavior::Answer(KIND_WORK)
            }
        })?;
    }
    wait_for_backends(&deployment, 12)?;
    deployment.wait_ready(&gateway)?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
    let started = Instant::now();
    let clients: Vec<_> = (0..KIND_CLIENTS)
        .map(|client| {
            let (front, record, stop, sent) = (gateway.front.clone(), record.clone(), stop.clone(), sent.clone());
            thread::spawn(move || {
                let (mut served, mut number) = (0, 0);
                thread::sleep(Duration::from_millis(7 * client as u64));
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("k{client:02}-{number:04}");
                    number += 1;
                    sent.lock().unwrap().insert(id.clone(), started.elapsed());
                    record.note(format!("client sends {id}: POST /hold/{id}"));
                    let headers = client_headers(&id, 2000);
                    let path = format!("/hold/{id}");
                    let answer = call(&front, "POST", &path, &headers, b"basket", Duration::from_millis(2300));
                    let status = answer.map(|answer| answer.status);
                    record.note(format!("client gets {status:?} for {id}"));
                    served += usize::from(status == Some(200));
                    if status != Some(200) {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                served
            })
        })
        .collect();
    // Times in which every configuration that may be in force says `unsafe`: from `edition_time` after the
    // acknowledgement of one that says so until the next one is sent.
    let mut unsafe_times = Vec::new();
    let mut edition = 1;
    let edition_time = Duration::from_millis(2500);
    let mut unsafe_from = started.elapsed();
    for _ in 0..KIND_ROUNDS {
        thread::sleep(Duration::from_millis(1500));
        unsafe_times.push((unsafe_from, started.elapsed()));
        for kind in ["safe", "unsafe"] {
            if trouble {
                let body = format!(
                    r#"{{"edition":"r{}","based_on":"r{edition}","deliver":{{"docks":[{{"depot":"pickup.example","regulations":[{}]}}]}}}}"#,
                    edition + 1,
                    hold(kind)
                );
                let answer = deployment.order(record, "POST", "/api/Config.Patch", &body, limit)?;
                if answer.status != 200 {
                    return Err(format!("Config.Patch r{}: {answer:?}", edition + 1));
                }
                edition += 1;
                record.note(format!("operator: Config.Patch r{edition}, r-hold is {kind}: 200"));
            }
            if kind == "safe" {
                thread::sleep(Duration::from_millis(1000));
            }
        }
        thread::sleep(edition_time);
        unsafe_from = started.elapsed();
    }
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    thread::sleep(Duration::from_millis(1000));
    let sent = sent.lock().unwrap();
    let mut by_request: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.0.lock().unwrap().iter() {
        by_request.entry(run.request.clone()).or_default().push(run.backend.clone());
    }
    let on_unsafe = |id: &String| {
        sent.get(id).is_some_and(|at| unsafe_times.iter().any(|(from, to)| at >= from && at < to))
    };
    let judged = sent.keys().filter(|id| on_unsafe(id)).count();
    let twice: Vec<_> =
        by_request.iter().filter(|(id, backends)| backends.len() > 1 && on_unsafe(id)).collect();
    for (id, backends) in &twice {
        record.note(format!("TWICE: {id}, sent while r-hold was unsafe, ran at {}", backends.join(" and at ")));
    }
    let text = format!("{served} of {} served; of {judged} sent while r-hold was unsafe, {} ran more than once", sent.len(), twice.len());
    record.note(text.clone());
    println!("{text}");
    if served < sent.len() / 2 {
        return Err("less than half of the requests were served".to_owned());
    }
    Ok(!twice.is_empty())
}

// ---- Case: a backend is silent within its answer, and the gateway is stopped -----------------------------

const BUNDLE_BYTES: usize = 540_000;
/// The work between the halves of an answer, and the same at a backend that is four times as slow.
const WORK: Duration = Duration::from_millis(1400);
const SLOW_WORK: Duration = Duration::from_millis(5600);
/// The second group of requests is sent, and the gateway is stopped, so long after the first group was sent.
const SECOND_AFTER: Duration = Duration::from_millis(2800);
const STOP_AFTER: Duration = Duration::from_millis(3500);
const GRACE: Duration = Duration::from_secs(6);

/// How the answer to one request ended.
struct Ended {
    id: String,
    received: usize,
    at: Instant,
}

/// Sends one request for a bundle and reads its answer to the end.
fn fetch_bundle(front: &str, record: &Record, id: String) -> Option<Ended> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(25))).ok()?;
    let request = format!("GET /bundle/{id} HTTP/1.1\r\n{}\r\n", client_headers(&id, 20_000));
    stream.write_all(request.as_bytes()).ok()?;
    record.note(format!("client sends {id}: GET /bundle/{id}, Deadline-Ms 20000"));
    let mut reader = BufReader::new(stream);
    let (head, _) = read_head(&mut reader)?;
    let mut received = 0;
    let mut buffer = vec![0; 65_536];
    while received < BUNDLE_BYTES {
        match reader.read(&mut buffer) {
            Ok(count) if count > 0 => received += count,
            _ => break,
        }
    }
    record.note(format!("client gets {head} for {id}, {received} of {BUNDLE_BYTES} bytes"));
    Some(Ended { id, received, at: Instant::now() })
}

fn silent_backend(record: &Record, trouble: bool) -> Result<bool> {
    let mut deployment = Deployment::new(3)?;
    let _cores = (0..3).map(|number| deployment.core(number, true)).collect::<Result<Vec<_>>>()?;
    let limit = Duration::from_secs(20);
    let first = full_config(1, "0", &route("r-bundle", "download", "/bundle/", "bundled", "30s"), &["bundled"]);
    let answer = deployment.order(record, "POST", "/api/Config.Put", &first, limit)?;
    record.note(format!("operator: Config.Put r1: {}", answer.status));
    let gateway = deployment.gateway(0)?;
    let runs = Runs::default();
    let work = if trouble { SLOW_WORK } else { WORK };
    for number in 0..4 {
        start_backend(&deployment, record, &runs, &format!("i-bundle-{number}"), "bundled", "bangor-a", move |_, _| {
            Behavior::AnswerInHalves(BUNDLE_BYTES, work)
        })?;
    }
    wait_for_backends(&deployment, 4)?;
    deployment.wait_ready(&gateway)?;
    // No trouble from `touch` (5 s) before the requests.
    thread::sleep(Duration::from_millis(5500));
    let group = |name: &'static str| -> Vec<_> {
        let fetch = |number: usize| {
            let (front, record) = (gateway.front.clone(), record.clone());
            thread::spawn(move || fetch_bundle(&front, &record, format!("{name}{number}")))
        };
        (0..4).map(fetch).collect()
    };
    let first_sent = Instant::now();
    let mut clients = group("first-");
    thread::sleep(SECOND_AFTER);
    clients.extend(group("second-"));
    thread::sleep(STOP_AFTER.saturating_sub(first_sent.elapsed()));
    let stopped_at = Instant::now();
    for process in [&gateway.proxy, &gateway.agent] {
        let id = process.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }
    record.note("platform: SIGTERM to the gateway's proxy and agent");
    let ends: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    if ends.len() < 8 {
        return Err("a client got no answer at all".to_owned());
    }
    // Counted: cut off around the planned work, at a backend that is not at work in the second half of `grace`.
    let work_ends = |id: &str| if id.starts_with("first") { first_sent + work } else { first_sent + SECOND_AFTER + work };
    let counted = |end: &&Ended| {
        end.received < BUNDLE_BYTES
            && end.at >= stopped_at
            && end.at < stopped_at + GRACE + Duration::from_secs(1)
            && work_ends(&end.id) < stopped_at + GRACE / 2
    };
    let lost = ends.iter().filter(counted).count();
    let cut = ends.iter().filter(|end| end.received < BUNDLE_BYTES).count();
    let text = format!("{cut} of {} answers were cut off, {lost} of them count", ends.len());
    record.note(text.clone());
    println!("{text}");
    Ok(lost > 0)
}

// ---- Case: services come and go --------------------------------------------------------------------------

/// Services that each change adds and the next one removes, and the number of changes.
const CHURN_SERVICES: usize = 40;
const CHURN_CHANGES: usize = 415;
const LOOK_UPS: usize = 200;

/// Many versions add services and remove them again. Then a version adds two services with a route each.
fn service_churn(record: &Record, trouble: bool) -> Result<bool> {
    let mut deployment = Deployment::new(3)?;
    let _cores = (0..3).map(|number| deployment.core(number, true)).collect::<Result<Vec<_>>>()?;
    let limit = Duration::from_secs(20);
    let first = full_config(1, "0", &route("r-first", "safe", "/first/", "first", "2000ms"), &["first"]);
    let answer = deployment.order(record, "POST", "/api/Config.Put", &first, limit)?;
    record.note(format!("operator: Config.Put r1: {}", answer.status));
    let gateway = deployment.gateway(0)?;
    let runs = Runs::default();
    start_backend(&deployment, record, &runs, "i-first", "first", "bangor-a", |_, _| {
        Behavior::Answer(Duration::from_millis(5))
    })?;
    wait_for_backends(&deployment, 1)?;
    deployment.wait_ready(&gateway)?;
    let (mut edition, mut withdrawn) = (1, String::new());
    let mut patch = |deliver: &str, withdraw: &str| -> Result<()> {
        let body = format!(
            r#"{{"edition":"r{}","based_on":"r{edition}","deliver":{{{deliver}}},"withdraw":{{"fleets":[{withdraw}]}}}}"#,
            edition + 1
        );
        let answer = deployment.order(record, "POST", "/api/Config.Patch", &body, limit)?;
        if answer.status != 200 {
            return Err(format!("Config.Patch r{}: {answer:?}", edition + 1));
        }
        edition += 1;
        record.note(format!("operator: Config.Patch r{edition}: 200"));
        Ok(())
    };
    for change in 0..if trouble { CHURN_CHANGES } else { 0 } {
        let names: Vec<String> = (0..CHURN_SERVICES).map(|number| format!("s{change}-{number}")).collect();
        let services: Vec<String> = names.iter().map(|name| service(name)).collect();
        patch(&format!(r#""fleets":[{}]"#, services.join(",")), &withdrawn)?;
        withdrawn = names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
    }
    let routes = [
        route("r-stock", "safe", "/stock/", "stocklook", "2000ms"),
        route("r-history", "safe", "/history/", "rxhistory", "2000ms"),
    ];
    let deliver = format!(
        r#""fleets":[{},{}],"docks":[{{"depot":"pickup.example","regulations":[{}]}}]"#,
        service("stocklook"),
        service("rxhistory"),
        routes.join(",")
    );
    patch(&deliver, &withdrawn)?;
    for number in 0..2 {
        for name in ["stocklook", "rxhistory"] {
            start_backend(&deployment, record, &runs, &format!("i-{name}-{number}"), name, "bangor-a", |_, _| {
                Behavior::Answer(Duration::from_millis(5))
            })?;
        }
    }
    wait_for_backends(&deployment, 5)?;
    // Longer than `edition_time`.
    thread::sleep(Duration::from_millis(3000));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (front, record) = (gateway.front.clone(), record.clone());
            thread::spawn(move || {
                let mut served = 0;
                for number in 0..LOOK_UPS / 4 {
                    for path in ["stock", "history"] {
                        let id = format!("{path}-{client}-{number}");
                        record.note(format!("client sends {id}: GET /{path}/{id}"));
                        let headers = client_headers(&id, 1200);
                        let answer = call(&front, "GET", &format!("/{path}/{id}"), &headers, b"", Duration::from_millis(1500));
                        let status = answer.map(|answer| answer.status);
                        record.note(format!("client gets {status:?} for {id}"));
                        served += usize::from(status == Some(200));
                    }
                }
                served
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let mut foreign = 0;
    for run in runs.0.lock().unwrap().iter() {
        let allowed = if run.request.starts_with("stock") { "i-stocklook" } else { "i-rxhistory" };
        if !run.backend.starts_with(allowed) {
            foreign += 1;
            record.note(format!("ROUTE: {} ran at {}", run.request, run.backend));
        }
    }
    let text = format!("{served} of {} requests served, {foreign} ran at a backend of the other service", 2 * LOOK_UPS);
    record.note(text.clone());
    println!("{text}");
    if served < LOOK_UPS {
        return Err("less than half of the requests were served".to_owned());
    }
    Ok(foreign > 0)
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let outcome = match case.as_str() {
        "kind-change" => kind_change(&record, trouble),
        "silent-backend" => silent_backend(&record, trouble),
        "service-churn" => service_churn(&record, trouble),
        "unread-patch" => unread_patch(&record, trouble),
        other => Err(format!("unknown case {other:?}")),
    };
    if let Err(why) = &outcome {
        record.note(format!("the case could not run: {why}"));
        eprintln!("the case could not run: {why}");
    }
    record.write(&PathBuf::from(folder).join("record.txt"));
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
