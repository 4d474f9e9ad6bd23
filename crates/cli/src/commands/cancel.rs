//! `syc cancel`: ends a job before its time.

use serde_json::Value;
use serde_json::json;

use crate::arguments::Options;
use crate::commands::callers;
use crate::commands::job_id;
use crate::failure::Failure;
use crate::output::Output;

/// Cancels a job.
pub async fn run(job: &str, options: &Options) -> Result<Output, Failure> {
    let id = job_id(job)?;
    let path = format!("/v1/jobs/{id}/cancel");
    let _accepted: Value = callers(options)?.post(&path, &json!({})).await?;
    let value = json!({"job_id": id, "cancelled": true});
    Ok(Output::new(format!("cancelled {id}"), &value))
}
