//! What is wrong with a configuration: all of it at once, each with its place and what is wanted there.

use super::form::{Class, Form, DESCRIPTORS_FROM};
use super::guide::{self, Kind};
use super::units::Millis;
use cherrytally::membership::{MAX_MEMBERS, MAX_NAME_BYTES};
use jsonschema::error::ValidationErrorKind;
use jsonschema::ValidationError;
use serde_json::Value;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;

/// Times in ms. One beyond a day is a mistake, and one that Duration can't hold would be a crash.
pub const TIMES: RangeInclusive<f64> = 0.0..=86_400_000.0;
pub const OUT_OF_RANGE: &str = "out of range";
/// Shorter periods are work without end, longer ones find nobody; in ms.
const PERIODS: RangeInclusive<f64> = 20.0..=60_000.0;
/// A probe unanswered for this share of a period goes by way of others, at the most and by itself: the rest of the
/// period is theirs.
pub const TIMEOUT_OF_PERIOD: (f64, f64) = (0.5, 0.25);
/// Seeds at most.
const SEEDS_MOST: usize = 64;
/// A value is shown with so many characters at most.
const SHOWN: usize = 60;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The key; where several clash the others follow.
    paths: Vec<String>,
    what: String,
}

impl Fault {
    pub fn new(path: impl Into<String>, what: impl Into<String>) -> Self {
        Fault { paths: vec![path.into()], what: what.into() }
    }

    fn with(mut self, other: &str) -> Self {
        self.paths.push(other.to_owned());
        self
    }

    /// The key.
    pub fn path(&self) -> &str {
        &self.paths[0]
    }

    /// The same with other names of its keys.
    pub fn named(mut self, name: impl Fn(&str) -> String) -> Self {
        self.paths = self.paths.iter().map(|path| name(path)).collect();
        self
    }

    /// Whether its key ends so.
    pub fn of(&self, end: &str) -> bool {
        self.path().ends_with(end)
    }

    /// Whether it may have come from what is wrong elsewhere.
    fn follows(&self, from: &[Fault]) -> bool {
        let above = |path: &str, other: &str| {
            path.strip_prefix(other).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.paths.iter().any(|path| from.iter().any(|f| above(path, f.path()) || above(f.path(), path)))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path() {
            "" => f.write_str(&self.what),
            path => write!(f, "{path}: {}", self.what),
        }
    }
}

/// A fault and where it stands.
#[derive(Debug)]
pub struct Mistake {
    /// `file:line`, or the variable or flag.
    pub place: String,
    pub fault: Fault,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}

/// Whether one name stands twice.
fn twice<'a>(names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let mut seen = std::collections::HashSet::new();
    names.enumerate().find(|(_, name)| !seen.insert(*name)).map(|(at, _)| at)
}

/// What is wrong with a form beyond the types of its keys. With `strict` what the platform may do is wrong too.
pub fn faults(form: &Form, strict: bool) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |path: &str, what: &str| faults.push(Fault::new(path, what));
    let mut times = vec![
        ("servers.connect_timeout", form.servers.connect_timeout),
        ("servers.idle_timeout", form.servers.idle_timeout),
        ("retries.retry_after_most", form.retries.retry_after_most),
        ("rules.tick", form.rules.tick),
        ("rules.warm_up", form.rules.warm_up),
    ];
    times.extend(form.counter.as_ref().map(|counter| ("counter.timeout", counter.timeout)));
    if strict {
        times.extend([
            ("rules.answer_slack", form.rules.answer_slack),
            ("rules.drain_grace", form.rules.drain_grace),
            ("rules.fall_after", form.rules.fall_after),
            ("rules.ask_within", form.rules.ask_within),
        ]);
    }
    for (path, time) in times {
        if !TIMES.contains(&time.0) {
            fault(path, OUT_OF_RANGE);
        }
    }
    if form.limits.descriptors < DESCRIPTORS_FROM {
        fault("limits.descriptors", "at least 40 are needed");
    }
    if form.fleet.gateways == 0 || form.fleet.position >= form.fleet.gateways {
        fault(
            "fleet.position",
            if strict { "not below fleet.gateways" } else { "not below settings.balancers" },
        );
    }
    if form.classes.is_empty() {
        fault("classes", "empty");
    }
    for (at, Class { aim, deadline, key_window, .. }) in form.classes.iter().enumerate() {
        if deadline.0 <= 0.0 {
            fault(&format!("classes[{at}].deadline"), "a deadline that is not above 0");
        }
        let mut long = |key: &str, time: &Millis| {
            if strict && !TIMES.contains(&time.0) {
                fault(&format!("classes[{at}].{key}"), OUT_OF_RANGE);
            }
        };
        long("aim", aim);
        long("deadline", deadline);
        long("key_window", key_window);
    }
    if form.retries.attempts == 0 {
        fault("retries.attempts", "not above 0");
    }
    if let Some(at) = twice(form.classes.iter().map(|c| c.name.as_str())) {
        fault(&format!("classes[{at}].name"), "a name stands twice");
    }
    if let Some(at) = twice(form.plans.iter().map(|p| p.name.as_str())) {
        fault(&format!("plans[{at}].name"), "a name stands twice");
    }
    if let Some(seed) = form.seed.as_ref().filter(|seed| u64::from_str_radix(seed, 16).is_err()) {
        fault("seed", &format!("{seed:?} is not a hex number"));
    }
    if strict {
        named(form, &mut fault);
        faults.extend(clashes(form));
    }
    faults.extend(form.cluster.as_ref().map(|c| cluster(c, form)).unwrap_or_default());
    faults
}

