//! `syc explain`: where a job is, and why.

use futures_util::future::join_all;
use syc_api::ExplainBody;

use crate::arguments::Options;
use crate::client;
use crate::commands::control;
use crate::commands::job_id;
use crate::commands::result::task_table;
use crate::failure::Failure;
use crate::output::Output;

/// Explains a job.
pub async fn run(job: &str, options: &Options) -> Result<Output, Failure> {
    let id = job_id(job)?;
    let path = format!("/v1/jobs/{id}/explain");
    let daemons = control(options)?;
    let body: ExplainBody = daemons.get(&path).await?;
    let home = body.home.as_ref().map_or("nobody", |home| home.as_str());
    let team = body.state["spec"]["team"].as_str().unwrap_or_default();
    let mut lines = vec![format!("job {id} of team {team}, home {home}")];
    lines.extend(body.reasons.iter().cloned());
    let ask = |address| client::get_one::<ExplainBody>(address, &path);
    let answers = join_all(daemons.addresses.iter().map(|address| ask(address))).await;
    for answer in answers.iter().flatten() {
        for reason in &answer.workers {
            lines.push(format!("workers of {}: {reason}", answer.member));
        }
    }
    lines.push(task_table(&body.state));
    let bodies: Vec<_> = answers.into_iter().flatten().collect();
    Ok(Output::new(lines.join("\n"), &bodies))
}
