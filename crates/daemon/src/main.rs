//! `sycamorespurd`: reads its settings, runs one daemon, and stops gracefully on SIGTERM.

mod logging;

use std::process::ExitCode;

use miette::Report;
use mimalloc::MiMalloc;
use syc_args::Arguments;
use syc_args::EXIT_LISTEN;
use syc_args::EXIT_SETTINGS;
use syc_args::Program;
use syc_config::parse_settings;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Usage: sycamorespurd --settings FILE [--check]

  --settings FILE  the daemon's settings, in JSON
  --check          check the settings and exit
  --help           show this text
  --version        show the version

SYC_LOG=error|warn|info|debug goes before the settings' log level. Log events go
to the standard error stream; docs/EVENTS.md lists them.

Exit codes: 0 stopped as planned, 2 wrong command line, 3 wrong settings,
4 an address can't be listened on.";

const PROGRAM: Program = Program {
    name: "sycamorespurd",
    help: HELP,
};

fn main() -> ExitCode {
    match PROGRAM.arguments() {
        Ok(arguments) => start(&arguments),
        Err(code) => code,
    }
}

fn start(arguments: &Arguments) -> ExitCode {
    let Some(path) = &arguments.settings else {
        return PROGRAM.usage("--settings is missing");
    };
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("can't read {name}: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let settings = match parse_settings(&name, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{:?}", Report::new(findings));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    if let Err(reason) = logging::start(settings.log_level) {
        eprintln!("{reason}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    let listeners = match Listeners::bind(&settings) {
        Ok(listeners) => listeners,
        Err(error) => {
            eprintln!("{:?}", Report::msg(error));
            return ExitCode::from(EXIT_LISTEN);
        }
    };
    let settings = match listeners.resolve(settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_LISTEN);
        }
    };
    actix_rt::System::new().block_on(run(settings, listeners))
}

async fn run(settings: syc_config::Settings, listeners: Listeners) -> ExitCode {
    let daemon = match Daemon::start(settings, listeners) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_LISTEN);
        }
    };
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.drain_asked() => {}
        }
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}
