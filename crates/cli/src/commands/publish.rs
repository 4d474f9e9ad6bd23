//! `syc publish`: a document over the revision that its author has seen.

use miette::miette;
use serde_json::json;
use syc_api::ConfigEntry;
use syc_api::PublishAnswer;
use syc_api::PublishBody;
use syc_types::Revision;
use uuid::Uuid;

use crate::arguments::Options;
use crate::client::Daemons;
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
    let base = match options.base {
        Some(base) => base,
        None => revision_in_force(&daemons, &scope).await?,
    };
    let body = PublishBody {
        id: Uuid::now_v7(),
        author: options.author.as_str().into(),
        base,
        document,
    };
    let answer: PublishAnswer = daemons.post(config::PATH, &body).await?;
    let (to, from) = (answer.revision.0, base.0);
    let text = format!("published {scope}: revision {to} is in force (was {from})");
    let value = json!({"scope": scope, "from": from, "to": to});
    Ok(Output::new(text, &value))
}

async fn revision_in_force(daemons: &Daemons<'_>, scope: &str) -> Result<Revision, Failure> {
    let entries: Vec<ConfigEntry> = daemons.get(config::PATH).await?;
    let found = entries.iter().find(|entry| entry.scope == scope);
    Ok(found.map_or(Revision(0), |entry| entry.revision))
}
