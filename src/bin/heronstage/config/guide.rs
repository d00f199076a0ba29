//! What the typed structure says of its keys: the schema, the example and the page for people, and what is wanted
//! where something is wrong.

use super::form::Form;
use super::{check, platform, Fault};
use schemars::generate::SchemaSettings;
use serde_json::{Map, Value};
use std::fmt::Write;

/// Keys farther from a known one than this are not taken for it.
const NEAR: f64 = 0.7;

/// The two kinds of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// For people.
    Form,
    /// The platform's own.
    Platform,
}

impl Kind {
    /// What is wrong with a value whose keys are all of their types.
    pub fn faults(self, value: Value) -> Result<Vec<Fault>, serde_path_to_error::Error<serde_json::Error>> {
        match self {
            Kind::Form => Ok(check::faults(&form(value)?, true)),
            Kind::Platform => platform::faults(value),
        }
    }
}

/// The typed structure, of a value.
pub fn form(value: Value) -> Result<Form, serde_path_to_error::Error<serde_json::Error>> {
    serde_path_to_error::deserialize(value)
}

/// The JSON Schema of files for people.
pub fn schema() -> Value {
    schema_of(Kind::Form)
}

pub fn schema_of(kind: Kind) -> Value {
    let generator = SchemaSettings::draft2020_12().into_generator();
    let mut schema: Value = match kind {
        Kind::Form => generator.into_root_schema_for::<Form>().into(),
        Kind::Platform => generator.into_root_schema_for::<platform::File>().into(),
    };
    if kind == Kind::Form {
        // Files for people have no null: a key is there or it is not.
        without_null(&mut schema);
    }
    schema
}

fn without_null(schema: &mut Value) {
    match schema {
        Value::Object(map) => {
            if let Some(Value::Array(any)) = map.get_mut("anyOf") {
                any.retain(|one| one["type"] != "null");
                if let [Value::Object(only)] = any.as_mut_slice() {
                    let only = std::mem::take(only);
                    map.remove("anyOf");
                    map.extend(only);
                }
            }
            if let Some(Value::Array(types)) = map.get_mut("type") {
                types.retain(|one| one != "null");
                if let [only] = types.as_slice() {
                    let only = only.clone();
                    map.insert("type".to_owned(), only);
                }
            }
            map.values_mut().for_each(without_null);
        }
        Value::Array(all) => all.iter_mut().for_each(without_null),
        _ => {}
    }
}

/// The parts of a key: names and places in lists.
fn parts(path: &str) -> Vec<String> {
    path.replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Follows references and takes the branch of an optional key that says something.
fn follow<'a>(root: &'a Value, mut schema: &'a Value) -> &'a Value {
    loop {
        let refers = schema["$ref"].as_str().and_then(|to| root.pointer(to.strip_prefix('#')?));
        let branch = schema["anyOf"].as_array().and_then(|any| any.iter().find(|one| one["type"] != "null"));
        match refers.or(branch) {
            Some(next) => schema = next,
            None => return schema,
        }
    }
}

/// The schema of a key, if there is one.
fn at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    let mut schema = follow(root, root);
    for part in parts(path) {
        let next = match &schema["properties"][&part] {
            Value::Null if schema["items"].is_object() => &schema["items"],
            Value::Null if schema["additionalProperties"].is_object() => &schema["additionalProperties"],
            Value::Null => return None,
            next => next,
        };
        schema = follow(root, next);
    }
    Some(schema)
}

/// What is wanted of a key, in words.
pub fn wanted(root: &Value, path: &str) -> String {
    at(root, path).map_or_else(|| "something else".to_owned(), |schema| words(root, schema))
}