/// What names refer to.
fn named(form: &Form, fault: &mut impl FnMut(&str, &str)) {
    if let Some(at) = twice(form.zones.iter().map(String::as_str)) {
        fault(&format!("zones[{at}]"), "a name stands twice");
    }
    if let Some(at) = twice(form.kinds.iter().map(String::as_str)) {
        fault(&format!("kinds[{at}]"), "a name stands twice");
    }
    if !form.zones.contains(&form.zone) {
        fault("zone", &format!("{:?} is none of zones", form.zone));
    }
    for (at, class) in form.classes.iter().enumerate() {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
        if class.name.is_empty() || !class.name.chars().all(fits) {
            fault(
                &format!("classes[{at}].name"),
                "letters, digits, - _ . ~ are wanted: it is a part of a path",
            );
        }
    }
    if let Some(peers) = form.peers.as_ref().filter(|p| p.addresses.len() != form.fleet.gateways as usize) {
        let what =
            format!("{} addresses, but fleet.gateways is {}", peers.addresses.len(), form.fleet.gateways);
        fault("peers.addresses", &what);
    }
}

/// Listeners that get into each other's way.
fn clashes(form: &Form) -> Vec<Fault> {
    let tcp = [
        ("listeners.clients", Some(form.listeners.clients)),
        ("listeners.operators", form.listeners.operators),
    ];
    let udp = [
        ("peers.listen", form.peers.as_ref().map(|peers| peers.listen)),
        ("cluster.listen", form.cluster.as_ref().map(|cluster| cluster.listen.into())),
    ];
    let clash = |a: SocketAddr, b: SocketAddr| {
        let same = a.ip() == b.ip()
            || a.is_ipv4() == b.is_ipv4() && (a.ip().is_unspecified() || b.ip().is_unspecified());
        a.port() != 0 && a.port() == b.port() && same
    };
    let of = |[(one, a), (other, b)]: [(&str, Option<SocketAddr>); 2]| {
        let (a, b) = a.zip(b).filter(|(a, b)| clash(*a, *b))?;
        Some(Fault::new(other, format!("{b} is taken by {one}, {a}")).with(one))
    };
    [tcp, udp].into_iter().filter_map(of).collect()
}

