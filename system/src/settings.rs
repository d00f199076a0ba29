//! A process's settings file (YAML): its machine, its network and the limits that it must keep.
//!
//! Unknown fields are ignored. Known fields are all validated before an error lists every invalid one.

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

/// The environment variable that holds the path of the settings file.
pub const PATH_ENV_VAR: &str = "OAKFALL_BOOT";

/// The validated settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Set only when the whole system starts for the first time, so that the core may form a new cluster.
    pub first_start: bool,
    /// Directory of its files; `None` on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Memory limit of the process, in MB.
    pub memory_mb: u64,
    /// Limit of open file descriptors.
    pub max_fds: u64,
    /// Listen address for client traffic.
    pub client_addr: Option<SocketAddr>,
    /// Listen address for readiness probes and metrics.
    pub ready_addr: Option<SocketAddr>,
    /// Listen address for the API of backends and operators.
    pub control_addr: Option<SocketAddr>,
    /// Listen address where clients look up gateways.
    pub directory_addr: Option<SocketAddr>,
    /// First and last port for traffic between processes of the system.
    pub inner_ports: (u16, u16),
    /// Control addresses of core machines, the initial contacts.
    pub seeds: Vec<SocketAddr>,
    /// Inner addresses that are reached at another address from here, such as through a relay or NAT.
    pub relays: BTreeMap<SocketAddr, SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Interval of a backend's heartbeats.
    pub heartbeat_interval: Duration,
    /// Versions of services get no requests before they are ordered, apart from those that were there first.
    pub closes_unordered_versions: bool,
    /// Limits that the system must keep.
    pub bounds: Bounds,
}

/// Limits that the whole system must keep.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An operator's change is acknowledged within this time.
    pub ack_timeout: Duration,
    /// Time from SIGTERM until the platform kills the process.
    pub grace: Duration,
    /// Fail closed: a revoked key must stop working even at gateways that are disconnected from the core.
    pub fail_closed: bool,
    /// Time from the acknowledgement of a key's revocation until the key is rejected everywhere.
    pub revocation_timeout: Duration,
    /// Maximum ratio of retries to requests in each window, over all gateways.
    pub retry_ratio: f64,
    /// Retries that are allowed in each window on top of the ratio.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Units that all gateways together may send beyond a tenant's limit, in each rate-limit window.
    pub quota_slack: f64,
    /// Multiple of a cold backend's per-second capacity that all gateways together may send to it.
    pub cold_factor: f64,
    /// Requests that may be sent to a cold backend on top of the multiple.
    pub cold_slack: f64,
    /// Longest time-to-live of a lookup response at clients.
    pub ttl_max: Duration,
    /// Share of a service's requests that a bad version may get from its order to the end of its term.
    pub expose_share: f64,
}

/// Fraction of `revocation_timeout` that is used; the rest covers clock drift and late timers.
const REVOCATION_FRACTION: f64 = 0.9;
/// Fraction of `ack_timeout` that an acknowledgement may wait for unreachable gateways.
const ACK_WAIT_FRACTION: f64 = 0.45;

impl Bounds {
    /// Longest wait, before a change is acknowledged, for gateways that were in contact recently and still
    /// hold an older state.
    pub fn ack_wait(&self) -> Duration {
        self.ack_timeout.mul_f64(ACK_WAIT_FRACTION)
    }

    /// How long a gateway may use its keys after sending a report that the leader answered. The leader
    /// acknowledges a revocation no earlier than `ack_wait` after its last answer to a gateway with an older
    /// state, so every gateway drops revoked keys within `revocation_timeout` of the acknowledgement.
    pub fn lease(&self) -> Duration {
        self.ack_wait() + self.revocation_timeout.mul_f64(REVOCATION_FRACTION)
    }
}

/// The settings file as it is written.
#[derive(Deserialize)]
struct SettingsFile {
    sender: SenderSection,
    network: NetworkSection,
    carrier: CarrierSection,
    tariffs: TariffsSection,
}

#[derive(Deserialize)]
struct SenderSection {
    node: String,
    machine_class: String,
    ip: String,
    zone: String,
    region: String,
    first_start: bool,
    data_dir: Option<String>,
    limits: ProcessLimits,
}

#[derive(Deserialize)]
struct ProcessLimits {
    memory_mb: u64,
    fds: u64,
}

