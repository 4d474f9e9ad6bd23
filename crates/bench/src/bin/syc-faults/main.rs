//! Counts what is lost, doubled or falsely refused while daemons and the log fail under load.
//!
//! Real daemon processes are paused, killed, replaced and stopped as planned, and the log goes out
//! and loses answers, while callers keep sending. Every piece of work is followed to its end.

mod load;
mod schedule;
mod tally;

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use miette::Result;
use syc_bench::cluster::Cluster;
use syc_bench::cluster::ClusterOptions;
use syc_config::Timing;

const HELP: &str = "\
Usage: syc-faults --daemon FILE [--seconds N] [--daemons N] [--only FAULT]

Runs daemons under load while faults happen, one after another, and counts what
was lost, doubled, falsely refused or over-given.

  --daemon FILE   the built `sycamorespurd`
  --seconds N     how long callers send (default 40)
  --daemons N     entry VMs (default 5)
  --only FAULT    one of none, pause, kill, kill-two, kill-all, stop,
                  outage, lost-answers
  --keep-logs     print where the daemons' logs are, and leave them

Exit codes: 0 nothing broke, 1 something did, 2 the run could not be made.";

/// Exit code of a run in which something broke.
const EXIT_BROKEN: u8 = 1;

/// Exit code of a run that could not be made.
const EXIT_FAILED: u8 = 2;

#[derive(Debug)]
struct Options {
    daemon: PathBuf,
    seconds: u64,
    daemons: usize,
    only: Option<String>,
    keep_logs: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemon: PathBuf::from("target/release/sycamorespurd"),
            seconds: 40,
            daemons: 5,
            only: None,
            keep_logs: false,
        }
    }
}

fn main() -> ExitCode {
    let options = match syc_args::read(HELP, parse) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match actix_rt::System::new().block_on(run(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("daemon") => options.daemon = parser.value()?.into(),
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("daemons") => options.daemons = parser.value()?.parse()?,
            Arg::Long("only") => options.only = Some(parser.value()?.string()?),
            Arg::Long("keep-logs") => options.keep_logs = true,
            Arg::Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

async fn run(options: &Options) -> Result<bool> {
    let cluster_options = ClusterOptions {
        daemons: options.daemons,
        workers: 20,
        endpoints: 12,
        timing: Timing {
            log_poll_ms: 300,
            worker_poll_ms: 2_000,
            lease_ms: 8_000,
            drain_notice_ms: 500,
            ..Timing::default()
        },
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::start(&options.daemon, &cluster_options).await?;
    let callers: Vec<_> = cluster
        .settings
        .iter()
        .map(|settings| settings.listen.callers.clone())
        .collect();
    let driving = load::drive(callers, options.seconds);
    schedule::run(&mut cluster, options.only.as_deref(), options.seconds).await?;
    let sent = load::finish(driving).await;
    let tally = tally::count(&cluster, &sent);
    tally.print();
    if options.keep_logs {
        println!("logs: {}", cluster.directory().display());
        cluster.keep_directory();
    }
    Ok(tally.sound())
}
