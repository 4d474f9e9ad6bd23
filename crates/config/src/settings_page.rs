//! The page of all settings, made from their schema and their defaults.

use serde_json::Value;

use crate::Settings;
use crate::schema;

const HEAD: &str = "\
# Settings

Every field of a daemon's settings, with its default. This page is made from the code by
`cargo run -p syc-config --example schema -- docs/schema docs/SETTINGS.md`, and a test holds them
together. The schema is [schema/settings.json](schema/settings.json).

| field | type | default | what it says |
| --- | --- | --- | --- |
";

/// Returns the page `docs/SETTINGS.md`.
#[must_use]
pub fn settings_page() -> String {
    let schema = schema::settings();
    let defaults = serde_json::to_value(Settings::default()).unwrap_or_default();
    let mut page = HEAD.to_owned();
    add_rows(&schema, &schema, &defaults, "", &mut page);
    page
}

fn add_rows(root: &Value, object: &Value, defaults: &Value, prefix: &str, page: &mut String) {
    let properties = object["properties"].as_object();
    for (name, field) in properties.into_iter().flatten() {
        let path = format!("{prefix}{name}");
        let target = resolve(root, field);
        let default = &defaults[name.as_str()];
        if target["properties"].is_object() {
            add_rows(root, target, default, &format!("{path}."), page);
            continue;
        }
        let text = field["description"].as_str().unwrap_or_default();
        let text = text.replace('\n', " ");
        let (kind, default) = (kind_of(target), default_of(default));
        page.push_str(
            &[
                "| `", &path, "` | ", kind, " | ", &default, " | ", &text, " |\n",
            ]
            .concat(),
        );
        if target["items"].is_object() {
            let item = resolve(root, &target["items"]);
            add_rows(root, item, &Value::Null, &format!("{path}[]."), page);
        }
    }
}

fn resolve<'s>(root: &'s Value, schema: &'s Value) -> &'s Value {
    let Some(reference) = schema["$ref"].as_str() else {
        return schema;
    };
    let pointer = reference.trim_start_matches('#');
    root.pointer(pointer).unwrap_or(schema)
}

fn kind_of(schema: &Value) -> &str {
    if schema["oneOf"].is_array() || schema["enum"].is_array() {
        return "name";
    }
    schema["type"].as_str().unwrap_or("any")
}

fn default_of(default: &Value) -> String {
    match default {
        Value::Null => String::new(),
        Value::String(text) if text.is_empty() => "empty".to_owned(),
        Value::Array(list) if list.is_empty() => "empty".to_owned(),
        other => format!("`{other}`"),
    }
}
