//! The published JSON schemas, made from the types that read the texts.
//!
//! The same schemas check every text, so what is published under `docs/schema/` is what is
//! enforced.

use schemars::JsonSchema;
use schemars::generate::SchemaSettings;
use serde_json::Value;
use serde_json::json;
use syc_types::JobSpec;

use crate::Inventory;
use crate::Policy;
use crate::Rules;
use crate::Settings;
use crate::Team;

/// The version of the documents' format that is read.
pub const DOCUMENT_VERSION: u32 = 1;

/// A schema and the name of its file under `docs/schema/`.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedSchema {
    /// Name of what the schema describes.
    pub name: &'static str,
    /// The schema.
    pub schema: Value,
}

/// Returns every published schema, by name.
#[must_use]
pub fn schemas() -> Vec<NamedSchema> {
    vec![
        named("inventory", inventory()),
        named("job", job()),
        named("policy", policy()),
        named("rules", rules()),
        named("settings", settings()),
        named("team", team()),
    ]
}

fn named(name: &'static str, schema: Value) -> NamedSchema {
    NamedSchema { name, schema }
}

pub(crate) fn inventory() -> Value {
    document::<Inventory>("inventory")
}

pub(crate) fn job() -> Value {
    plain::<JobSpec>()
}

pub(crate) fn policy() -> Value {
    document::<Policy>("policy")
}

pub(crate) fn rules() -> Value {
    document::<Rules>("rules")
}

pub(crate) fn settings() -> Value {
    plain::<Settings>()
}

pub(crate) fn team() -> Value {
    document::<Team>("team")
}

fn plain<T>() -> Value
where
    T: JsonSchema,
{
    let generator = SchemaSettings::draft2020_12().into_generator();
    generator.into_root_schema_for::<T>().to_value()
}

/// Adds the fields that every document has: its kind and the version of its format.
fn document<T>(kind: &str) -> Value
where
    T: JsonSchema,
{
    let mut schema = plain::<T>();
    schema["properties"]["kind"] = json!({
        "description": "What the document is.",
        "const": kind,
    });
    schema["properties"]["version"] = json!({
        "description": "Version of the document's format.",
        "const": DOCUMENT_VERSION,
        "default": DOCUMENT_VERSION,
    });
    if let Some(required) = schema["required"].as_array_mut() {
        required.insert(0, "kind".into());
    } else {
        schema["required"] = json!(["kind"]);
    }
    schema
}
