//! Runs both users' workloads through three daemons and stand-ins on loopback.

mod cluster;
mod deployment;
mod load;
mod report;

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code of a run that lost, doubled or over-gave something.
const EXIT_BROKEN: u8 = 1;

/// Exit code of a run that could not be set up.
const EXIT_FAILED: u8 = 2;

const HELP: &str = "\
Usage: syc-tryout [--seconds N] [--json]

Starts three daemons and stand-ins of the platform on loopback, once with the
inventory of Derwent and once with that of Forages, and drives their workloads.

  --seconds N  how long each deployment is driven (default 5)
  --json       print JSON in place of tables

Exit codes: 0 nothing was lost, doubled or over-given; 1 something was;
2 wrong command line, or the run could not be set up.";

#[derive(Debug, Clone, Copy)]
struct Options {
    seconds: u64,
    json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seconds: 5,
            json: false,
        }
    }
}

fn main() -> ExitCode {
    let options = match syc_args::read(HELP, parse) {
        Ok(options) => options,
        Err(code) => return code,
    };
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    actix_rt::System::new().block_on(run(options))
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("json") => options.json = true,
            Arg::Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

async fn run(options: Options) -> ExitCode {
    let mut reports = Vec::new();
    for deployment in [deployment::derwent(), deployment::forages()] {
        match load::drive(&deployment, options.seconds).await {
            Ok(report) => reports.push(report),
            Err(error) => {
                eprintln!("{}: {error}", deployment.name);
                return ExitCode::from(EXIT_FAILED);
            }
        }
    }
    if options.json {
        report::print_json(&reports);
    } else {
        report::print_tables(&reports);
    }
    if reports.iter().all(report::Report::sound) {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_BROKEN)
}
