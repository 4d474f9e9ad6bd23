//! `syc audit` and `syc history`: who changed what.

use miette::miette;
use syc_api::AuditEntryBody;

use crate::arguments::Options;
use crate::commands::control;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::output::table;
use crate::output::time;

/// Shows the whole trail.
pub async fn run(options: &Options) -> Result<Output, Failure> {
    show("/v1/audit", options).await
}

/// Shows the changes of one scope.
pub async fn run_history(scope: &str, options: &Options) -> Result<Output, Failure> {
    let named = scope
        .split_once('/')
        .is_some_and(|(_, name)| !name.is_empty());
    if !named || scope.contains(['&', '?', '#', ' ']) {
        let help = "a scope is KIND/NAME, such as team/freight; `syc config` lists them";
        let report = miette!(help = help, "`{scope}` is no scope");
        return Err(Failure::new(Exit::Usage, report));
    }
    show(&format!("/v1/history?scope={scope}"), options).await
}

async fn show(path: &str, options: &Options) -> Result<Output, Failure> {
    let entries: Vec<AuditEntryBody> = control(options)?.get(path).await?;
    if entries.is_empty() {
        return Ok(Output::new("no changes".to_owned(), &entries));
    }
    let rows = entries.iter().map(row);
    let header = ["TIME", "WHO", "WHAT", "TARGET", "REVISION", "VERDICT"];
    Ok(Output::new(table(&header, rows), &entries))
}

fn row(entry: &AuditEntryBody) -> [String; 6] {
    let revision = if entry.action != "publish" {
        String::new()
    } else if entry.accepted {
        format!("{} -> {}", entry.from.0, entry.to.0)
    } else {
        entry.to.0.to_string()
    };
    let verdict = if entry.accepted {
        "accepted".to_owned()
    } else {
        format!("refused: {}", entry.reason)
    };
    [
        time(entry.at_ms),
        entry.actor.to_string(),
        entry.action.to_string(),
        entry.target.to_string(),
        revision,
        verdict,
    ]
}
