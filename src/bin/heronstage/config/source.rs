//! Where a configuration comes from: a file, over it the environment, over that the command line's flags.

use super::check::{self, Mistake};
use super::form::Form;
use super::guide::{self, Kind};
use super::{platform, Config, Fault};
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

/// Variables that stand for keys: `HERONSTAGE_LIMITS__DESCRIPTORS` is `limits.descriptors`.
const PREFIX: &str = "HERONSTAGE_";
/// Largest file: the list of servers that it may hold is no longer than discovery's, and the rest is short.
const FILE_MOST: u64 = 16 << 20;
/// A file that changes while it is read is read anew, so many times.
const READS: usize = 5;

/// Where to read a configuration, now and at each reload.
#[derive(Clone, Debug)]
pub enum Source {
    /// The file that `RELAY_CONFIG` names, as the platform writes it.
    Platform,
    /// A file that was named.
    Named(Named),
}

/// A file of either form, with keys set by flags.
#[derive(Clone, Debug)]
pub struct Named {
    pub path: PathBuf,
    pub set: Vec<(String, String)>,
}

/// A configuration's keys, each with its value and where that comes from.
pub struct Shown(pub Vec<(String, Value, String)>);

/// A file's keys and the lines where they stand.
struct Document {
    path: PathBuf,
    value: Value,
    lines: BTreeMap<String, usize>,
}

/// What a named file is found to be.
enum Opened {
    Platform(Document, String),
    People(Box<Layers>),
}

impl Source {
    /// Reads it. An error has a line for each mistake.
    pub fn load(&self) -> Result<Config, String> {
        let named = match self {
            Source::Platform => {
                let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set".to_owned())?;
                let text = read(Path::new(&path)).map_err(|e| format!("RELAY_CONFIG {path}: {e}"))?;
                return on_platform(&text);
            }
            Source::Named(named) => named,
        };
        match named.open().map_err(lines)? {
            Opened::Platform(_, text) => on_platform(&text),
            Opened::People(layers) => Config::resolve(layers.form()?, layers.value),
        }
    }
}

impl Named {
    fn open(&self) -> Result<Opened, Vec<Mistake>> {
        let text = read(&self.path).map_err(|e| vec![misplaced(self.path.display(), e)])?;
        let document = Document::parse(&self.path, &text)?;
        Ok(match document.kind() {
            Kind::Platform => Opened::Platform(document, text),
            Kind::Form => {
                let layers = Layers::new(document, &self.set).map_err(|mistake| vec![mistake])?;
                Opened::People(Box::new(layers))
            }
        })
    }

    /// All that is wrong with it.
    pub fn mistakes(&self) -> Vec<Mistake> {
        match self.open() {
            Ok(Opened::Platform(document, _)) => {
                let faults = check::examine(&document.value, Kind::Platform).into_iter();
                faults.map(|fault| Mistake { place: document.place(fault.path()), fault }).collect()
            }
            Ok(Opened::People(layers)) => layers.mistakes(),
            Err(mistakes) => mistakes,
        }
    }

    /// What holds, and where each value comes from.
    pub fn show(&self) -> Result<Shown, String> {
        let layers = match self.open().map_err(lines)? {
            Opened::People(layers) => layers,
            Opened::Platform(document, _) => {
                let path = document.path.display();
                return Err(format!("{path}: a platform's file has one layer: itself"));
            }
        };
        let value = serde_json::to_value(layers.form()?).map_err(|e| e.to_string())?;
        let mut shown = Vec::new();
        leaves("", &value, &mut |key, value| {
            let from = layers.origin(key).unwrap_or_else(|| "default".to_owned());
            shown.push((key.to_owned(), value.clone(), from));
        });
        Ok(Shown(shown))
    }
}

fn on_platform(text: &str) -> Result<Config, String> {
    let mut config = platform::parse(text)?;
    // Two processes may run by one file: what each is told by itself comes first.
    if let Ok(at) = std::env::var("RELAY_OPERATOR") {
        config.operator = Some(at.parse().map_err(|e| format!("RELAY_OPERATOR {at}: {e}"))?);
    }
    Ok(config)
}

fn lines(mistakes: Vec<Mistake>) -> String {
    mistakes.iter().map(Mistake::to_string).collect::<Vec<_>>().join("\n")
}

fn misplaced(place: impl fmt::Display, what: impl fmt::Display) -> Mistake {
    Mistake { place: place.to_string(), fault: Fault::new("", what.to_string()) }
}

