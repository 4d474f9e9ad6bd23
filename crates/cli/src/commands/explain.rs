//! `syc explain`: where a job is, and why.

use syc_api::ExplainBody;

use crate::arguments::Options;
use crate::commands::control;
use crate::commands::job_id;
use crate::commands::result::task_table;
use crate::failure::Failure;
use crate::output::Output;

/// Explains a job.
pub async fn run(job: &str, options: &Options) -> Result<Output, Failure> {
    let id = job_id(job)?;
    let path = format!("/v1/jobs/{id}/explain");
    let body: ExplainBody = control(options)?.get(&path).await?;
    let home = body.home.as_ref().map_or("nobody", |home| home.as_str());
    let team = body.state["spec"]["team"].as_str().unwrap_or_default();
    let mut lines = vec![format!("job {id} of team {team}, home {home}")];
    lines.extend(body.reasons.iter().cloned());
    lines.push(task_table(&body.state));
    Ok(Output::new(lines.join("\n"), &body))
}
