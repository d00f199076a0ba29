//! Times and sizes that are written with their units, and addresses in the schema.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::time::Duration;

/// A time in ms, written like `250ms` or `1m 30s`. Platform files use plain numbers instead.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Millis(pub f64);

impl Serialize for Millis {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let time = Duration::try_from_secs_f64(self.0 / 1000.0).map_err(serde::ser::Error::custom)?;
        to.serialize_str(&humantime::format_duration(time).to_string())
    }
}

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(from)?;
        let time = humantime::parse_duration(&text).map_err(D::Error::custom)?;
        // Converts from whole nanoseconds, so that 250ms is exactly 250.0.
        Ok(Millis(time.as_nanos() as f64 / 1e6))
    }
}

impl JsonSchema for Millis {
    fn schema_name() -> Cow<'static, str> {
        "Time".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "title": "a time with its unit, like 250ms, 2s or 1m 30s",
            "examples": ["1s"],
            "type": "string",
            "pattern": r"^\s*([0-9]+\s*(ns|us|ms|s|m|h|d)\s*)+$",
        })
    }
}

/// A size in bytes, written like `192 MiB`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Bytes(pub u64);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&bytesize::ByteSize(self.0).display().iec().to_string())
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(from)?;
        text.parse::<bytesize::ByteSize>().map(|size| Bytes(size.0)).map_err(D::Error::custom)
    }
}

impl JsonSchema for Bytes {
    fn schema_name() -> Cow<'static, str> {
        "Size".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "title": "a size with its unit, like 64 KiB or 192 MiB",
            "examples": ["64 MiB"],
            "type": "string",
            "pattern": r"^\s*[0-9]+(\.[0-9]+)?\s*(B|KB|MB|GB|KiB|MiB|GiB)\s*$",
        })
    }
}

/// Schema of an IP address with a port.
pub struct Address;

/// Schema of an IPv4 address with a port.
pub struct AddressV4;

impl JsonSchema for Address {
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "title": "an address and its port, like 10.0.0.4:9000",
            "examples": ["127.0.0.1:0"],
            "type": "string",
            "pattern": r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.%]+\]):[0-9]{1,5}$",
        })
    }
}

impl JsonSchema for AddressV4 {
    fn schema_name() -> Cow<'static, str> {
        "AddressV4".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "title": "an IPv4 address and its port, like 10.0.0.4:7946",
            "examples": ["127.0.0.1:0"],
            "type": "string",
            "pattern": r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$",
        })
    }
}
