//! The tool's commands.

use std::fmt;

use miette::Report;
use miette::miette;
use syc_api::PublishBody;
use syc_api::SubmitBody;
use syc_config::Document;
use syc_config::parse_document;
use syc_types::JobSpec;
use syc_types::Revision;
use uuid::Uuid;

use crate::Options;
use crate::client;

/// Exit code of something that was refused or failed.
pub const EXIT_REFUSED: u8 = 1;

/// Exit code of findings in a file.
pub const EXIT_FINDINGS: u8 = 3;

/// Exit code of an outcome that is not known.
pub const EXIT_UNKNOWN: u8 = 4;

/// Exit code of a publication that came second.
pub const EXIT_CONFLICT: u8 = 5;

/// What the operator wants done.
#[derive(Debug)]
pub enum Command {
    /// Check a document.
    Check(String),
    /// Publish a document.
    Publish(String),
    /// Show the documents in force.
    Config,
    /// Show a daemon's state.
    Status,
    /// Submit a job.
    Submit(String),
    /// Show a job.
    Result(String),
}

impl Command {
    /// Reads the command from the words of the command line.
    pub fn from_words(words: &[String]) -> Result<Self, lexopt::Error> {
        let mut words = words.iter().map(String::as_str);
        let name = words.next().unwrap_or_default();
        let mut operand = || {
            let word = words.next().map(str::to_owned);
            word.ok_or_else(|| lexopt::Error::from(format!("`{name}` needs an operand")))
        };
        match name {
            "check" => Ok(Self::Check(operand()?)),
            "publish" => Ok(Self::Publish(operand()?)),
            "config" => Ok(Self::Config),
            "status" => Ok(Self::Status),
            "submit" => Ok(Self::Submit(operand()?)),
            "result" => Ok(Self::Result(operand()?)),
            "" => Err(lexopt::Error::from("a command is missing")),
            other => Err(lexopt::Error::from(format!("unknown command `{other}`"))),
        }
    }
}

/// Why a command did not do what it should.
pub struct Failure {
    /// The exit code.
    pub exit: u8,
    /// What to tell the operator.
    pub report: Report,
}

impl Failure {
    /// Makes a failure.
    pub fn new(exit: u8, report: Report) -> Self {
        Self { exit, report }
    }
}

impl fmt::Debug for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.report.fmt(f)
    }
}

/// Runs a command and returns what it prints.
pub async fn run(command: Command, options: &Options) -> Result<String, Failure> {
    match command {
        Command::Check(path) => {
            let document = read_document(&path)?;
            Ok(format!("{}: no findings", document.scope()))
        }
        Command::Publish(path) => publish(&path, options).await,
        Command::Config => client::get(control(options)?, "/v1/config").await,
        Command::Status => client::get(control(options)?, "/v1/status").await,
        Command::Submit(path) => submit(&path, options).await,
        Command::Result(job) => {
            let path = format!("/v1/jobs/{job}");
            client::get(callers(options)?, &path).await
        }
    }
}

fn control(options: &Options) -> Result<&str, Failure> {
    let address = options.control.as_deref();
    address.ok_or_else(|| Failure::new(EXIT_REFUSED, miette!("--control is missing")))
}

fn callers(options: &Options) -> Result<&str, Failure> {
    let address = options.callers.as_deref();
    address.ok_or_else(|| Failure::new(EXIT_REFUSED, miette!("--callers is missing")))
}

fn read(path: &str) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| Failure::new(EXIT_FINDINGS, miette!("can't read {path}: {error}")))
}

fn read_document(path: &str) -> Result<Document, Failure> {
    let text = read(path)?;
    let parsed = parse_document(path, &text);
    parsed.map_err(|findings| Failure::new(EXIT_FINDINGS, Report::new(findings)))
}

async fn publish(path: &str, options: &Options) -> Result<String, Failure> {
    let body = PublishBody {
        id: Uuid::now_v7(),
        author: options.author.clone().unwrap_or_default().into(),
        base: Revision(options.base),
        document: read_document(path)?,
    };
    let token = options.token.as_deref();
    client::post(control(options)?, "/v1/config", token, &body).await
}

async fn submit(path: &str, options: &Options) -> Result<String, Failure> {
    let text = read(path)?;
    let spec = serde_json::from_str::<JobSpec>(&text);
    let spec = spec.map_err(|error| Failure::new(EXIT_FINDINGS, miette!("{path}: {error}")))?;
    let body = SubmitBody { job_id: None, spec };
    client::post(callers(options)?, "/v1/jobs", None, &body).await
}
