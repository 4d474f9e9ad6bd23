//! The tool's commands, one module each.

mod audit;
mod cancel;
mod check;
mod config;
mod diff;
mod drain;
mod explain;
mod import;
mod publish;
mod result;
mod status;
mod story;
mod submit;

use miette::miette;
use syc_config::Document;
use syc_config::parse_document;
use uuid::Uuid;

use crate::arguments::Command;
use crate::arguments::Options;
use crate::client::Daemons;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;

/// Runs a command and returns what it prints.
pub async fn run(command: &Command, options: &Options) -> Result<Output, Failure> {
    match command {
        Command::Audit => audit::run(options).await,
        Command::Cancel(job) => cancel::run(job, options).await,
        Command::Check(path) => check::run(path),
        Command::Config => config::run(options).await,
        Command::Diff(path) => diff::run(path, options).await,
        Command::Drain => drain::run(options).await,
        Command::Explain(job) => explain::run(job, options).await,
        Command::History(scope) => audit::run_history(scope, options).await,
        Command::Import(path) => import::run(path, options),
        Command::Publish(path) => publish::run(path, options).await,
        Command::Result(job) => result::run(job, options).await,
        Command::Status => status::run(options).await,
        Command::Story(id) => story::run(id),
        Command::Submit(path) => submit::run(path, options).await,
    }
}

/// Returns the daemons by their addresses for operators.
fn control(options: &Options) -> Result<Daemons<'_>, Failure> {
    daemons(&options.control, "--control", options)
}

/// Returns the daemons by their addresses for callers.
fn callers(options: &Options) -> Result<Daemons<'_>, Failure> {
    let daemons = daemons(&options.callers, "--callers", options)?;
    // The token is none of the callers' port's business.
    Ok(Daemons {
        token: None,
        ..daemons
    })
}

fn daemons<'o>(
    addresses: &'o [String],
    option: &str,
    options: &'o Options,
) -> Result<Daemons<'o>, Failure> {
    if addresses.is_empty() {
        let help = format!("give a daemon's address with {option} IP:PORT");
        let report = miette!(help = help, "{option} is missing");
        return Err(Failure::new(Exit::Usage, report));
    }
    Ok(Daemons {
        addresses,
        token: options.token.as_deref(),
        timeout: options.timeout,
    })
}

fn read_file(path: &str) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| {
        let report = miette!(help = "is the path right?", "can't read {path}: {error}");
        Failure::new(Exit::Findings, report)
    })
}

fn read_document(path: &str) -> Result<Document, Failure> {
    let text = read_file(path)?;
    Ok(parse_document(path, &text)?)
}

fn job_id(text: &str) -> Result<Uuid, Failure> {
    Uuid::parse_str(text).map_err(|error| {
        let help = "give the id that `syc submit` printed";
        let report = miette!(help = help, "`{text}` is no job id: {error}");
        Failure::new(Exit::Usage, report)
    })
}