fn words(root: &Value, schema: &Value) -> String {
    let schema = follow(root, schema);
    if let Some(options) = schema["enum"].as_array() {
        let options: Vec<_> = options.iter().filter_map(Value::as_str).collect();
        return format!("one of {}", options.join(", "));
    }
    let kind = schema["type"].as_str().or_else(|| schema["type"][0].as_str()).unwrap_or("");
    if kind == "string" {
        if let Some(title) = schema["title"].as_str() {
            return title.to_owned();
        }
    }
    let noun = match kind {
        "string" => match schema["pattern"].as_str() {
            Some(pattern) => return format!("text like {pattern}"),
            None => "text",
        },
        "integer" => "a whole number",
        "number" => "a number",
        "boolean" => "true or false",
        "array" => return format!("a list of {}", words(root, &schema["items"])),
        "object" => "a table",
        _ => "something else",
    };
    match (schema["minimum"].as_f64(), schema["maximum"].as_f64()) {
        (Some(from), Some(to)) if to < f64::from(u32::MAX) => format!("{noun} from {from} to {to}"),
        (Some(from), _) => format!("{noun} of at least {from}"),
        _ => noun.to_owned(),
    }
}

/// The known key that is nearest to a name in a table.
pub fn nearest(root: &Value, table: &str, name: &str) -> Option<String> {
    let known = at(root, table)?["properties"].as_object()?;
    let near = known.keys().map(|key| (strsim::jaro_winkler(key, name), key));
    let (score, key) = near.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (score >= NEAR).then(|| key.clone())
}

/// Puts something that fits where something is wrong; what nobody knows is taken out.
pub fn mend(value: &mut Value, root: &Value, path: &str) {
    let mut parts = parts(path);
    let Some(last) = parts.pop() else { return };
    let mut table = value;
    for part in parts {
        let next = match part.parse::<usize>() {
            Ok(place) if table.is_array() => table.get_mut(place),
            _ => table.get_mut(&part),
        };
        let Some(next) = next else { return };
        table = next;
    }
    let fits = at(root, path).map(|schema| sample(root, schema));
    match (table, fits) {
        (Value::Object(table), Some(fits)) => drop(table.insert(last, fits)),
        (Value::Object(table), None) => drop(table.remove(&last)),
        (Value::Array(list), Some(fits)) => {
            if let Some(place) = last.parse::<usize>().ok().and_then(|place| list.get_mut(place)) {
                *place = fits;
            }
        }
        _ => {}
    }
}

/// Something that fits a schema.
fn sample(root: &Value, schema: &Value) -> Value {
    let schema = follow(root, schema);
    for given in [&schema["default"], &schema["examples"][0], &schema["enum"][0]] {
        if !given.is_null() {
            return given.clone();
        }
    }
    match schema["type"].as_str().or_else(|| schema["type"][0].as_str()).unwrap_or("") {
        "string" => "1".into(),
        "integer" => schema["minimum"].as_u64().unwrap_or(1).max(1).into(),
        "number" => 1.0.into(),
        "boolean" => false.into(),
        "array" if schema["minItems"].as_u64().unwrap_or(0) > 0 => {
            vec![sample(root, &schema["items"])].into()
        }
        "array" => Vec::<Value>::new().into(),
        "object" => {
            let required = schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str);
            let made = required.map(|key| (key.to_owned(), sample(root, &schema["properties"][key])));
            Value::Object(made.collect::<Map<_, _>>())
        }
        _ => Value::Null,
    }
}

/// One key as people read of it.
struct Key {
    /// With `[]` for the entries of a list.
    path: String,
    wanted: String,
    default: Option<Value>,
    required: bool,
    about: String,
    /// It holds keys itself.
    table: bool,
}

fn collect(root: &Value, schema: &Value, path: &str, keys: &mut Vec<Key>) {
    let required = schema["required"].as_array();
    for (name, key) in schema["properties"].as_object().into_iter().flatten() {
        let own = follow(root, key);
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let entries = follow(root, &own["items"]);
        let list = entries["properties"].is_object();
        let about = [key, own].into_iter().find_map(|s| s["description"].as_str()).unwrap_or_default();
        keys.push(Key {
            path: path.clone(),
            wanted: words(root, own),
            default: Some(key["default"].clone()).filter(|default| !default.is_null()),
            required: required.is_some_and(|all| all.iter().any(|one| one == name)),
            about: about.replace('\n', " "),
            table: own["properties"].is_object() || list,
        });
        if list {
            collect(root, entries, &format!("{path}[]"), keys);
        } else {
            collect(root, own, &path, keys);
        }
    }
}

