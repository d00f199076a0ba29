//! The settings file: what the platform tells a process of its machine, its network and the rules in force.
//!
//! Fields that are not known are ignored; those that are known are checked at once, and every mistake is told.

use crate::units;
use eyre::{eyre, Result, WrapErr};
use miniserde::json::{Number, Value};
use miniserde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use yaml_rust2::{Yaml, YamlLoader};

/// The variable that holds the file's path.
pub const VARIABLE: &str = "OAKFALL_BOOT";

/// What a process is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Only on the system's very first start.
    pub first_start: bool,
    /// Where its files lie; none on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Memory of the process, in MB.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub fds: u64,
    /// Where clients arrive.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready.
    pub ready: Option<SocketAddr>,
    /// Where backends and operators call.
    pub control: Option<SocketAddr>,
    /// Where clients ask for gateways.
    pub directory: Option<SocketAddr>,
    /// First and last of the ports for what gateways say to one another.
    pub inner_ports: (u16, u16),
    /// Control addresses of up to three core machines.
    pub seeds: Vec<SocketAddr>,
    /// Inner addresses that are reached from here at another one: behind a relay or a translation of addresses.
    pub relays: BTreeMap<SocketAddr, SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// How often a backend calls.
    pub beat: Duration,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules that the system goes by.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An order is acknowledged within this.
    pub ack: Duration,
    /// A process told to end is killed after this.
    pub grace: Duration,
    /// Whether a key that was taken away must stop working at every machine, in touch or not.
    pub closed: bool,
    /// Within this after the acknowledgement.
    pub revoke: Duration,
    /// Further tries over requests, in each window, for all gateways together.
    pub retry_ratio: f64,
    /// And so many besides.
    pub retry_slack: f64,
    /// The window.
    pub retry_window: Duration,
    /// Units of a tenant that all gateways together may send beyond its limit, in each span that counts.
    pub quota_slack: f64,
    /// All gateways together may send a cold backend so many times what it bears in a second.
    pub cold_over: f64,
    /// And so many requests besides.
    pub cold_slack: f64,
    /// Clients keep an answer for so long at most.
    pub ttl_max: Duration,
}

/// Share of a bound that the system allows itself: clocks run at different rates, and timers late.
const OF_BOUND: f64 = 0.9;
/// Share of the time for an acknowledgement that one waits for gateways that can't be heard.
const OF_ACK: f64 = 0.45;

impl Bounds {
    /// An order waits for so long, before it is acknowledged, for gateways that were answered until lately and hold an
    /// older state.
    pub fn settle(&self) -> Duration {
        self.ack.mul_f64(OF_ACK)
    }

    /// For so long after a question that the leader answered a gateway goes by the keys that it has. The leader
    /// acknowledges nothing that takes keys away earlier than `settle` after such an answer, so that all keys are
    /// dropped within `revoke` of the acknowledgement.
    pub fn lease(&self) -> Duration {
        self.settle() + self.revoke.mul_f64(OF_BOUND)
    }
}

#[derive(Deserialize)]
struct Form {
    sender: Sender,
    network: Network,
    carrier: Carrier,
    tariffs: Tariffs,
}

#[derive(Deserialize)]
struct Sender {
    node: String,
    machine_class: String,
    ip: String,
    zone: String,
    region: String,
    first_start: bool,
    data_dir: Option<String>,
    limits: Limits,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    fds: u64,
}

#[derive(Deserialize)]
struct Network {
    docks_at: DocksAt,
    inner_ports: Vec<u64>,
    seeds: Vec<String>,
    relays: Option<BTreeMap<String, String>>,
    zones: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct DocksAt {
    front: Option<String>,
    ready: Option<String>,
    control: Option<String>,
    directory: Option<String>,
}

#[derive(Deserialize)]
struct Carrier {
    beat: String,
}

#[derive(Deserialize)]
struct Tariffs {
    bounds: BoundsForm,
}

#[derive(Deserialize)]
struct BoundsForm {
    ack: String,
    grace: String,
    closed: Option<bool>,
    revoke: Option<String>,
    retry_ratio: Option<f64>,
    retry_slack: Option<f64>,
    retry_window: Option<String>,
    quota_slack: Option<f64>,
    cold_over: Option<f64>,
    cold_slack: Option<f64>,
    ttl_max: String,
}

/// Machines' classes that a program of ours may run on.
const CLASSES: [&str; 2] = ["counter", "sorting"];
/// Largest settings file, in bytes.
const MOST: u64 = 1 << 20;

/// How often it is looked whether the file has changed: it may without a word.
const LOOK: Duration = Duration::from_secs(2);

/// Tells when the settings file says something else.
pub struct Watch {
    file: Option<PathBuf>,
    hangup: Signal,
    seen: Option<SystemTime>,
}

impl Watch {
    /// Watches the file that the platform names, or another one.
    pub fn new(file: Option<PathBuf>) -> Result<Self> {
        let file = file.or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from));
        let seen = modified(file.as_ref());
        Ok(Watch { file, hangup: signal(SignalKind::hangup()).wrap_err("SIGHUP")?, seen })
    }

    /// Waits for other settings. A file that can't be read changes nothing.
    pub async fn changed(&mut self) -> Settings {
        loop {
            let told = tokio::select! {
                _ = self.hangup.recv() => true,
                () = tokio::time::sleep(LOOK) => false,
            };
            let modified = modified(self.file.as_ref());
            if !told && modified == self.seen {
                continue;
            }
            self.seen = modified;
            match Settings::load(self.file.clone()) {
                Ok(settings) => return settings,
                Err(e) => log::warn!("settings: {e:#}; what was read before stands"),
            }
        }
    }
}

