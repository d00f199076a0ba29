//! What is generated from the configuration types: the JSON schema, the example, the table of keys, and the
//! descriptions of valid values in error messages.

use super::form::NativeConfig;
use super::{check, platform, Violation};
use schemars::generate::SchemaSettings;
use serde_json::{Map, Value};
use std::fmt::Write;

/// Minimum Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_KEY_SIMILARITY: f64 = 0.7;

/// The formats of configuration files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// The gateway's own, in TOML or JSON.
    Native,
    /// The platform's, in JSON.
    Platform,
}

impl FileFormat {
    /// Parses a value that conforms to the format's schema, and checks it beyond the schema.
    pub fn check(
        self, value: Value,
    ) -> Result<Vec<Violation>, serde_path_to_error::Error<serde_json::Error>> {
        match self {
            FileFormat::Native => Ok(check::check_native(&parse_native(value)?, true)),
            FileFormat::Platform => platform::check_value(value),
        }
    }
}

/// Parses a value of the native format.
pub fn parse_native(value: Value) -> Result<NativeConfig, serde_path_to_error::Error<serde_json::Error>> {
    serde_path_to_error::deserialize(value)
}

/// The JSON Schema of the native format.
pub fn schema() -> Value {
    schema_for(FileFormat::Native)
}

/// The JSON Schema of a format.
pub fn schema_for(format: FileFormat) -> Value {
    let generator = SchemaSettings::draft2020_12().into_generator();
    let mut schema: Value = match format {
        FileFormat::Native => generator.into_root_schema_for::<NativeConfig>().into(),
        FileFormat::Platform => generator.into_root_schema_for::<platform::PlatformConfig>().into(),
    };
    if format == FileFormat::Native {
        // An optional key is left out, never null.
        remove_null(&mut schema);
    }
    schema
}

/// Removes null from the types of optional keys.
fn remove_null(schema: &mut Value) {
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
            map.values_mut().for_each(remove_null);
        }
        Value::Array(all) => all.iter_mut().for_each(remove_null),
        _ => {}
    }
}

/// Splits a key path into names and list indices.
fn split_path(path: &str) -> Vec<String> {
    path.replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Follows references, and of an optional key takes the branch that is not null.
fn resolve<'a>(root: &'a Value, mut schema: &'a Value) -> &'a Value {
    loop {
        let referenced = schema["$ref"].as_str().and_then(|to| root.pointer(to.strip_prefix('#')?));
        let branch = schema["anyOf"].as_array().and_then(|any| any.iter().find(|one| one["type"] != "null"));
        match referenced.or(branch) {
            Some(next) => schema = next,
            None => return schema,
        }
    }
}

/// The schema of a key; none if the key is unknown.
fn schema_at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    let mut schema = resolve(root, root);
    for part in split_path(path) {
        let next = match &schema["properties"][&part] {
            Value::Null if schema["items"].is_object() => &schema["items"],
            Value::Null if schema["additionalProperties"].is_object() => &schema["additionalProperties"],
            Value::Null => return None,
            next => next,
        };
        schema = resolve(root, next);
    }
    Some(schema)
}

/// Describes the valid values of a key.
pub fn describe_expected(root: &Value, path: &str) -> String {
    schema_at(root, path).map_or_else(|| "a different value".to_owned(), |schema| describe(root, schema))
}

/// Describes the values that a schema accepts.
fn describe(root: &Value, schema: &Value) -> String {
    let schema = resolve(root, schema);
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
            Some(pattern) => return format!("text that matches {pattern}"),
            None => "text",
        },
        "integer" => "a whole number",
        "number" => "a number",
        "boolean" => "true or false",
        "array" => return format!("a list of {}", describe(root, &schema["items"])),
        "object" => "a table",
        _ => "a different value",
    };
    match (schema["minimum"].as_f64(), schema["maximum"].as_f64()) {
        (Some(from), Some(to)) if to < f64::from(u32::MAX) => format!("{noun} from {from} to {to}"),
        (Some(from), _) => format!("{noun} of at least {from}"),
        _ => noun.to_owned(),
    }
}

/// The known key in a table that is most similar to a name.
pub fn nearest_key(root: &Value, table: &str, name: &str) -> Option<String> {
    let known = schema_at(root, table)?["properties"].as_object()?;
    let scored = known.keys().map(|key| (strsim::jaro_winkler(key, name), key));
    let (score, key) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (score >= MIN_KEY_SIMILARITY).then(|| key.clone())
}

/// Replaces the value of a key by a valid sample. An unknown key is removed.
pub fn replace_with_sample(value: &mut Value, root: &Value, path: &str) {
    let mut parts = split_path(path);
    let Some(last) = parts.pop() else { return };
    let mut table = value;
    for part in parts {
        let next = match part.parse::<usize>() {
            Ok(index) if table.is_array() => table.get_mut(index),
            _ => table.get_mut(&part),
        };
        let Some(next) = next else { return };
        table = next;
    }
    let valid = schema_at(root, path).map(|schema| make_sample(root, schema));
    match (table, valid) {
        (Value::Object(table), Some(valid)) => drop(table.insert(last, valid)),
        (Value::Object(table), None) => drop(table.remove(&last)),
        (Value::Array(list), Some(valid)) => {
            if let Some(item) = last.parse::<usize>().ok().and_then(|index| list.get_mut(index)) {
                *item = valid;
            }
        }
        _ => {}
    }
}

