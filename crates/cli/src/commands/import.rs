//! `syc import`: an inventory from a register in CSV.

use serde_json::Value;
use serde_json::json;
use syc_config::DOCUMENT_VERSION;
use syc_config::import_register;

use crate::arguments::Options;
use crate::commands::read_file;
use crate::failure::Failure;
use crate::output::Output;

/// Makes an inventory; it is printed, and nothing is sent.
pub fn run(path: &str, options: &Options) -> Result<Output, Failure> {
    let text = read_file(path)?;
    let inventory = import_register(path, &text, &options.part)?;
    let mut document = json!({"kind": "inventory", "version": DOCUMENT_VERSION});
    if let (Value::Object(document), Ok(Value::Object(fields))) =
        (&mut document, serde_json::to_value(&inventory))
    {
        document.extend(fields);
    }
    Ok(Output::new(format!("{document:#}"), &document))
}
