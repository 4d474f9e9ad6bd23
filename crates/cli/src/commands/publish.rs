//! `syc publish`: a document over the revision that its author has seen.

use miette::miette;
use serde_json::json;
use syc_api::ConfigEntry;
use syc_api::PublishAnswer;
use syc_api::PublishBody;
use syc_config::Document;
use syc_config::effective_inventory;
use syc_config::unknown_names;
use syc_types::Revision;
use uuid::Uuid;

use crate::arguments::Options;
use crate::commands::config;
use crate::commands::control;
use crate::commands::read_document;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;

/// Checks and publishes a document.
pub async fn run(path: &str, options: &Options) -> Result<Output, Failure> {
    let document = read_document(path)?;
    let daemons = control(options)?;
    if daemons.token.is_none_or(str::is_empty) {
        let help = "give the daemons' control token with --token or SYC_CONTROL_TOKEN";
        let report = miette!(help = help, "the control token is missing");
        return Err(Failure::new(Exit::Usage, report));
    }
    let scope = document.scope();
    let in_force: Vec<ConfigEntry> = daemons.get(config::PATH).await?;
    let base = options.base.unwrap_or_else(|| revision(&in_force, &scope));
    let notes = notes(&document, &in_force);
    let body = PublishBody {
        id: Uuid::now_v7(),
        author: options.author.as_str().into(),
        base,
        document,
    };
    let answer: PublishAnswer = daemons.post(config::PATH, &body).await?;
    let (to, from) = (answer.revision.0, base.0);
    let text = format!("published {scope}: revision {to} is in force (was {from})");
    let value = json!({"scope": scope, "from": from, "to": to, "notes": notes});
    Ok(Output {
        notes,
        ..Output::new(text, &value)
    })
}

fn revision(in_force: &[ConfigEntry], scope: &str) -> Revision {
    let found = in_force.iter().find(|entry| entry.scope == scope);
    found.map_or(Revision(0), |entry| entry.revision)
}

/// Says which names of a set of rules are in no inventory; often they are misspelt.
fn notes(document: &Document, in_force: &[ConfigEntry]) -> Vec<String> {
    let Document::Rules(rules) = document else {
        return Vec::new();
    };
    let parts = in_force.iter().map(|entry| &entry.document);
    let parts = parts.filter(|document| matches!(document, Document::Inventory(_)));
    let unknown = unknown_names(rules, &effective_inventory(parts));
    let note = |name| format!("`{name}` is in no inventory that is in force");
    unknown.iter().map(note).collect()
}
