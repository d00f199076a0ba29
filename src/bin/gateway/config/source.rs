//! Loads a configuration from its sources. Environment variables override the file, and command line flags override
//! both. A platform file has no overrides but `RELAY_OPERATOR`.

use super::check::{self, Diagnostic};
use super::form::NativeConfig;
use super::guide::{self, FileFormat};
use super::{platform, Config, Violation};
use figment::providers::{Env, Serialized};
use figment::value::{Dict, Map};
use figment::{Figment, Metadata, Profile, Provider};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, Metadata as FileMetadata};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Prefix of environment variables that set keys: `HERONSTAGE_LIMITS__DESCRIPTORS` sets `limits.descriptors`.
const ENV_PREFIX: &str = "HERONSTAGE_";
/// Maximum file size. A platform file may contain the whole backend list.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// Maximum number of attempts to read a file that changes while it is read.
const MAX_READ_ATTEMPTS: usize = 5;

/// The source of the configuration, at the start and on each reload.
#[derive(Clone, Debug)]
pub enum Source {
    /// The platform file whose path is in `RELAY_CONFIG`.
    Platform,
    /// A file given on the command line.
    File(FileSource),
}

/// A file of either format, and keys set by flags.
#[derive(Clone, Debug)]
pub struct FileSource {
    pub path: PathBuf,
    /// Keys and values of `--set` flags.
    pub set: Vec<(String, String)>,
}

/// The effective configuration: each key with its value and the source of the value.
pub struct EffectiveConfig(pub Vec<(String, Value, String)>);

/// A parsed file, and the line of each key.
struct Document {
    path: PathBuf,
    value: Value,
    lines: BTreeMap<String, usize>,
}

/// A parsed file, by format. A platform file comes with its text, which [`load_platform`] parses again.
enum ParsedFile {
    Platform(Document, String),
    Native(Box<Layers>),
}

impl Source {
    /// Loads and checks the configuration. An error has one line for each violation; for a platform file it names only
    /// the first.
    pub fn load(&self) -> Result<Config, String> {
        let file = match self {
            Source::Platform => {
                let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set".to_owned())?;
                let text = read_file(Path::new(&path)).map_err(|e| format!("RELAY_CONFIG {path}: {e}"))?;
                return load_platform(&text);
            }
            Source::File(file) => file,
        };
        match file.open().map_err(join_lines)? {
            ParsedFile::Platform(_, text) => load_platform(&text),
            ParsedFile::Native(layers) => Config::from_native(layers.parse()?, layers.value),
        }
    }
}

impl FileSource {
    fn open(&self) -> Result<ParsedFile, Vec<Diagnostic>> {
        let text = read_file(&self.path).map_err(|e| vec![diagnostic(self.path.display(), e)])?;
        let document = Document::parse(&self.path, &text)?;
        Ok(match document.format() {
            FileFormat::Platform => ParsedFile::Platform(document, text),
            FileFormat::Native => {
                let layers = Layers::new(document, &self.set).map_err(|diagnostic| vec![diagnostic])?;
                ParsedFile::Native(Box::new(layers))
            }
        })
    }

    /// Checks the file and returns all violations.
    pub fn check(&self) -> Vec<Diagnostic> {
        match self.open() {
            Ok(ParsedFile::Platform(document, _)) => {
                let violations = check::check_value(&document.value, FileFormat::Platform).into_iter();
                violations
                    .map(|violation| Diagnostic { location: document.location(violation.path()), violation })
                    .collect()
            }
            Ok(ParsedFile::Native(layers)) => layers.diagnostics(),
            Err(diagnostics) => diagnostics,
        }
    }

    /// The effective values of all keys, and their sources.
    pub fn show(&self) -> Result<EffectiveConfig, String> {
        let layers = match self.open().map_err(join_lines)? {
            ParsedFile::Native(layers) => layers,
            ParsedFile::Platform(document, _) => {
                let path = document.path.display();
                return Err(format!("{path}: a platform file has no layers to show"));
            }
        };
        let value = serde_json::to_value(layers.parse()?).map_err(|e| e.to_string())?;
        let mut shown = Vec::new();
        for_each_leaf("", &value, &mut |key, value| {
            let origin = layers.origin(key).unwrap_or_else(|| "default".to_owned());
            shown.push((key.to_owned(), value.clone(), origin));
        });
        Ok(EffectiveConfig(shown))
    }
}

