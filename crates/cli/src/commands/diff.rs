//! `syc diff`: a document against the one in force.

use serde::Serialize;
use serde_json::json;
use similar::TextDiff;
use syc_api::ConfigEntry;
use syc_config::Document;

use crate::arguments::Options;
use crate::commands::config;
use crate::commands::control;
use crate::commands::read_document;
use crate::failure::Failure;
use crate::output::Output;

/// Compares a document with the one in force.
pub async fn run(path: &str, options: &Options) -> Result<Output, Failure> {
    let document = read_document(path)?;
    let scope = document.scope();
    let entries: Vec<ConfigEntry> = control(options)?.get(config::PATH).await?;
    let in_force = entries.into_iter().find(|entry| entry.scope == scope);
    let revision = in_force.as_ref().map_or(0, |entry| entry.revision.0);
    let before = in_force.map(|entry| lines(&entry.document));
    let before = before.unwrap_or_default();
    let after = lines(&document);
    let same = before == after;
    let text = if same {
        format!("{scope}: no difference to revision {revision}")
    } else {
        let diff = TextDiff::from_lines(&before, &after);
        let old = format!("{scope} revision {revision}");
        let unified = diff.unified_diff().header(&old, path).to_string();
        unified.trim_end().to_owned()
    };
    let value = json!({"scope": scope, "revision": revision, "same": same, "diff": text});
    Ok(Output::new(text, &value))
}

/// Writes a document with all its defaults, a field a line.
fn lines(document: &Document) -> String {
    let mut text = Vec::new();
    let mut writer = serde_json::Serializer::pretty(&mut text);
    // A document always has a JSON form.
    let _ = document.serialize(&mut writer);
    let mut text = String::from_utf8_lossy(&text).into_owned();
    text.push('\n');
    text
}