/// Calls with each key that holds no others, and its value.
fn leaves(at: &str, value: &Value, call: &mut impl FnMut(&str, &Value)) {
    let below = |key: &str| if at.is_empty() { key.to_owned() } else { format!("{at}.{key}") };
    match value {
        Value::Object(map) if !map.is_empty() => map.iter().for_each(|(key, v)| leaves(&below(key), v, call)),
        Value::Array(all) if all.iter().any(Value::is_object) => {
            all.iter().enumerate().for_each(|(place, v)| leaves(&format!("{at}[{place}]"), v, call));
        }
        _ => call(at, value),
    }
}

// ---- Files ------------------------------------------------------------------------------------------------

/// Reads a whole file, as it stood at one moment.
fn read(path: &Path) -> io::Result<String> {
    let same =
        |a: &FileMetadata, b: &FileMetadata| a.len() == b.len() && a.modified().ok() == b.modified().ok();
    for _ in 0..READS {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::new();
        (&mut file).take(FILE_MOST + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > FILE_MOST {
            return Err(io::Error::other("over 16 MiB"));
        }
        if same(&before, &file.metadata()?) {
            return String::from_utf8(bytes).map_err(|_| io::Error::other("not UTF-8"));
        }
    }
    Err(io::Error::other("it changes while it is read; write beside it, then rename"))
}

/// Where the lines of a text end.
struct Ends(Vec<usize>);

impl Ends {
    fn new(text: &str) -> Self {
        Ends(text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at).collect())
    }

    /// The line of a place, from 1.
    fn line(&self, at: usize) -> usize {
        self.0.partition_point(|end| *end < at) + 1
    }
}

impl Document {
    fn parse(path: &Path, text: &str) -> Result<Self, Vec<Mistake>> {
        let place = |line: usize| format!("{}:{line}", path.display());
        if text.trim().is_empty() {
            return Err(vec![misplaced(place(1), "empty")]);
        }
        let (mut lines, ends) = (BTreeMap::new(), Ends::new(text));
        let json = path.extension().is_some_and(|e| e.eq_ignore_ascii_case("json"));
        let value = if json {
            // Its limit on nesting comes before the walk for the lines.
            if let Err(e) = serde_json::from_str::<Value>(text) {
                return Err(vec![misplaced(place(e.line()), e)]);
            }
            let mut twice = Vec::new();
            let mut walk = Walk { text, ends: &ends, lines: &mut lines, twice: &mut twice };
            let value = walk.value("", text).map_err(|e| vec![misplaced(place(1), e)])?;
            if !twice.is_empty() {
                let twice = twice.into_iter().map(|(key, line)| Mistake {
                    place: place(line),
                    fault: Fault::new(key, "it stands twice"),
                });
                return Err(twice.collect());
            }
            value
        } else {
            let (table, errors) = DeTable::parse_recoverable(text);
            if !errors.is_empty() {
                let told = |e: &toml::de::Error| {
                    let at = e.span().map_or(1, |span| ends.line(span.start));
                    (at, misplaced(place(at), e.message().replace('\n', ", ")))
                };
                // What follows in the same line is mostly what follows from the first.
                let mut told: Vec<_> = errors.iter().map(told).collect();
                told.dedup_by_key(|(line, _)| *line);
                return Err(told.into_iter().map(|(_, mistake)| mistake).collect());
            }
            let mut wrong = Vec::new();
            let value = table_of("", table.get_ref(), &ends, &mut lines, &mut wrong);
            if !wrong.is_empty() {
                let wrong = wrong.into_iter().map(|fault: Fault| Mistake {
                    place: place(lines.get(fault.path()).copied().unwrap_or(1)),
                    fault,
                });
                return Err(wrong.collect());
            }
            value
        };
        Ok(Document { path: path.to_owned(), value, lines })
    }

    fn kind(&self) -> Kind {
        let json = self.path.extension().is_some_and(|e| e.eq_ignore_ascii_case("json"));
        if json && self.value.get(platform::SETTINGS).is_some() {
            Kind::Platform
        } else {
            Kind::Form
        }
    }

    /// Where a key stands, or the table in which it should.
    fn place(&self, key: &str) -> String {
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

/// Walks a JSON text, which is known to be whole, for the lines of its keys.
struct Walk<'a> {
    text: &'a str,
    ends: &'a Ends,
    lines: &'a mut BTreeMap<String, usize>,
    /// Keys that stand twice, and where again.
    twice: &'a mut Vec<(String, usize)>,
}

impl Walk<'_> {
    fn value(&mut self, key: &str, raw: &str) -> serde_json::Result<Value> {
        let line = self.ends.line(raw.as_ptr() as usize - self.text.as_ptr() as usize);
        if !key.is_empty() && self.lines.insert(key.to_owned(), line).is_some() {
            self.twice.push((key.to_owned(), line));
        }
        match raw.trim_start().as_bytes().first() {
            Some(b'{') => {
                let Entries(entries) = serde_json::from_str(raw)?;
                let mut map = serde_json::Map::new();
                for (name, raw) in entries {
                    let below = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
                    map.insert(name, self.value(&below, raw.get())?);
                }
                Ok(Value::Object(map))
            }
            Some(b'[') => {
                let Items(items) = serde_json::from_str(raw)?;
                let item =
                    |(place, raw): (usize, &RawValue)| self.value(&format!("{key}[{place}]"), raw.get());
                Ok(Value::Array(items.into_iter().enumerate().map(item).collect::<Result<_, _>>()?))
            }
            _ => serde_json::from_str(raw),
        }
    }
}

