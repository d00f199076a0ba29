//! Validation of a configuration. All errors are reported at once, each with its location and the expected value.

use super::form::{Class, NativeConfig, MIN_DESCRIPTORS};
use super::guide::{self, FileFormat};
use super::units::Millis;
use jsonschema::error::ValidationErrorKind;
use jsonschema::ValidationError;
use oakfall::membership::{MAX_MEMBERS, MAX_NAME_BYTES};
use serde_json::Value;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;

/// Valid range of times, in ms. Larger values are likely errors, and `Duration` conversions panic on very large
/// ones.
pub const TIME_RANGE_MS: RangeInclusive<f64> = 0.0..=86_400_000.0;
/// Message for a value outside its valid range.
pub const OUT_OF_RANGE: &str = "out of range";
/// Valid range of the cluster's probe period, in ms. Shorter periods cause excessive load, longer ones delay
/// failure detection too much.
const PERIOD_RANGE_MS: RangeInclusive<f64> = 20.0..=60_000.0;
/// Maximum and default timeout of a direct probe, as shares of the probe period. The rest of the period is left for
/// indirect probes.
pub const PROBE_TIMEOUT_SHARES: (f64, f64) = (0.5, 0.25);
/// Maximum number of seed addresses.
const MAX_SEEDS: usize = 64;
/// Values in messages are cut after this many characters.
const MAX_VALUE_CHARS: usize = 60;

/// A violation of the configuration's rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The path of the invalid key, followed by those of other keys that it conflicts with.
    paths: Vec<String>,
    message: String,
}

impl Violation {
    /// A violation at one key; an empty path stands for the whole file.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Violation { paths: vec![path.into()], message: message.into() }
    }

    /// Adds another key that the invalid one conflicts with.
    fn with_conflict(mut self, other: &str) -> Self {
        self.paths.push(other.to_owned());
        self
    }

    /// The path of the invalid key.
    pub fn path(&self) -> &str {
        &self.paths[0]
    }

    /// Replaces the paths of its keys.
    pub fn map_paths(mut self, new_path: impl Fn(&str) -> String) -> Self {
        self.paths = self.paths.iter().map(|path| new_path(path)).collect();
        self
    }

    /// Whether the invalid key's path has this suffix.
    pub fn path_ends_with(&self, end: &str) -> bool {
        self.path().ends_with(end)
    }

    /// Whether another violation is at, above or below one of its keys, and so may have caused it.
    fn may_result_from(&self, others: &[Violation]) -> bool {
        let contains = |path: &str, other: &str| {
            path.strip_prefix(other).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        let related =
            |path: &str, cause: &Violation| contains(path, cause.path()) || contains(cause.path(), path);
        self.paths.iter().any(|path| others.iter().any(|cause| related(path, cause)))
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path() {
            "" => f.write_str(&self.message),
            path => write!(f, "{path}: {}", self.message),
        }
    }
}

/// A violation with its location.
#[derive(Debug)]
pub struct Diagnostic {
    /// `file:line`, or the environment variable or flag that sets the key.
    pub location: String,
    pub violation: Violation,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.violation)
    }
}

/// The index of the first repeated name.
fn first_duplicate<'a>(names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let mut seen = std::collections::HashSet::new();
    names.enumerate().find(|(_, name)| !seen.insert(*name)).map(|(index, _)| index)
}