/// Parses a platform file and applies `RELAY_OPERATOR`.
fn load_platform(text: &str) -> Result<Config, String> {
    let mut config = platform::parse(text)?;
    // Processes may share a file, so the operators' address can be set per process.
    if let Ok(address) = std::env::var("RELAY_OPERATOR") {
        let parsed = address.parse().map_err(|e| format!("RELAY_OPERATOR {address}: {e}"))?;
        config.operator = Some(parsed);
    }
    Ok(config)
}

fn join_lines(diagnostics: Vec<Diagnostic>) -> String {
    diagnostics.iter().map(Diagnostic::to_string).collect::<Vec<_>>().join("\n")
}

/// A diagnostic that concerns no single key.
fn diagnostic(location: impl fmt::Display, message: impl fmt::Display) -> Diagnostic {
    Diagnostic { location: location.to_string(), violation: Violation::new("", message.to_string()) }
}

/// Calls the function for each key that is not a table or a list of tables, with its value.
fn for_each_leaf(path: &str, value: &Value, call: &mut impl FnMut(&str, &Value)) {
    let child = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(map) if !map.is_empty() => {
            map.iter().for_each(|(key, v)| for_each_leaf(&child(key), v, call))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items
                .iter()
                .enumerate()
                .for_each(|(index, v)| for_each_leaf(&format!("{path}[{index}]"), v, call));
        }
        _ => call(path, value),
    }
}

// ---- Files ------------------------------------------------------------------------------------------------

/// Reads a whole file. If it changes meanwhile, it is read again, so that the text never mixes two versions.
fn read_file(path: &Path) -> io::Result<String> {
    let unchanged =
        |a: &FileMetadata, b: &FileMetadata| a.len() == b.len() && a.modified().ok() == b.modified().ok();
    for _ in 0..MAX_READ_ATTEMPTS {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::new();
        (&mut file).take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(io::Error::other("over 16 MiB"));
        }
        if unchanged(&before, &file.metadata()?) {
            return String::from_utf8(bytes).map_err(|_| io::Error::other("not UTF-8"));
        }
    }
    Err(io::Error::other("changes while it is read; write to a temporary file and rename it"))
}

/// The offsets of a text's line ends.
struct LineEnds(Vec<usize>);

impl LineEnds {
    fn new(text: &str) -> Self {
        LineEnds(text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(offset, _)| offset).collect())
    }

    /// The number of the line at an offset, from 1.
    fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|end| *end < offset) + 1
    }
}

impl Document {
    fn parse(path: &Path, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let location = |line: usize| format!("{}:{line}", path.display());
        if text.trim().is_empty() {
            return Err(vec![diagnostic(location(1), "empty")]);
        }
        let (mut lines, ends) = (BTreeMap::new(), LineEnds::new(text));
        let is_json = path.extension().is_some_and(|e| e.eq_ignore_ascii_case("json"));
        let value = if is_json {
            // The walker relies on valid syntax and limited nesting, which this checks first.
            if let Err(e) = serde_json::from_str::<Value>(text) {
                return Err(vec![diagnostic(location(e.line()), e)]);
            }
            let mut duplicates = Vec::new();
            let mut walker = JsonWalker { text, ends: &ends, lines: &mut lines, duplicates: &mut duplicates };
            let value = walker.value("", text).map_err(|e| vec![diagnostic(location(1), e)])?;
            if !duplicates.is_empty() {
                let duplicates = duplicates.into_iter().map(|(key, line)| Diagnostic {
                    location: location(line),
                    violation: Violation::new(key, "duplicate key"),
                });
                return Err(duplicates.collect());
            }
            value
        } else {
            let (table, errors) = DeTable::parse_recoverable(text);
            if !errors.is_empty() {
                let locate = |e: &toml::de::Error| {
                    let line = e.span().map_or(1, |span| ends.line(span.start));
                    (line, diagnostic(location(line), e.message().replace('\n', ", ")))
                };
                // Further errors in a line usually result from the first one.
                let mut located: Vec<_> = errors.iter().map(locate).collect();
                located.dedup_by_key(|(line, _)| *line);
                return Err(located.into_iter().map(|(_, diagnostic)| diagnostic).collect());
            }
            let mut invalid = Vec::new();
            let value = convert_table("", table.get_ref(), &ends, &mut lines, &mut invalid);
            if !invalid.is_empty() {
                let invalid = invalid.into_iter().map(|violation: Violation| Diagnostic {
                    location: location(lines.get(violation.path()).copied().unwrap_or(1)),
                    violation,
                });
                return Err(invalid.collect());
            }
            value
        };
        Ok(Document { path: path.to_owned(), value, lines })
    }

