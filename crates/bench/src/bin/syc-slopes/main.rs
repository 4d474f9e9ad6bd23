//! Measures what a daemon costs as workers, tasks, peers and starts grow.
//!
//! Each point runs real daemon processes against stand-ins in this process, on loopback, and reads
//! from the system what the daemons used. The slopes feed `docs/CAPACITY-DAEMON.md`.

mod fit;
mod point;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use miette::Result;

use crate::point::Load;
use crate::point::Point;

const HELP: &str = "\
Usage: syc-slopes --daemon FILE [--window-s N] [--only NAME] [--json]

Runs daemons at four points of each dimension (workers, tasks, peers, starts)
and prints what each point cost and the fitted slopes.

  --daemon FILE   the built `sycamorespurd`
  --window-s N    how long each point is measured (default 12)
  --only NAME     measure one dimension only
  --json          print JSON in place of tables";

/// Exit code of a run that could not be made.
const EXIT_FAILED: u8 = 2;

#[derive(Debug)]
struct Options {
    daemon: PathBuf,
    window_s: u64,
    only: Option<String>,
    json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemon: PathBuf::from("target/release/sycamorespurd"),
            window_s: 12,
            only: None,
            json: false,
        }
    }
}

/// One dimension that grows while the others stay.
#[derive(Debug)]
struct Dimension {
    name: &'static str,
    unit: &'static str,
    points: Vec<(u32, Load)>,
}

fn dimensions() -> Vec<Dimension> {
    let base = Load::default();
    let workers = [30, 110, 220, 330].map(|workers| (workers, Load { workers, ..base }));
    let tasks = [0, 500, 1_500, 3_000].map(|tasks| (tasks, Load { tasks, ..base }));
    let daemons = [3, 5, 7, 9].map(|daemons| (daemons, Load { daemons, ..base }));
    let starts = [0, 10, 20, 40].map(|starts_per_s| {
        let load = Load {
            starts_per_s,
            ..base
        };
        (starts_per_s, load)
    });
    vec![
        Dimension {
            name: "workers",
            unit: "worker in the cell",
            points: workers.to_vec(),
        },
        Dimension {
            name: "tasks",
            unit: "running task in the cell",
            points: tasks.to_vec(),
        },
        Dimension {
            name: "peers",
            unit: "daemon in the view",
            points: daemons.to_vec(),
        },
        Dimension {
            name: "starts",
            unit: "task start a second in the cell",
            points: starts.to_vec(),
        },
    ]
}

fn main() -> ExitCode {
    let options = match syc_args::read(HELP, parse) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match actix_rt::System::new().block_on(run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
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
            Arg::Long("window-s") => options.window_s = parser.value()?.parse()?,
            Arg::Long("only") => options.only = Some(parser.value()?.string()?),
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

async fn run(options: &Options) -> Result<()> {
    let mut sweeps = Vec::new();
    for dimension in dimensions() {
        let wanted = options.only.as_deref();
        if wanted.is_some_and(|name| name != dimension.name) {
            continue;
        }
        let mut points: Vec<(u32, Point)> = Vec::new();
        for (value, load) in dimension.points {
            let point = point::measure(&options.daemon, load, options.window_s).await?;
            eprintln!("{} = {value}: {point:?}", dimension.name);
            points.push((value, point));
        }
        sweeps.push(report::Sweep::new(dimension.name, dimension.unit, &points));
    }
    report::print(&sweeps, options.json);
    Ok(())
}