fn cluster(c: &super::form::Cluster, form: &Form) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |key: &str, what: &str| faults.push(Fault::new(format!("cluster.{key}"), what));
    let bad =
        |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control);
    let at = |addr: &SocketAddrV4| {
        let ip = addr.ip();
        addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
    };
    if bad(&c.name) {
        fault("name", "1 to 64 bytes are needed");
    }
    if bad(c.member.as_ref().unwrap_or(&form.name)) {
        fault("member", "1 to 64 bytes are needed, here or as the gateway's name");
    }
    let nowhere = *c.advertise.unwrap_or(c.listen).ip() == Ipv4Addr::UNSPECIFIED;
    if c.advertise.is_some_and(|addr| !at(&addr)) || nowhere {
        fault("advertise", "an address at which the others reach this gateway is needed");
    }
    if c.seeds.len() > SEEDS_MOST || !c.seeds.iter().all(at) {
        fault("seeds", "64 addresses of members at most");
    }
    if !PERIODS.contains(&c.period.0) {
        fault("period", "20 ms to 1 minute are needed");
    }
    if c.timeout.is_some_and(|timeout| !(1.0..=c.period.0 * TIMEOUT_OF_PERIOD.0).contains(&timeout.0)) {
        fault("timeout", "1 ms to half of the period are needed");
    }
    let expected = c.expected.unwrap_or(form.fleet.gateways);
    if expected == 0 || expected as usize > MAX_MEMBERS + 1 {
        fault("expected", "1 to 1025 are needed, here or as the number of gateways");
    }
    faults
}

/// All that is wrong with a value of one of the two kinds of files.
pub fn examine(value: &Value, kind: Kind) -> Vec<Fault> {
    let schema = guide::schema_of(kind);
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        // Ours to mend: the tests make it.
        Err(e) => return vec![Fault::new("", format!("the program's own schema: {e}"))],
    };
    let mut faults = Vec::new();
    for error in validator.iter_errors(value) {
        tell(&error, &schema, &mut faults);
    }
    if faults.iter().any(|fault| fault.path().is_empty()) {
        return faults;
    }
    // What the keys mean together is looked at with what is wrong replaced by something that fits.
    let mut mended = value.clone();
    for fault in &faults {
        guide::mend(&mut mended, &schema, fault.path());
    }
    match kind.faults(mended) {
        Ok(more) => faults.extend(more.into_iter().filter(|f| !f.follows(&faults)).collect::<Vec<_>>()),
        // What the schema lets through and the types do not.
        Err(e) if faults.is_empty() => faults.push(Fault::new(e.path().to_string(), e.inner().to_string())),
        Err(_) => {}
    }
    faults
}

/// Puts an error of the schema into words.
fn tell(error: &ValidationError<'_>, schema: &Value, faults: &mut Vec<Fault>) {
    let path = key(error.instance_path().as_str());
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let got = shown(error.instance());
    let wanted = guide::wanted(schema, &path);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                let what = match guide::nearest(schema, &path, name) {
                    Some(known) => format!("not known; the nearest known key is {known}"),
                    None => "not known".to_owned(),
                };
                faults.push(Fault::new(below(name), what));
            }
        }
        ValidationErrorKind::Required { property } => {
            let missing = below(property.as_str().unwrap_or_default());
            let what = format!("missing; wanted {}", guide::wanted(schema, &missing));
            faults.push(Fault::new(missing, what));
        }
        // An optional key: what is wrong with it where it is there.
        ValidationErrorKind::AnyOf { context } | ValidationErrorKind::OneOfNotValid { context } => {
            let null = |e: &ValidationError<'_>| e.schema_path().as_str().ends_with("/1/type");
            match context.iter().find(|errors| !errors.iter().all(null)) {
                Some(errors) => errors.iter().for_each(|error| tell(error, schema, faults)),
                None => faults.push(Fault::new(path, format!("got {got}, wanted {wanted}"))),
            }
        }
        ValidationErrorKind::MinItems { .. } | ValidationErrorKind::MinLength { .. } => {
            faults.push(Fault::new(path, format!("empty; wanted {wanted}")));
        }
        _ => faults.push(Fault::new(path, format!("got {got}, wanted {wanted}"))),
    }
}

/// A JSON pointer as a key is written.
fn key(pointer: &str) -> String {
    let mut key = String::new();
    for part in pointer.split('/').skip(1) {
        let part = part.replace("~1", "/").replace("~0", "~");
        if !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit()) {
            key += &format!("[{part}]");
        } else if key.is_empty() {
            key = part;
        } else {
            key += &format!(".{part}");
        }
    }
    key
}

fn shown(value: &Value) -> String {
    let text = match value {
        Value::Object(_) => "a table".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Null => "nothing".to_owned(),
        other => other.to_string(),
    };
    match text.char_indices().nth(SHOWN) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