/// Checks what the types of the keys do not express. `strict` adds checks that platform files are exempt from.
pub fn check_native(config: &NativeConfig, strict: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |path: &str, message: &str| violations.push(Violation::new(path, message));
    let mut times = vec![
        ("servers.connect_timeout", config.servers.connect_timeout),
        ("servers.idle_timeout", config.servers.idle_timeout),
        ("retries.retry_after_most", config.retries.retry_after_most),
        ("rules.tick", config.rules.tick),
        ("rules.warm_up", config.rules.warm_up),
    ];
    times.extend(config.counter.as_ref().map(|counter| ("counter.timeout", counter.timeout)));
    if strict {
        times.extend([
            ("rules.answer_slack", config.rules.answer_slack),
            ("rules.drain_grace", config.rules.drain_grace),
            ("rules.fall_after", config.rules.fall_after),
            ("rules.ask_within", config.rules.ask_within),
        ]);
    }
    for (path, time) in times {
        if !TIME_RANGE_MS.contains(&time.0) {
            report(path, OUT_OF_RANGE);
        }
    }
    if config.limits.descriptors < MIN_DESCRIPTORS {
        report("limits.descriptors", "must be at least 40");
    }
    if config.fleet.gateways == 0 || config.fleet.position >= config.fleet.gateways {
        report(
            "fleet.position",
            if strict { "must be less than fleet.gateways" } else { "must be less than settings.balancers" },
        );
    }
    if config.classes.is_empty() {
        report("classes", "empty");
    }
    for (index, Class { aim, deadline, key_window, .. }) in config.classes.iter().enumerate() {
        if deadline.0 <= 0.0 {
            report(&format!("classes[{index}].deadline"), "must be greater than 0");
        }
        let mut check_range = |key: &str, time: &Millis| {
            if strict && !TIME_RANGE_MS.contains(&time.0) {
                report(&format!("classes[{index}].{key}"), OUT_OF_RANGE);
            }
        };
        check_range("aim", aim);
        check_range("deadline", deadline);
        check_range("key_window", key_window);
    }
    if config.retries.attempts == 0 {
        report("retries.attempts", "must be greater than 0");
    }
    if let Some(index) = first_duplicate(config.classes.iter().map(|c| c.name.as_str())) {
        report(&format!("classes[{index}].name"), "duplicate name");
    }
    if let Some(index) = first_duplicate(config.plans.iter().map(|p| p.name.as_str())) {
        report(&format!("plans[{index}].name"), "duplicate name");
    }
    if let Some(seed) = config.seed.as_ref().filter(|seed| u64::from_str_radix(seed, 16).is_err()) {
        report("seed", &format!("{seed:?} is not a hex number"));
    }
    if strict {
        check_names(config, &mut report);
        violations.extend(find_listener_conflicts(config));
    }
    violations.extend(config.cluster.as_ref().map(|c| check_cluster(c, config)).unwrap_or_default());
    violations
}

/// Checks names, and that references to other keys are valid.
fn check_names(config: &NativeConfig, report: &mut impl FnMut(&str, &str)) {
    if let Some(index) = first_duplicate(config.zones.iter().map(String::as_str)) {
        report(&format!("zones[{index}]"), "duplicate name");
    }
    if let Some(index) = first_duplicate(config.kinds.iter().map(String::as_str)) {
        report(&format!("kinds[{index}]"), "duplicate name");
    }
    if !config.zones.contains(&config.zone) {
        report("zone", &format!("{:?} is not in zones", config.zone));
    }
    for (index, class) in config.classes.iter().enumerate() {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
        if class.name.is_empty() || !class.name.chars().all(allowed) {
            report(
                &format!("classes[{index}].name"),
                "must consist of letters, digits, - _ . ~: it is a part of the request path",
            );
        }
    }
    if let Some(peers) = config.peers.as_ref().filter(|p| p.addresses.len() != config.fleet.gateways as usize)
    {
        let message =
            format!("{} addresses, but fleet.gateways is {}", peers.addresses.len(), config.fleet.gateways);
        report("peers.addresses", &message);
    }
}

/// Listeners that cannot be bound at the same time.
fn find_listener_conflicts(config: &NativeConfig) -> Vec<Violation> {
    let tcp = [
        ("listeners.clients", Some(config.listeners.clients)),
        ("listeners.operators", config.listeners.operators),
    ];
    let udp = [
        ("peers.listen", config.peers.as_ref().map(|peers| peers.listen)),
        ("cluster.listen", config.cluster.as_ref().map(|cluster| cluster.listen.into())),
    ];
    let overlap = |a: SocketAddr, b: SocketAddr| {
        let same_host = a.ip() == b.ip()
            || a.is_ipv4() == b.is_ipv4() && (a.ip().is_unspecified() || b.ip().is_unspecified());
        a.port() != 0 && a.port() == b.port() && same_host
    };
    let conflict = |[(first, a), (second, b)]: [(&str, Option<SocketAddr>); 2]| {
        let (a, b) = a.zip(b).filter(|(a, b)| overlap(*a, *b))?;
        Some(Violation::new(second, format!("{b} conflicts with {first}, {a}")).with_conflict(first))
    };
    [tcp, udp].into_iter().filter_map(conflict).collect()
}