/// An object's entries, those that stand twice too.
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

fn table_of(
    at: &str, table: &DeTable<'_>, ends: &Ends, lines: &mut BTreeMap<String, usize>, wrong: &mut Vec<Fault>,
) -> Value {
    let mut map = serde_json::Map::new();
    for (name, value) in table {
        let name = name.get_ref().to_string();
        let key = if at.is_empty() { name.clone() } else { format!("{at}.{name}") };
        map.insert(name, value_of(&key, value, ends, lines, wrong));
    }
    Value::Object(map)
}

fn value_of(
    key: &str, value: &Spanned<DeValue<'_>>, ends: &Ends, lines: &mut BTreeMap<String, usize>,
    wrong: &mut Vec<Fault>,
) -> Value {
    lines.insert(key.to_owned(), ends.line(value.span().start));
    match value.get_ref() {
        DeValue::String(text) => text.to_string().into(),
        DeValue::Boolean(yes) => (*yes).into(),
        DeValue::Integer(number) => match i64::from_str_radix(number.as_str(), number.radix()) {
            Ok(number) => number.into(),
            Err(e) => {
                wrong.push(Fault::new(key, format!("{}: {e}", number.as_str())));
                Value::Null
            }
        },
        DeValue::Float(number) => {
            match number.as_str().parse::<f64>().ok().and_then(serde_json::Number::from_f64) {
                Some(number) => Value::Number(number),
                None => {
                    wrong.push(Fault::new(key, format!("got {}, wanted a finite number", number.as_str())));
                    Value::Null
                }
            }
        }
        DeValue::Datetime(time) => time.to_string().into(),
        DeValue::Array(all) => {
            let item = |(place, value)| value_of(&format!("{key}[{place}]"), value, ends, lines, wrong);
            all.iter().enumerate().map(item).collect::<Vec<_>>().into()
        }
        DeValue::Table(table) => table_of(key, table, ends, lines, wrong),
    }
}

// ---- Layers -----------------------------------------------------------------------------------------------

struct FileLayer<'a>(&'a Document);

impl Provider for FileLayer<'_> {
    fn metadata(&self) -> Metadata {
        Metadata::from("file", self.0.path.as_path())
    }

    fn data(&self) -> figment::Result<Map<Profile, Dict>> {
        Serialized::defaults(&self.0.value).data()
    }
}

/// A file with what comes over it.
struct Layers {
    document: Document,
    figment: Figment,
    value: Value,
}

impl Layers {
    fn new(document: Document, set: &[(String, String)]) -> Result<Self, Mistake> {
        let mut figment = Figment::from(FileLayer(&document));
        figment = figment.merge(Env::prefixed(PREFIX).split("__"));
        for (key, text) in set {
            // What is no number, list or the like stands for itself.
            let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.clone()));
            figment = figment.merge(Serialized::default(key, value));
        }
        let value = figment.extract::<Value>().map_err(|e| misplaced(document.path.display(), e))?;
        Ok(Layers { document, figment, value })
    }

    /// The form, of layers without a mistake.
    fn form(&self) -> Result<Form, String> {
        let mistakes = self.mistakes();
        if !mistakes.is_empty() {
            return Err(lines(mistakes));
        }
        guide::form(self.value.clone()).map_err(|e| format!("{}: {e}", self.document.path.display()))
    }

    fn mistakes(&self) -> Vec<Mistake> {
        let faults = check::examine(&self.value, Kind::Form);
        faults.into_iter().map(|fault| Mistake { place: self.place(fault.path()), fault }).collect()
    }

    /// Where a key's value stands, or the table in which it should.
    fn place(&self, key: &str) -> String {
        self.origin(key).unwrap_or_else(|| self.document.place(key))
    }

    /// The layer that gives a key its value, if one does.
    fn origin(&self, key: &str) -> Option<String> {
        // Lists come whole from one layer.
        let whole = key.split('[').next().unwrap_or_default();
        let layer = self.figment.find_metadata(whole)?;
        Some(match &*layer.name {
            "file" => self.document.place(key),
            name if name.contains("environment") => {
                format!("environment {PREFIX}{}", whole.to_uppercase().replace('.', "__"))
            }
            _ => "flag --set".to_owned(),
        })
    }
}
