//! `syc`: the operators' tool.

mod arguments;
mod client;
mod commands;
mod failure;
mod help;
mod output;
mod progress;

use std::io::Write;
use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::arguments::Invocation;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let (command, options) = match arguments::parse() {
        Ok(Invocation::Run(command, options)) => (command, options),
        Ok(Invocation::Print(text)) => {
            print(&text);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\nnext: `syc help`");
            return ExitCode::from(Exit::Usage as u8);
        }
    };
    let done = actix_rt::System::new().block_on(commands::run(&command, &options));
    match done {
        Ok(output) => finish(&output, options.json),
        Err(failure) => fail(&failure, options.json),
    }
}

fn finish(output: &Output, json: bool) -> ExitCode {
    if json {
        print(&format!("{:#}", output.json));
    } else {
        print(&output.text);
    }
    for note in &output.notes {
        eprintln!("note: {note}");
    }
    output
        .exit
        .map_or(ExitCode::SUCCESS, |exit| ExitCode::from(exit as u8))
}

fn fail(failure: &Failure, json: bool) -> ExitCode {
    if json {
        print(&format!("{:#}", failure.to_json()));
    } else {
        eprintln!("{:?}", failure.report);
    }
    ExitCode::from(failure.exit as u8)
}

/// Prints a text; a reader that has gone away is no fault.
fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
