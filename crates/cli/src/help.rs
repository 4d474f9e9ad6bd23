//! The help texts.

/// What there is to say of one command.
#[derive(Debug, Clone, Copy)]
pub struct Topic {
    name: &'static str,
    operand: &'static str,
    summary: &'static str,
    detail: &'static str,
}

impl Topic {
    /// Returns the command's help.
    pub fn to_text(self) -> String {
        let Self {
            name,
            operand,
            summary,
            detail,
        } = self;
        let space = if operand.is_empty() { "" } else { " " };
        format!("Usage: syc {name}{space}{operand} [OPTIONS]\n\n{summary}.\n\n{detail}")
    }
}

const TOPICS: &[Topic] = &[
    Topic {
        name: "audit",
        operand: "",
        summary: "Show who changed what, the latest first",
        detail: "\
Every publication is listed, accepted or refused and why, and every drain. The
trail comes out of the log, so every daemon shows the same.

Options: --control, --json",
    },
    Topic {
        name: "cancel",
        operand: "JOB",
        summary: "Cancel a job",
        detail: "\
Tasks that wait never start; tasks that run are stopped. It may be repeated.

Options: --callers, --timeout, --json",
    },
    Topic {
        name: "check",
        operand: "FILE",
        summary: "Check a document or a job, and send nothing",
        detail: "\
Prints all findings, each with its place. A file without a `kind` of document
is checked as a job. The schemas are in docs/schema/.

Options: --json",
    },
    Topic {
        name: "config",
        operand: "",
        summary: "Show the documents in force",
        detail: "\
With --json the documents themselves are printed.

Options: --control, --json",
    },
    Topic {
        name: "diff",
        operand: "FILE",
        summary: "Compare a document with the one in force",
        detail: "\
Defaults are filled in on both sides. Lines with `-` are in force, lines with
`+` would be.

Options: --control, --json",
    },
    Topic {
        name: "drain",
        operand: "",
        summary: "Stop one daemon as planned",
        detail: "\
The daemon tells the balancer, takes nothing new, finishes the requests in
progress and ends. Give exactly one --control address.

Options: --control, --token, --author, --wait, --timeout, --json",
    },
    Topic {
        name: "explain",
        operand: "JOB",
        summary: "Say where a job is and why its tasks wait",
        detail: "\
Every --control address is asked what its own workers have for the job, so give
all of them.

Options: --control, --json",
    },
    Topic {
        name: "history",
        operand: "SCOPE",
        summary: "Show the changes of one scope, the latest first",
        detail: "\
A scope is KIND/NAME, such as team/freight.

Options: --control, --json",
    },
    Topic {
        name: "import",
        operand: "FILE",
        summary: "Make an inventory from a register in CSV",
        detail: "\
The first row names the columns: id, address, zone, rack, cpu_millis and
memory_bytes must be there, accelerators may; others are passed over. The
document is printed; redirect it to a file and publish that.

Options: --part NAME of the part of the register (register)",
    },
    Topic {
        name: "publish",
        operand: "FILE",
        summary: "Publish a document",
        detail: "\
The document is checked first; with findings, nothing is sent. It replaces the
revision --base, or the one that is in force when the command starts. If
another publication comes first, nothing changes and the exit code is 5. An
answer that is lost is asked for again with the same id, through the next
address, so the document is published at most once.

Options: --base, --control, --token, --author, --timeout, --json",
    },
    Topic {
        name: "result",
        operand: "JOB",
        summary: "Show a job's state and results",
        detail: "\
With --wait, waits until every task has ended. The exit code is 1 if a task
failed or was cancelled, 4 if the outcome of a task is not known, or if the
time is over.

Options: --callers, --wait, --timeout, --json",
    },
    Topic {
        name: "status",
        operand: "",
        summary: "Show the daemons, their view, the owners and what waits",
        detail: "\
Every --control address is asked and shown; the rest is what the first one
that answers sees.

Options: --control, --json",
    },
    Topic {
        name: "story",
        operand: "ID",
        summary: "Tell what the logs say of a job or a request, in order",
        detail: "\
Reads the logs of a cell's nodes, one JSON object a line, from standard input:
`cat node-*.log | syc story ID`. ID is that of a job, or of a caller's request.
Changes that touch every job in that time, such as a new scheduler, are shown
with it. docs/OPERATIONS.md reads three stories.

Options: --json",
    },
    Topic {
        name: "submit",
        operand: "FILE",
        summary: "Submit the job that the file declares",
        detail: "\
The job is checked first; with findings, nothing is sent. An answer that is
lost is asked for again with the same id, so the job is submitted at most once.

Options: --callers, --wait, --timeout, --json",
    },
];

const OPTIONS: &str = "\
Options:
  --control IP:PORT[,...]  daemons' addresses for operators (or SYC_CONTROL)
  --callers IP:PORT[,...]  daemons' addresses for callers (or SYC_CALLERS)
  --token TEXT             the control token (or SYC_CONTROL_TOKEN)
  --author NAME            who acts (or USER)
  --base N                 revision that a document replaces; 0 for none
  --wait                   wait for the end
  --timeout SECONDS        longest time to wait (30)
  --json                   print JSON, failures included
  --help, --version

Several addresses are tried in turn.

Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 findings in a
file, 4 the outcome is unknown, 5 another publication came first, 6 no daemon
could be reached and nothing was done.";

/// Returns the help of a command.
pub fn topic(name: &str) -> Option<Topic> {
    TOPICS.iter().copied().find(|topic| topic.name == name)
}

/// Returns the help of the whole tool.
pub fn overview() -> String {
    let mut lines = vec!["Usage: syc COMMAND [OPTIONS]\n\nCommands:".to_owned()];
    for topic in TOPICS {
        let call = format!("{} {}", topic.name, topic.operand);
        lines.push(format!("  {call:<16} {}", topic.summary));
    }
    lines.push("  help COMMAND     Show more about a command\n".to_owned());
    lines.push(OPTIONS.to_owned());
    lines.join("\n")
}

/// Returns the tool's name and version.
pub fn version() -> String {
    format!("syc {}", env!("CARGO_PKG_VERSION"))
}