/// A value that a schema accepts: the default or the first example if there is one.
fn make_sample(root: &Value, schema: &Value) -> Value {
    let schema = resolve(root, schema);
    for candidate in [&schema["default"], &schema["examples"][0], &schema["enum"][0]] {
        if !candidate.is_null() {
            return candidate.clone();
        }
    }
    match schema["type"].as_str().or_else(|| schema["type"][0].as_str()).unwrap_or("") {
        "string" => "1".into(),
        "integer" => schema["minimum"].as_u64().unwrap_or(1).max(1).into(),
        "number" => 1.0.into(),
        "boolean" => false.into(),
        "array" if schema["minItems"].as_u64().unwrap_or(0) > 0 => {
            vec![make_sample(root, &schema["items"])].into()
        }
        "array" => Vec::<Value>::new().into(),
        "object" => {
            let required = schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str);
            let samples = required.map(|key| (key.to_owned(), make_sample(root, &schema["properties"][key])));
            Value::Object(samples.collect::<Map<_, _>>())
        }
        _ => Value::Null,
    }
}

/// Documentation of a key.
struct KeyDoc {
    /// With `[]` for the items of a list.
    path: String,
    expected: String,
    default: Option<Value>,
    required: bool,
    description: String,
    /// The value is a table, or a list of tables.
    is_table: bool,
}

/// Appends the documentation of a table's keys, and of those in the tables below it.
fn collect_keys(root: &Value, schema: &Value, path: &str, keys: &mut Vec<KeyDoc>) {
    let required = schema["required"].as_array();
    for (name, key) in schema["properties"].as_object().into_iter().flatten() {
        let resolved = resolve(root, key);
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let items = resolve(root, &resolved["items"]);
        let is_list = items["properties"].is_object();
        let description =
            [key, resolved].into_iter().find_map(|s| s["description"].as_str()).unwrap_or_default();
        keys.push(KeyDoc {
            path: path.clone(),
            expected: describe(root, resolved),
            default: Some(key["default"].clone()).filter(|default| !default.is_null()),
            required: required.is_some_and(|all| all.iter().any(|one| one == name)),
            description: description.replace('\n', " "),
            is_table: resolved["properties"].is_object() || is_list,
        });
        if is_list {
            collect_keys(root, items, &format!("{path}[]"), keys);
        } else {
            collect_keys(root, resolved, &path, keys);
        }
    }
}

fn all_keys() -> Vec<KeyDoc> {
    let root = schema();
    let mut keys = Vec::new();
    collect_keys(&root, &root, "", &mut keys);
    keys
}

/// The documentation of all keys, as a Markdown table.
pub fn keys() -> String {
    let mut text = String::from("| key | value | default | description |\n| --- | --- | --- | --- |\n");
    for key in all_keys() {
        let expected = if key.is_table { "" } else { &key.expected };
        let default = match &key.default {
            _ if key.required => "needed".to_owned(),
            Some(default) if !key.is_table => format!("`{}`", to_toml_line(default)),
            _ => String::new(),
        };
        // Writing to a String cannot fail.
        let _ = writeln!(text, "| `{}` | {expected} | {default} | {} |", key.path, key.description);
    }
    text
}

/// Formats a value for a line of TOML.
fn to_toml_line(value: &Value) -> String {
    match value {
        Value::Array(all) => format!("[{}]", all.iter().map(to_toml_line).collect::<Vec<_>>().join(", ")),
        Value::Object(map) if map.is_empty() => "{}".to_owned(),
        other => other.to_string(),
    }
}

/// Values that the example shows instead of defaults.
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
/// Optional tables, which the example has as comments.
const OPTIONAL_TABLES: [&str; 3] = ["counter", "peers", "cluster"];

/// A commented configuration that a gateway can start with unchanged.
pub fn example() -> String {
    let mut text = String::from(
        "# The configuration of one gateway. Commented keys show defaults or examples; commented tables are off.\n\
         # docs/configuration.md describes all keys.\n\n",
    );
    for key in all_keys() {
        let optional = OPTIONAL_TABLES.iter().any(|table| key.path.split('.').next() == Some(table));
        let comment = if optional { "# " } else { "" };
        let example =
            EXAMPLES.iter().find(|(path, _)| *path == key.path).map(|(_, value)| (*value).to_owned());
        let last = key.path.rsplit('.').next().unwrap_or_default();
        // Writing to a String cannot fail.
        let _ = match (&key.default, example) {
            _ if key.is_table => {
                let is_list = key.expected.starts_with("a list");
                let (open, close) = if is_list { ("[[", "]]") } else { ("[", "]") };
                writeln!(text, "\n# {}\n{comment}{open}{}{close}", key.description, key.path)
            }
            (_, Some(value))
                if key.required
                    || key.path == "listeners.operators"
                    || !key.path.contains('.') && key.path != "seed" =>
            {
                writeln!(text, "# {}\n{comment}{last} = {value}", key.description)
            }
            (_, Some(value)) => writeln!(text, "# {}\n# {last} = {value}", key.description),
            (Some(default), None) => {
                writeln!(text, "# {}\n# {last} = {}", key.description, to_toml_line(default))
            }
            (None, None) => writeln!(text, "# {}\n# {last} = ...", key.description),
        };
    }
    text
}
