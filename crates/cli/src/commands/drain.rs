//! `syc drain`: a planned stop of one daemon.

use std::time::Duration;
use std::time::Instant;

use miette::miette;
use syc_api::DrainAnswer;
use syc_api::DrainBody;
use syc_api::StatusBody;

use crate::arguments::Options;
use crate::client;
use crate::commands::control;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::progress::Progress;

/// How often the daemon is looked at.
const CHECK: Duration = Duration::from_millis(200);

/// Stops one daemon as planned.
pub async fn run(options: &Options) -> Result<Output, Failure> {
    let daemons = control(options)?;
    let [address] = daemons.addresses else {
        let help = "give the --control address of the one daemon that is to stop";
        let report = miette!(help = help, "a drain is for exactly one daemon");
        return Err(Failure::new(Exit::Usage, report));
    };
    let body = DrainBody {
        actor: options.author.as_str().into(),
    };
    let answer: DrainAnswer = daemons.post("/v1/drain", &body).await?;
    let member = &answer.member;
    let mut text = format!("{member} stops");
    if options.wait {
        wait_gone(address, options).await?;
        text = format!("{member} has stopped");
    }
    if !answer.audited {
        text.push_str("; the log is out, so the audit trail does not have it");
    }
    Ok(Output::new(text, &answer))
}

async fn wait_gone(address: &str, options: &Options) -> Result<(), Failure> {
    let until = Instant::now() + options.timeout;
    let mut progress = Progress::new();
    while let Some(status) = client::get_one::<StatusBody>(address, "/v1/status").await {
        let left = status.requests_in_progress;
        progress.show(&format!("{left} request(s) in progress"));
        if Instant::now() >= until {
            let help = "it goes on stopping; look with `syc status`";
            let report = miette!(help = help, "{address} has not stopped yet");
            return Err(Failure::new(Exit::Unknown, report));
        }
        actix_rt::time::sleep(CHECK).await;
    }
    Ok(())
}
