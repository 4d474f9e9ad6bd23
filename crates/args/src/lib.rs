//! Command lines: reading one, what the daemons' have in common, and the exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;

/// Exit code of a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of wrong settings.
pub const EXIT_SETTINGS: u8 = 3;

/// Exit code of an address that can't be listened on.
pub const EXIT_LISTEN: u8 = 4;

/// Reads the command line; `parse` returns nothing where it printed all that was asked for.
///
/// # Errors
///
/// Fails with the code to exit with, where there is nothing to run: after what was printed, or with
/// [`EXIT_USAGE`] after saying what is wrong.
pub fn read<T, F>(help: &str, parse: F) -> Result<T, ExitCode>
where
    F: FnOnce(Parser) -> Result<Option<T>, lexopt::Error>,
{
    match parse(Parser::from_env()) {
        Ok(Some(arguments)) => Ok(arguments),
        Ok(None) => Err(ExitCode::SUCCESS),
        Err(error) => Err(usage(help, &error.to_string())),
    }
}

fn usage(help: &str, error: &str) -> ExitCode {
    eprintln!("{error}\n\n{help}");
    ExitCode::from(EXIT_USAGE)
}

/// A program that runs a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// The text of `--help`.
    pub help: &'static str,
}

/// What the command line of a daemon says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Arguments {
    /// The settings file, if one is named.
    pub settings: Option<PathBuf>,
    /// Whether the settings are only to be checked.
    pub check: bool,
}

impl Program {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Fails with the code to exit with, where there is nothing to run: after the help or the
    /// version, or with [`EXIT_USAGE`] after saying what is wrong.
    pub fn arguments(&self) -> Result<Arguments, ExitCode> {
        read(self.help, |parser| self.parse(parser))
    }

    /// Says what is wrong with the command line, and returns the code to exit with.
    #[must_use]
    pub fn usage(&self, error: &str) -> ExitCode {
        usage(self.help, error)
    }

    fn parse(&self, mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
        let mut arguments = Arguments::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("settings") => arguments.settings = Some(parser.value()?.into()),
                Arg::Long("check") => arguments.check = true,
                Arg::Long("help") => {
                    println!("{}", self.help);
                    return Ok(None);
                }
                Arg::Long("version") => {
                    println!("{} {}", self.name, env!("CARGO_PKG_VERSION"));
                    return Ok(None);
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(Some(arguments))
    }
}