fn check_cluster(c: &super::form::Cluster, config: &NativeConfig) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report =
        |key: &str, message: &str| violations.push(Violation::new(format!("cluster.{key}"), message));
    let invalid_name =
        |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control);
    let is_reachable = |addr: &SocketAddrV4| {
        let ip = addr.ip();
        addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
    };
    if invalid_name(&c.name) {
        report("name", "must be 1 to 64 bytes without control characters");
    }
    if invalid_name(c.member.as_ref().unwrap_or(&config.name)) {
        report("member", "must be 1 to 64 bytes without control characters, here or as the gateway's name");
    }
    let is_unspecified = *c.advertise.unwrap_or(c.listen).ip() == Ipv4Addr::UNSPECIFIED;
    if c.advertise.is_some_and(|addr| !is_reachable(&addr)) || is_unspecified {
        report("advertise", "must be an address at which other members reach this gateway");
    }
    if c.seeds.len() > MAX_SEEDS || !c.seeds.iter().all(is_reachable) {
        report("seeds", "must be at most 64 addresses at which members can be reached");
    }
    if !PERIOD_RANGE_MS.contains(&c.period.0) {
        report("period", "must be between 20 ms and 1 minute");
    }
    if c.timeout.is_some_and(|timeout| !(1.0..=c.period.0 * PROBE_TIMEOUT_SHARES.0).contains(&timeout.0)) {
        report("timeout", "must be between 1 ms and half of the period");
    }
    let expected = c.expected.unwrap_or(config.fleet.gateways);
    if expected == 0 || expected as usize > MAX_MEMBERS + 1 {
        report("expected", "must be between 1 and 1025, here or as the number of gateways");
    }
    violations
}

/// Checks a file's value against the schema of its format, then against the rules beyond the schema.
pub fn check_value(value: &Value, format: FileFormat) -> Vec<Violation> {
    let schema = guide::schema_for(format);
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        // A bug in this program, not in the file.
        Err(e) => return vec![Violation::new("", format!("invalid built-in schema: {e}"))],
    };
    let mut violations = Vec::new();
    for error in validator.iter_errors(value) {
        describe_error(&error, &schema, &mut violations);
    }
    if violations.iter().any(|violation| violation.path().is_empty()) {
        return violations;
    }
    // Replaces invalid values by valid samples, so that the remaining rules can be checked as well.
    let mut repaired = value.clone();
    for violation in &violations {
        guide::replace_with_sample(&mut repaired, &schema, violation.path());
    }
    match format.check(repaired) {
        Ok(more) => {
            let independent =
                more.into_iter().filter(|v| !v.may_result_from(&violations)).collect::<Vec<_>>();
            violations.extend(independent);
        }
        // The schema accepts some values that cannot be parsed.
        Err(e) if violations.is_empty() => {
            violations.push(Violation::new(e.path().to_string(), e.inner().to_string()))
        }
        Err(_) => {}
    }
    violations
}

/// Translates a schema error into violations.
fn describe_error(error: &ValidationError<'_>, schema: &Value, violations: &mut Vec<Violation>) {
    let path = key_path(error.instance_path().as_str());
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let got = abbreviate(error.instance());
    let expected = guide::describe_expected(schema, &path);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                let message = match guide::nearest_key(schema, &path, name) {
                    Some(known) => format!("unknown key; did you mean {known}?"),
                    None => "unknown key".to_owned(),
                };
                violations.push(Violation::new(child(name), message));
            }
        }
        ValidationErrorKind::Required { property } => {
            let missing = child(property.as_str().unwrap_or_default());
            let message = format!("missing; expected {}", guide::describe_expected(schema, &missing));
            violations.push(Violation::new(missing, message));
        }
        // An optional key: reports the errors of the branch for a value that is present, not those for null.
        ValidationErrorKind::AnyOf { context } | ValidationErrorKind::OneOfNotValid { context } => {
            let is_null_branch = |e: &ValidationError<'_>| e.schema_path().as_str().ends_with("/1/type");
            match context.iter().find(|errors| !errors.iter().all(is_null_branch)) {
                Some(errors) => errors.iter().for_each(|error| describe_error(error, schema, violations)),
                None => violations.push(Violation::new(path, format!("got {got}, expected {expected}"))),
            }
        }
        ValidationErrorKind::MinItems { .. } | ValidationErrorKind::MinLength { .. } => {
            violations.push(Violation::new(path, format!("empty; expected {expected}")));
        }
        _ => violations.push(Violation::new(path, format!("got {got}, expected {expected}"))),
    }
}

/// Converts a JSON pointer to a key path like `classes[0].name`.
fn key_path(pointer: &str) -> String {
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

/// A value for use in a message.
fn abbreviate(value: &Value) -> String {
    let text = match value {
        Value::Object(_) => "a table".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Null => "nothing".to_owned(),
        other => other.to_string(),
    };
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
