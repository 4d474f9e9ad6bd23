//! `syc config`: the documents in force.

use syc_api::ConfigEntry;

use crate::arguments::Options;
use crate::commands::control;
use crate::failure::Failure;
use crate::output::Output;
use crate::output::table;

/// Path of the documents in force.
pub const PATH: &str = "/v1/config";

/// Shows the documents in force.
pub async fn run(options: &Options) -> Result<Output, Failure> {
    let entries: Vec<ConfigEntry> = control(options)?.get(PATH).await?;
    if entries.is_empty() {
        return Ok(Output::new("no documents".to_owned(), &entries));
    }
    let rows = entries.iter().map(|entry| {
        [
            entry.scope.to_string(),
            entry.revision.0.to_string(),
            entry.author.to_string(),
        ]
    });
    let text = table(&["SCOPE", "REVISION", "AUTHOR"], rows);
    Ok(Output::new(text, &entries))
}