#[derive(Deserialize)]
struct NetworkSection {
    docks_at: ListenAddresses,
    inner_ports: Vec<u64>,
    seeds: Vec<String>,
    relays: Option<BTreeMap<String, String>>,
    zones: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct ListenAddresses {
    front: Option<String>,
    ready: Option<String>,
    control: Option<String>,
    directory: Option<String>,
}

#[derive(Deserialize)]
struct CarrierSection {
    beat: String,
}

#[derive(Deserialize)]
struct TariffsSection {
    contracts: Option<Vec<String>>,
    bounds: BoundsSection,
}

#[derive(Deserialize)]
struct BoundsSection {
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
    expose_share: Option<f64>,
    ttl_max: String,
}

/// Share of the requests that a bad version may get, unless the settings state it.
const DEFAULT_EXPOSE_SHARE: f64 = 0.1;
/// The contract under which new versions of services are rolled out by order only.
const ROLLOUT_CONTRACT: &str = "rollout";
/// Machine classes that the programs run on.
const MACHINE_CLASSES: [&str; 2] = ["counter", "sorting"];
/// Largest accepted settings file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Interval of checks for a changed file, which may come without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings when their file changes or SIGHUP arrives.
pub struct Watch {
    file: Option<PathBuf>,
    hangup: Signal,
    last_modified: Option<SystemTime>,
}

impl Watch {
    /// Watches this file, or the one that `OAKFALL_BOOT` names.
    pub fn new(file: Option<PathBuf>) -> Result<Self> {
        let file = file.or_else(|| std::env::var_os(PATH_ENV_VAR).map(PathBuf::from));
        let last_modified = modified(file.as_ref());
        Ok(Watch { file, hangup: signal(SignalKind::hangup()).wrap_err("SIGHUP")?, last_modified })
    }

    /// Waits for new settings. An invalid file is logged, and the wait goes on.
    pub async fn changed(&mut self) -> Settings {
        loop {
            let signalled = tokio::select! {
                _ = self.hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let modified = modified(self.file.as_ref());
            if !signalled && modified == self.last_modified {
                continue;
            }
            self.last_modified = modified;
            match Settings::load(self.file.clone()) {
                Ok(settings) => return settings,
                Err(e) => log::warn!("settings: {e:#}; keeping the previous settings"),
            }
        }
    }
}

fn modified(file: Option<&PathBuf>) -> Option<SystemTime> {
    std::fs::metadata(file?).ok()?.modified().ok()
}

impl Settings {
    /// Reads this file, or the one that `OAKFALL_BOOT` names.
    pub fn load(file: Option<PathBuf>) -> Result<Self> {
        let path = match file {
            Some(file) => file,
            None => std::env::var_os(PATH_ENV_VAR).ok_or_else(|| eyre!("{PATH_ENV_VAR} is not set"))?.into(),
        };
        let size = std::fs::metadata(&path).wrap_err_with(|| path.display().to_string())?.len();
        if size > MAX_FILE_BYTES {
            return Err(eyre!("{}: larger than {MAX_FILE_BYTES} bytes", path.display()));
        }
        let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        Self::read(&text).wrap_err_with(|| path.display().to_string())
    }

    /// The address to dial for the first inner port of the machine at `ip`.
    pub fn inner_addr(&self, ip: IpAddr) -> SocketAddr {
        self.dial_addr(SocketAddr::new(ip, self.inner_ports.0))
    }

    /// The address to dial for an inner address: a relay's, if one is configured.
    pub fn dial_addr(&self, inner: SocketAddr) -> SocketAddr {
        self.relays.get(&inner).copied().unwrap_or(inner)
    }

