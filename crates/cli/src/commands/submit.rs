//! `syc submit`: a job from a file.

use syc_api::SubmitAnswer;
use syc_api::SubmitBody;
use syc_config::parse_job;
use syc_types::JobId;
use uuid::Uuid;

use crate::arguments::Options;
use crate::commands::callers;
use crate::commands::read_file;
use crate::commands::result;
use crate::failure::Failure;
use crate::output::Output;

/// Checks and submits a job; with `--wait`, shows its results.
pub async fn run(path: &str, options: &Options) -> Result<Output, Failure> {
    let text = read_file(path)?;
    let spec = parse_job(path, &text)?;
    let body = SubmitBody {
        job_id: Some(JobId(Uuid::now_v7())),
        spec,
    };
    let answer: SubmitAnswer = callers(options)?.post("/v1/jobs", &body).await?;
    let id = answer.job_id.to_string();
    if options.wait {
        return result::run(&id, options).await;
    }
    Ok(Output::new(id, &answer))
}