fn all() -> Vec<Key> {
    let root = schema();
    let mut keys = Vec::new();
    collect(&root, &root, "", &mut keys);
    keys
}

/// All keys as a table in Markdown.
pub fn keys() -> String {
    let mut text = String::from("| key | wanted | by default | about |\n| --- | --- | --- | --- |\n");
    for key in all() {
        let wanted = if key.table { "" } else { &key.wanted };
        let default = match &key.default {
            _ if key.required => "needed".to_owned(),
            Some(default) if !key.table => format!("`{}`", inline(default)),
            _ => String::new(),
        };
        // A String takes every write.
        let _ = writeln!(text, "| `{}` | {wanted} | {default} | {} |", key.path, key.about);
    }
    text
}

/// A value as it stands in a line of TOML.
fn inline(value: &Value) -> String {
    match value {
        Value::Array(all) => format!("[{}]", all.iter().map(inline).collect::<Vec<_>>().join(", ")),
        Value::Object(map) if map.is_empty() => "{}".to_owned(),
        other => other.to_string(),
    }
}

/// Values of the example for keys that have no default.
const EXAMPLES: [(&str, &str); 25] = [
    ("seed", "\"8c1f30d27a5be964\""),
    ("listeners.clients", "\"127.0.0.1:9000\""),
    ("listeners.operators", "\"127.0.0.1:9100\""),
    ("discovery.address", "\"127.0.0.1:8500\""),
    ("counter.address", "\"127.0.0.1:6400\""),
    ("peers.listen", "\"127.0.0.1:9200\""),
    ("peers.addresses", "[\"127.0.0.1:9200\"]"),
    ("peers.broadcast", "\"127.0.0.1:9200\""),
    ("cluster.name", "\"granite\""),
    ("cluster.listen", "\"127.0.0.1:7946\""),
    ("cluster.advertise", "\"127.0.0.1:7946\""),
    ("cluster.member", "\"n0\""),
    ("cluster.timeout", "\"250ms\""),
    ("cluster.expected", "1"),
    ("classes[].name", "\"look\""),
    ("classes[].aim", "\"500ms\""),
    ("classes[].deadline", "\"2s\""),
    ("classes[].effect", "\"safe\""),
    ("plans[].name", "\"small\""),
    ("plans[].rate", "10.0"),
    ("plans[].burst", "20.0"),
    ("name", "\"n0\""),
    ("zone", "\"default\""),
    ("zones", "[\"default\"]"),
    ("kinds", "[\"default\"]"),
];
/// Tables that the example leaves out, as comments: a gateway does without them.
const OPTIONAL: [&str; 3] = ["counter", "peers", "cluster"];

/// A commented file that starts as it stands.
pub fn example() -> String {
    let mut text = String::from(
        "# The configuration of one gateway. Keys that stand as comments show what holds without them; tables that\n\
         # stand as comments are off. The page docs/configuration.md has all of it.\n\n",
    );
    for key in all() {
        let optional = OPTIONAL.iter().any(|table| key.path.split('.').next() == Some(table));
        let mark = if optional { "# " } else { "" };
        let given = EXAMPLES.iter().find(|(path, _)| *path == key.path).map(|(_, value)| (*value).to_owned());
        let last = key.path.rsplit('.').next().unwrap_or_default();
        // A String takes every write.
        let _ = match (&key.default, given) {
            _ if key.table => {
                let list = key.wanted.starts_with("a list");
                let (open, close) = if list { ("[[", "]]") } else { ("[", "]") };
                writeln!(text, "\n# {}\n{mark}{open}{}{close}", key.about, key.path)
            }
            (_, Some(value))
                if key.required
                    || key.path == "listeners.operators"
                    || !key.path.contains('.') && key.path != "seed" =>
            {
                writeln!(text, "# {}\n{mark}{last} = {value}", key.about)
            }
            (_, Some(value)) => writeln!(text, "# {}\n# {last} = {value}", key.about),
            (Some(default), None) => writeln!(text, "# {}\n# {last} = {}", key.about, inline(default)),
            (None, None) => writeln!(text, "# {}\n# {last} = ...", key.about),
        };
    }
    text
}