    /// Parses and validates the text of a settings file.
    pub fn read(text: &str) -> Result<Self> {
        let yaml = YamlLoader::load_from_str(text).wrap_err("not valid YAML")?;
        let [yaml] = &yaml[..] else { return Err(eyre!("expected one YAML document, found {}", yaml.len())) };
        let json = miniserde::json::to_string(&to_json(yaml)?);
        let file: SettingsFile = miniserde::json::from_str(&json)
            .map_err(|_| eyre!("a field is missing or has the wrong type: {}", missing(yaml)))?;
        file.validate()
    }
}

/// The fields without a default.
const REQUIRED_FIELDS: [&str; 19] = [
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

/// Lists the required fields that are absent.
fn missing(yaml: &Yaml) -> String {
    let lookup = |path: &&str| {
        path.split('.').try_fold(yaml, |at, part| at.as_hash()?.get(&Yaml::String(part.into())))
    };
    let names: Vec<_> = REQUIRED_FIELDS.iter().filter(|path| lookup(path).is_none()).copied().collect();
    if names.is_empty() {
        "none is missing".to_owned()
    } else {
        format!("missing {}", names.join(", "))
    }
}

/// Converts YAML to the equivalent JSON.
fn to_json(yaml: &Yaml) -> Result<Value> {
    Ok(match yaml {
        Yaml::Null => Value::Null,
        Yaml::Boolean(b) => Value::Bool(*b),
        Yaml::Integer(i) if *i < 0 => Value::Number(Number::I64(*i)),
        Yaml::Integer(i) => Value::Number(Number::U64(*i as u64)),
        Yaml::Real(_) => Value::Number(Number::F64(yaml.as_f64().ok_or_else(|| eyre!("invalid number"))?)),
        Yaml::String(s) => Value::String(s.clone()),
        Yaml::Array(list) => Value::Array(list.iter().map(to_json).collect::<Result<_>>()?),
        Yaml::Hash(hash) => {
            let mut object = miniserde::json::Object::new();
            for (key, value) in hash {
                let key = key.as_str().ok_or_else(|| eyre!("a key is not a string"))?;
                object.insert(key.to_owned(), to_json(value)?);
            }
            Value::Object(object)
        }
        Yaml::Alias(_) | Yaml::BadValue => {
            return Err(eyre!("aliases and malformed values are not supported"))
        }
    })
}

impl SettingsFile {
    fn validate(self) -> Result<Settings> {
        let mut errors = Vec::new();
        let mut reject = |field: &str, why: String| errors.push(format!("{field}: {why}"));
        let SettingsFile { sender, network, carrier, tariffs } = self;
        if !MACHINE_CLASSES.contains(&sender.machine_class.as_str()) {
            reject("sender.machine_class", format!("unknown class {}", sender.machine_class));
        }
        let ip = sender.ip.parse().ok();
        if ip.is_none() {
            reject("sender.ip", format!("{} is not an IP address", sender.ip));
        }
        if network.zones.get(&sender.zone) != Some(&sender.region) {
            reject(
                "sender.zone",
                format!("{} in region {} is not in network.zones", sender.zone, sender.region),
            );
        }
        let mut address = |field: &str, text: Option<String>| {
            let addr = text.as_ref().and_then(|text| text.parse().ok());
            if addr.is_none() && text.is_some() {
                reject(field, "not an IP address and port".into());
            }
            addr
        };
        let ListenAddresses { front, ready, control, directory } = network.docks_at;
        let client_addr = address("network.docks_at.front", front);
        let ready_addr = address("network.docks_at.ready", ready);
        let control_addr = address("network.docks_at.control", control);
        let directory_addr = address("network.docks_at.directory", directory);
        let seeds: Vec<_> =
            network.seeds.into_iter().map(|seed| address("network.seeds", Some(seed))).collect();
        let relays = network.relays.unwrap_or_default();
        let relays = relays
            .into_iter()
            .filter_map(|(inner, relay)| {
                address("network.relays", Some(inner)).zip(address("network.relays", Some(relay)))
            })
            .collect();
        let port = |index: usize| network.inner_ports.get(index).and_then(|port| u16::try_from(*port).ok());
        let inner_ports = port(0).zip(port(1)).filter(|(first, last)| first < last);
        if inner_ports.is_none() {
            reject("network.inner_ports", "two ports in ascending order are required".into());
        }
        let mut time =
            |field: &str, text: Option<&str>, default_ms: u64| match text.map(units::parse_duration) {
                Some(Some(time)) => time,
                Some(None) => {
                    reject(field, "not a duration such as 1500ms or 2.5s".into());
                    Duration::ZERO
                }
                None => Duration::from_millis(default_ms),
            };
        let contracts = tariffs.contracts.unwrap_or_default();
        let closes_unordered_versions = contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT);
        let file = tariffs.bounds;
        let heartbeat_interval = time("carrier.beat", Some(&carrier.beat), 0);
        let bounds = Bounds {
            ack_timeout: time("tariffs.bounds.ack", Some(&file.ack), 0),
            grace: time("tariffs.bounds.grace", Some(&file.grace), 0),
            fail_closed: file.closed.unwrap_or(false),
            revocation_timeout: time("tariffs.bounds.revoke", file.revoke.as_deref(), 5000),
            retry_ratio: file.retry_ratio.unwrap_or(0.2),
            retry_slack: file.retry_slack.unwrap_or(10.0),
            retry_window: time("tariffs.bounds.retry_window", file.retry_window.as_deref(), 10_000),
            quota_slack: file.quota_slack.unwrap_or(0.0).max(0.0),
            cold_factor: file.cold_over.unwrap_or(1.0),
            cold_slack: file.cold_slack.unwrap_or(0.0),
            ttl_max: time("tariffs.bounds.ttl_max", Some(&file.ttl_max), 0),
            expose_share: file.expose_share.unwrap_or(DEFAULT_EXPOSE_SHARE),
        };
        if !(0.0..=1.0).contains(&bounds.expose_share) {
            reject("tariffs.bounds.expose_share", "not between 0 and 1".into());
        }
        if !(0.0..=10.0).contains(&bounds.retry_ratio) || !(0.0..=1e6).contains(&bounds.retry_slack) {
            reject("tariffs.bounds", "retry_ratio or retry_slack is out of range".into());
        }
        if !(0.0..=1e3).contains(&bounds.cold_factor) || !(0.0..=1e6).contains(&bounds.cold_slack) {
            reject("tariffs.bounds", "cold_over or cold_slack is out of range".into());
        }
        match (errors.is_empty(), ip, inner_ports) {
            (true, Some(ip), Some(inner_ports)) => Ok(Settings {
                node: sender.node,
                ip,
                zone: sender.zone,
                region: sender.region,
                first_start: sender.first_start,
                data_dir: sender.data_dir.map(PathBuf::from),
                memory_mb: sender.limits.memory_mb,
                max_fds: sender.limits.fds,
                client_addr,
                ready_addr,
                control_addr,
                directory_addr,
                inner_ports,
                seeds: seeds.into_iter().flatten().collect(),
                relays,
                zones: network.zones,
                heartbeat_interval,
                closes_unordered_versions,
                bounds,
            }),
            _ => Err(eyre!("{}", errors.join("; "))),
        }
    }
}
