//! `syc`: the operators' tool.

mod client;
mod commands;

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;
use mimalloc::MiMalloc;

use crate::commands::Command;
use crate::commands::Failure;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Usage: syc COMMAND [OPTIONS]

Commands:
  check FILE                  check a configuration document, send nothing
  publish FILE --base N       publish a document over revision N of its scope
  config                      show the documents in force
  status                      show a daemon's state
  submit FILE                 submit the job that the file declares
  result JOB                  show a job's state and results

Options:
  --control IP:PORT           a daemon's address for operators
  --callers IP:PORT           a daemon's address for callers
  --token TEXT                the control token (or SYC_CONTROL_TOKEN)
  --author NAME               who publishes (or USER)
  --base N                    revision that the document replaces; 0 for none
  --help                      show this text

Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 findings in a
file, 4 the outcome is unknown, 5 another publication came first.";

/// Exit code of a wrong command line.
const EXIT_USAGE: u8 = 2;

/// Where to send a command and what it needs.
#[derive(Debug, Default)]
pub struct Options {
    /// A daemon's address for operators.
    pub control: Option<String>,
    /// A daemon's address for callers.
    pub callers: Option<String>,
    /// The control token.
    pub token: Option<String>,
    /// Who publishes.
    pub author: Option<String>,
    /// Revision that a document replaces.
    pub base: u64,
}

fn main() -> ExitCode {
    let (command, options) = match parse() {
        Ok(Some(parsed)) => parsed,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}\n\n{HELP}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let done = actix_rt::System::new().block_on(commands::run(command, &options));
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(Failure { exit, report }) => {
            eprintln!("{report:?}");
            ExitCode::from(exit)
        }
    }
}

fn parse() -> Result<Option<(Command, Options)>, lexopt::Error> {
    let mut options = Options {
        token: std::env::var("SYC_CONTROL_TOKEN").ok(),
        author: std::env::var("USER").ok(),
        ..Options::default()
    };
    let mut words = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("control") => options.control = Some(parser.value()?.string()?),
            Arg::Long("callers") => options.callers = Some(parser.value()?.string()?),
            Arg::Long("token") => options.token = Some(parser.value()?.string()?),
            Arg::Long("author") => options.author = Some(parser.value()?.string()?),
            Arg::Long("base") => options.base = parser.value()?.parse()?,
            Arg::Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let command = Command::from_words(&words)?;
    Ok(Some((command, options)))
}