    fn format(&self) -> FileFormat {
        let is_json = self.path.extension().is_some_and(|e| e.eq_ignore_ascii_case("json"));
        if is_json && self.value.get(platform::SETTINGS_KEY).is_some() {
            FileFormat::Platform
        } else {
            FileFormat::Native
        }
    }

    /// The location of a key, or of the innermost table around it if the file does not have the key.
    fn location(&self, key: &str) -> String {
        let mut key = key;
        let line = loop {
            match self.lines.get(key) {
                Some(line) => break *line,
                None => match key.rfind(['.', '[']) {
                    Some(end) => key = &key[..end],
                    None => break 1,
                },
            }
        };
        format!("{}:{line}", self.path.display())
    }
}

/// Parses a valid JSON text and records the line of each key.
struct JsonWalker<'a> {
    text: &'a str,
    ends: &'a LineEnds,
    lines: &'a mut BTreeMap<String, usize>,
    /// Duplicate keys, and the line of the second occurrence.
    duplicates: &'a mut Vec<(String, usize)>,
}

impl JsonWalker<'_> {
    /// Parses the value of a key. `raw` is a slice of `text`, so its address gives its line.
    fn value(&mut self, key: &str, raw: &str) -> serde_json::Result<Value> {
        let line = self.ends.line(raw.as_ptr() as usize - self.text.as_ptr() as usize);
        if !key.is_empty() && self.lines.insert(key.to_owned(), line).is_some() {
            self.duplicates.push((key.to_owned(), line));
        }
        match raw.trim_start().as_bytes().first() {
            Some(b'{') => {
                let Entries(entries) = serde_json::from_str(raw)?;
                let mut map = serde_json::Map::new();
                for (name, raw) in entries {
                    let child = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
                    map.insert(name, self.value(&child, raw.get())?);
                }
                Ok(Value::Object(map))
            }
            Some(b'[') => {
                let Items(items) = serde_json::from_str(raw)?;
                let item =
                    |(index, raw): (usize, &RawValue)| self.value(&format!("{key}[{index}]"), raw.get());
                Ok(Value::Array(items.into_iter().enumerate().map(item).collect::<Result<_, _>>()?))
            }
            _ => serde_json::from_str(raw),
        }
    }
}

/// An object's entries, including duplicates.
struct Entries<'a>(Vec<(String, &'a RawValue)>);
/// A list's items.
struct Items<'a>(Vec<&'a RawValue>);

impl<'de: 'a, 'a> Deserialize<'de> for Entries<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Visit;
        impl<'de> Visitor<'de> for Visit {
            type Value = Vec<(String, &'de RawValue)>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut entries = Vec::new();
                while let Some(entry) = map.next_entry()? {
                    entries.push(entry);
                }
                Ok(entries)
            }
        }
        from.deserialize_map(Visit).map(Entries)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Items<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Visit;
        impl<'de> Visitor<'de> for Visit {
            type Value = Vec<&'de RawValue>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut items = Vec::new();
                while let Some(item) = seq.next_element()? {
                    items.push(item);
                }
                Ok(items)
            }
        }
        from.deserialize_seq(Visit).map(Items)
    }
}

/// Converts a TOML table to JSON, and records the lines of its keys and the violations in its numbers.
fn convert_table(
    path: &str, table: &DeTable<'_>, ends: &LineEnds, lines: &mut BTreeMap<String, usize>,
    invalid: &mut Vec<Violation>,
) -> Value {
    let mut map = serde_json::Map::new();
    for (name, value) in table {
        let name = name.get_ref().to_string();
        let key = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        map.insert(name, convert_value(&key, value, ends, lines, invalid));
    }
    Value::Object(map)
}

