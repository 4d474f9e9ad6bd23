//! Reads the command line.

use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use syc_types::Revision;

use crate::help;

/// Environment variable with the control token.
const TOKEN_VARIABLE: &str = "SYC_CONTROL_TOKEN";

/// Environment variable with the addresses for operators.
const CONTROL_VARIABLE: &str = "SYC_CONTROL";

/// Environment variable with the addresses for callers.
const CALLERS_VARIABLE: &str = "SYC_CALLERS";

/// Time that a command takes at most unless `--timeout` says another.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What is to be done.
#[derive(Debug)]
pub enum Invocation {
    /// Print this text.
    Print(String),
    /// Run a command.
    Run(Command, Options),
}

/// A command with its operand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the audit trail.
    Audit,
    /// Cancel a job.
    Cancel(String),
    /// Check a document or a job.
    Check(String),
    /// Show the documents in force.
    Config,
    /// Compare a document with the one in force.
    Diff(String),
    /// Stop a daemon as planned.
    Drain,
    /// Say why a job is where it is.
    Explain(String),
    /// Show the changes of a scope.
    History(String),
    /// Make an inventory from a register.
    Import(String),
    /// Publish a document.
    Publish(String),
    /// Show a job and its results.
    Result(String),
    /// Show the daemons.
    Status,
    /// Tell what the logs say of a job or request.
    Story(String),
    /// Submit a job.
    Submit(String),
}

/// Where to send a command, and what it needs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The daemons' addresses for operators, tried in turn.
    pub control: Vec<String>,
    /// The daemons' addresses for callers, tried in turn.
    pub callers: Vec<String>,
    /// The control token.
    pub token: Option<String>,
    /// Who acts.
    pub author: String,
    /// Revision that a document replaces; the one in force where missing.
    pub base: Option<Revision>,
    /// Name of the part of the register that an import makes.
    pub part: String,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to wait for the end.
    pub wait: bool,
    /// Longest time to wait.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            callers: Vec::new(),
            token: None,
            author: String::new(),
            base: None,
            part: "register".to_owned(),
            json: false,
            wait: false,
            timeout: TIMEOUT,
        }
    }
}

impl Options {
    fn from_environment() -> Self {
        let variable = |name| std::env::var(name).ok();
        Self {
            control: addresses(&variable(CONTROL_VARIABLE).unwrap_or_default()),
            callers: addresses(&variable(CALLERS_VARIABLE).unwrap_or_default()),
            token: variable(TOKEN_VARIABLE),
            author: variable("USER").unwrap_or_default(),
            ..Self::default()
        }
    }
}

fn addresses(text: &str) -> Vec<String> {
    let parts = text.split(',').map(str::trim);
    let named = parts.filter(|part| !part.is_empty());
    named.map(str::to_owned).collect()
}

/// Reads the command line of this process.
pub fn parse() -> Result<Invocation, lexopt::Error> {
    let mut options = Options::from_environment();
    let mut words = Vec::new();
    let mut help = false;
    let (mut control, mut callers) = (Vec::new(), Vec::new());
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("control") => control.extend(addresses(&parser.value()?.string()?)),
            Arg::Long("callers") => callers.extend(addresses(&parser.value()?.string()?)),
            Arg::Long("token") => options.token = Some(parser.value()?.string()?),
            Arg::Long("author") => options.author = parser.value()?.string()?,
            Arg::Long("base") => options.base = Some(Revision(parser.value()?.parse()?)),
            Arg::Long("part") => options.part = parser.value()?.string()?,
            Arg::Long("json") => options.json = true,
            Arg::Long("wait") => options.wait = true,
            Arg::Long("timeout") => options.timeout = timeout(&mut parser)?,
            Arg::Long("help") | Arg::Short('h') => help = true,
            Arg::Long("version") => return Ok(Invocation::Print(help::version())),
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    if !control.is_empty() {
        options.control = control;
    }
    if !callers.is_empty() {
        options.callers = callers;
    }
    invocation(&words, help, options)
}

fn timeout(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    let seconds = parser.value()?.parse()?;
    Ok(Duration::from_secs(seconds))
}

fn invocation(words: &[String], help: bool, options: Options) -> Result<Invocation, lexopt::Error> {
    let mut words = words.iter().map(String::as_str);
    let Some(mut name) = words.next() else {
        if help {
            return Ok(Invocation::Print(help::overview()));
        }
        return Err("a command is missing".into());
    };
    let mut asked = help;
    if name == "help" {
        let Some(topic) = words.next() else {
            return Ok(Invocation::Print(help::overview()));
        };
        (name, asked) = (topic, true);
    }
    let topic = help::topic(name).ok_or_else(|| unknown_command(name))?;
    if asked {
        return Ok(Invocation::Print(topic.to_text()));
    }
    let operand = words.next().map(str::to_owned);
    if let Some(more) = words.next() {
        return Err(format!("`{more}` is one operand too many").into());
    }
    let command = command(name, operand)?;
    Ok(Invocation::Run(command, options))
}

fn command(name: &str, operand: Option<String>) -> Result<Command, lexopt::Error> {
    let without = match name {
        "audit" => Some(Command::Audit),
        "config" => Some(Command::Config),
        "drain" => Some(Command::Drain),
        "status" => Some(Command::Status),
        _ => None,
    };
    if let Some(command) = without {
        return match operand {
            None => Ok(command),
            Some(operand) => Err(format!("`{operand}` is one operand too many").into()),
        };
    }
    let operand = operand.ok_or_else(|| format!("`{name}` needs an operand"))?;
    match name {
        "cancel" => Ok(Command::Cancel(operand)),
        "check" => Ok(Command::Check(operand)),
        "diff" => Ok(Command::Diff(operand)),
        "explain" => Ok(Command::Explain(operand)),
        "history" => Ok(Command::History(operand)),
        "import" => Ok(Command::Import(operand)),
        "publish" => Ok(Command::Publish(operand)),
        "result" => Ok(Command::Result(operand)),
        "story" => Ok(Command::Story(operand)),
        "submit" => Ok(Command::Submit(operand)),
        _ => Err(unknown_command(name)),
    }
}

fn unknown_command(name: &str) -> lexopt::Error {
    format!("unknown command `{name}`").into()
}
