//! Why a command did not do what it should, and the exit code that says so to programs.

use std::fmt;

use miette::Report;
use serde_json::Value;
use serde_json::json;
use syc_config::Findings;

/// Exit codes; `syc help` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It was refused, or failed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file has findings.
    Findings = 3,
    /// It may have been done.
    Unknown = 4,
    /// Another publication came first.
    Conflict = 5,
    /// No daemon could be reached; nothing was done.
    Unreachable = 6,
}

/// Why a command did not do what it should.
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// What to tell the operator, with the next step.
    pub report: Report,
    /// The findings, where there are some.
    pub findings: Vec<Value>,
}

impl Failure {
    /// Makes a failure.
    pub fn new(exit: Exit, report: Report) -> Self {
        Self {
            exit,
            report,
            findings: Vec::new(),
        }
    }

    /// Says the same in JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "exit": self.exit as u8,
            "message": self.report.to_string(),
            "next": self.report.help().map(|help| help.to_string()),
            "findings": self.findings,
        })
    }
}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        let mut list = Vec::new();
        for finding in findings.list() {
            list.push(json!({
                "path": finding.path,
                "line": finding.line,
                "column": finding.column,
                "message": finding.message,
            }));
        }
        Self {
            exit: Exit::Findings,
            report: Report::new(findings),
            findings: list,
        }
    }
}

impl fmt::Debug for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.report.fmt(f)
    }
}