fn convert_value(
    key: &str, value: &Spanned<DeValue<'_>>, ends: &LineEnds, lines: &mut BTreeMap<String, usize>,
    invalid: &mut Vec<Violation>,
) -> Value {
    lines.insert(key.to_owned(), ends.line(value.span().start));
    match value.get_ref() {
        DeValue::String(text) => text.to_string().into(),
        DeValue::Boolean(value) => (*value).into(),
        DeValue::Integer(number) => match i64::from_str_radix(number.as_str(), number.radix()) {
            Ok(number) => number.into(),
            Err(e) => {
                invalid.push(Violation::new(key, format!("{}: {e}", number.as_str())));
                Value::Null
            }
        },
        DeValue::Float(number) => {
            match number.as_str().parse::<f64>().ok().and_then(serde_json::Number::from_f64) {
                Some(number) => Value::Number(number),
                None => {
                    invalid.push(Violation::new(
                        key,
                        format!("got {}, expected a finite number", number.as_str()),
                    ));
                    Value::Null
                }
            }
        }
        DeValue::Datetime(time) => time.to_string().into(),
        DeValue::Array(items) => {
            let item =
                |(index, value)| convert_value(&format!("{key}[{index}]"), value, ends, lines, invalid);
            items.iter().enumerate().map(item).collect::<Vec<_>>().into()
        }
        DeValue::Table(table) => convert_table(key, table, ends, lines, invalid),
    }
}

// ---- Layers -----------------------------------------------------------------------------------------------

/// The lowest layer: the values of the file.
struct FileLayer<'a>(&'a Document);

impl Provider for FileLayer<'_> {
    fn metadata(&self) -> Metadata {
        Metadata::from("file", self.0.path.as_path())
    }

    fn data(&self) -> figment::Result<Map<Profile, Dict>> {
        Serialized::defaults(&self.0.value).data()
    }
}

/// A native file with its overrides from the environment and from flags.
struct Layers {
    document: Document,
    figment: Figment,
    /// The merged value.
    value: Value,
}

impl Layers {
    fn new(document: Document, set: &[(String, String)]) -> Result<Self, Diagnostic> {
        let mut figment = Figment::from(FileLayer(&document));
        figment = figment.merge(Env::prefixed(ENV_PREFIX).split("__"));
        for (key, text) in set {
            // Text that is not valid JSON is taken as a string.
            let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.clone()));
            figment = figment.merge(Serialized::default(key, value));
        }
        let value = figment.extract::<Value>().map_err(|e| diagnostic(document.path.display(), e))?;
        Ok(Layers { document, figment, value })
    }

    /// Parses the merged value. An error has one line for each violation.
    fn parse(&self) -> Result<NativeConfig, String> {
        let diagnostics = self.diagnostics();
        if !diagnostics.is_empty() {
            return Err(join_lines(diagnostics));
        }
        guide::parse_native(self.value.clone()).map_err(|e| format!("{}: {e}", self.document.path.display()))
    }

    fn diagnostics(&self) -> Vec<Diagnostic> {
        let violations = check::check_value(&self.value, FileFormat::Native);
        violations
            .into_iter()
            .map(|violation| Diagnostic { location: self.location(violation.path()), violation })
            .collect()
    }

    /// The location of a key's value, or of the innermost table around it if the key is not set.
    fn location(&self, key: &str) -> String {
        self.origin(key).unwrap_or_else(|| self.document.location(key))
    }

    /// The layer that sets a key's value; none if the key is not set.
    fn origin(&self, key: &str) -> Option<String> {
        // A list is set by one layer as a whole.
        let key_of_list = key.split('[').next().unwrap_or_default();
        let layer = self.figment.find_metadata(key_of_list)?;
        Some(match &*layer.name {
            "file" => self.document.location(key),
            name if name.contains("environment") => {
                format!("environment {ENV_PREFIX}{}", key_of_list.to_uppercase().replace('.', "__"))
            }
            _ => "flag --set".to_owned(),
        })
    }
}
