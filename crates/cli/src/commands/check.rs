//! `syc check`: all findings of a file, without sending anything.

use serde_json::Value;
use serde_json::json;
use syc_config::parse_document;
use syc_config::parse_job;

use crate::commands::read_file;
use crate::failure::Failure;
use crate::output::Output;

/// Kinds of job; a file with one of them is no document.
const JOB_KINDS: [&str; 3] = ["batch", "gang", "service"];

/// Checks a document or a job.
pub fn run(path: &str) -> Result<Output, Failure> {
    let text = read_file(path)?;
    let what = if is_job(&text) {
        let spec = parse_job(path, &text)?;
        format!("job {}", spec.name)
    } else {
        parse_document(path, &text)?.scope().to_string()
    };
    let value = json!({"file": path, "what": what, "findings": []});
    Ok(Output::new(format!("{what}: no findings"), &value))
}

fn is_job(text: &str) -> bool {
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return false;
    };
    let kind = value.get("kind").and_then(Value::as_str);
    match kind {
        Some(kind) => JOB_KINDS.contains(&kind),
        None => value.get("team").is_some(),
    }
}