fn modified(file: Option<&PathBuf>) -> Option<SystemTime> {
    std::fs::metadata(file?).ok()?.modified().ok()
}

impl Settings {
    /// Reads the file that the platform names, or another one.
    pub fn load(file: Option<PathBuf>) -> Result<Self> {
        let path = match file {
            Some(file) => file,
            None => std::env::var_os(VARIABLE).ok_or_else(|| eyre!("{VARIABLE} is not set"))?.into(),
        };
        let size = std::fs::metadata(&path).wrap_err_with(|| path.display().to_string())?.len();
        if size > MOST {
            return Err(eyre!("{}: over {MOST} bytes", path.display()));
        }
        let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        Self::read(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Where another process's inner port is reached from here, by its machine's address.
    pub fn inner_at(&self, ip: IpAddr) -> SocketAddr {
        self.through(SocketAddr::new(ip, self.inner_ports.0))
    }

    /// Where an inner address is reached from here.
    pub fn through(&self, inner: SocketAddr) -> SocketAddr {
        self.relays.get(&inner).copied().unwrap_or(inner)
    }

    /// Reads a settings file's text.
    pub fn read(text: &str) -> Result<Self> {
        let yaml = YamlLoader::load_from_str(text).wrap_err("no YAML")?;
        let [yaml] = &yaml[..] else { return Err(eyre!("{} documents instead of one", yaml.len())) };
        let json = miniserde::json::to_string(&value(yaml)?);
        let form: Form = miniserde::json::from_str(&json)
            .map_err(|_| eyre!("a field is missing or of another type: {}", missing(yaml)))?;
        form.checked()
    }
}

/// The fields without which nothing can start.
const NEEDED: [&str; 19] = [
    "sender.node",
    "sender.machine_class",
    "sender.ip",
    "sender.zone",
    "sender.region",
    "sender.first_start",
    "sender.limits.memory_mb",
    "sender.limits.fds",
    "network.docks_at",
    "network.inner_ports",
    "network.seeds",
    "network.zones",
    "carrier.beat",
    "tariffs.bounds.ack",
    "tariffs.bounds.grace",
    "tariffs.bounds.ttl_max",
    "sender",
    "network",
    "tariffs",
];

/// Names what a file lacks.
fn missing(yaml: &Yaml) -> String {
    let lacks = |path: &&str| {
        path.split('.').try_fold(yaml, |at, part| at.as_hash()?.get(&Yaml::String(part.into())))
    };
    let names: Vec<_> = NEEDED.iter().filter(|path| lacks(path).is_none()).copied().collect();
    if names.is_empty() {
        "none is missing".to_owned()
    } else {
        format!("missing {}", names.join(", "))
    }
}

/// YAML as the JSON that it also could be.
fn value(yaml: &Yaml) -> Result<Value> {
    Ok(match yaml {
        Yaml::Null => Value::Null,
        Yaml::Boolean(b) => Value::Bool(*b),
        Yaml::Integer(i) if *i < 0 => Value::Number(Number::I64(*i)),
        Yaml::Integer(i) => Value::Number(Number::U64(*i as u64)),
        Yaml::Real(_) => {
            Value::Number(Number::F64(yaml.as_f64().ok_or_else(|| eyre!("a number that is none"))?))
        }
        Yaml::String(s) => Value::String(s.clone()),
        Yaml::Array(list) => Value::Array(list.iter().map(value).collect::<Result<_>>()?),
        Yaml::Hash(hash) => {
            let mut object = miniserde::json::Object::new();
            for (key, of) in hash {
                let key = key.as_str().ok_or_else(|| eyre!("a name that is no text"))?;
                object.insert(key.to_owned(), value(of)?);
            }
            Value::Object(object)
        }
        Yaml::Alias(_) | Yaml::BadValue => return Err(eyre!("an alias or a bad value")),
    })
}

impl Form {
    fn checked(self) -> Result<Settings> {
        let mut wrong = Vec::new();
        let mut note = |what: &str, why: String| wrong.push(format!("{what}: {why}"));
        let Form { sender, network, carrier, tariffs } = self;
        if !CLASSES.contains(&sender.machine_class.as_str()) {
            note("sender.machine_class", format!("{} is unknown", sender.machine_class));
        }
        let ip = sender.ip.parse().ok();
        if ip.is_none() {
            note("sender.ip", format!("{} is no address", sender.ip));
        }
        if network.zones.get(&sender.zone) != Some(&sender.region) {
            note("sender.zone", format!("{} of {} is not among network.zones", sender.zone, sender.region));
        }
        let mut at = |name: &str, text: Option<String>| {
            let addr = text.as_ref().and_then(|text| text.parse().ok());
            if addr.is_none() && text.is_some() {
                note(name, "no address".into());
            }
            addr
        };
        let DocksAt { front, ready, control, directory } = network.docks_at;
        let front = at("network.docks_at.front", front);
        let ready = at("network.docks_at.ready", ready);
        let control = at("network.docks_at.control", control);
        let directory = at("network.docks_at.directory", directory);
        let seeds: Vec<_> = network.seeds.into_iter().map(|seed| at("network.seeds", Some(seed))).collect();
        let relays = network.relays.unwrap_or_default();
        let relays = relays
            .into_iter()
            .filter_map(|(of, to)| at("network.relays", Some(of)).zip(at("network.relays", Some(to))))
            .collect();
        let port = |at: usize| network.inner_ports.get(at).and_then(|port| u16::try_from(*port).ok());
        let inner_ports = port(0).zip(port(1)).filter(|(first, last)| first < last);
        if inner_ports.is_none() {
            note("network.inner_ports", "two ports in order are needed".into());
        }
        let mut time = |name: &str, text: Option<&str>, default: u64| match text.map(units::time) {
            Some(Some(time)) => time,
            Some(None) => {
                note(name, "no time, such as 1500ms or 2.5s".into());
                Duration::ZERO
            }
            None => Duration::from_millis(default),
        };
        let b = tariffs.bounds;
        let beat = time("carrier.beat", Some(&carrier.beat), 0);
        let bounds = Bounds {
            ack: time("tariffs.bounds.ack", Some(&b.ack), 0),
            grace: time("tariffs.bounds.grace", Some(&b.grace), 0),
            closed: b.closed.unwrap_or(false),
            revoke: time("tariffs.bounds.revoke", b.revoke.as_deref(), 5000),
            retry_ratio: b.retry_ratio.unwrap_or(0.2),
            retry_slack: b.retry_slack.unwrap_or(10.0),
            retry_window: time("tariffs.bounds.retry_window", b.retry_window.as_deref(), 10_000),
            quota_slack: b.quota_slack.unwrap_or(0.0).max(0.0),
            cold_over: b.cold_over.unwrap_or(1.0),
            cold_slack: b.cold_slack.unwrap_or(0.0),
            ttl_max: time("tariffs.bounds.ttl_max", Some(&b.ttl_max), 0),
        };
        if !(0.0..=10.0).contains(&bounds.retry_ratio) || !(0.0..=1e6).contains(&bounds.retry_slack) {
            note("tariffs.bounds", "retry_ratio or retry_slack is out of range".into());
        }
        if !(0.0..=1e3).contains(&bounds.cold_over) || !(0.0..=1e6).contains(&bounds.cold_slack) {
            note("tariffs.bounds", "cold_over or cold_slack is out of range".into());
        }
        match (wrong.is_empty(), ip, inner_ports) {
            (true, Some(ip), Some(inner_ports)) => Ok(Settings {
                node: sender.node,
                ip,
                zone: sender.zone,
                region: sender.region,
                first_start: sender.first_start,
                data_dir: sender.data_dir.map(PathBuf::from),
                memory_mb: sender.limits.memory_mb,
                fds: sender.limits.fds,
                front,
                ready,
                control,
                directory,
                inner_ports,
                seeds: seeds.into_iter().flatten().collect(),
                relays,
                zones: network.zones,
                beat,
                bounds,
            }),
            _ => Err(eyre!("{}", wrong.join("; "))),
        }
    }
}
