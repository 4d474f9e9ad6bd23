//! What was lost, doubled, falsely refused or over-given.

use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use syc_bench::cluster::Cluster;
use syc_standin::WorkerStandIn;
use syc_types::JobId;
use syc_types::TaskRef;

use crate::load::Fate;
use crate::load::KINDS;
use crate::load::Kind;
use crate::load::Sent;

/// Counts of one kind of work.
#[derive(Debug, Clone, Default)]
struct Row {
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    lost: u64,
    wrong: u64,
    doubled: u64,
    falsely_not_run: u64,
    longest: Duration,
}

/// Counts of a run.
#[derive(Debug)]
pub struct Tally {
    rows: Vec<(Kind, Row)>,
    over_given: u64,
    stale_commands: u64,
}

/// Counts what became of everything that was sent.
pub fn count(cluster: &Cluster, all: &[Sent]) -> Tally {
    let mut rows = Vec::new();
    for kind in KINDS {
        let mut row = Row::default();
        for sent in all.iter().filter(|sent| sent.kind == kind) {
            add(&mut row, cluster, sent);
        }
        rows.push((kind, row));
    }
    let workers = cluster.cell.workers.iter().map(WorkerStandIn::counts);
    let (mut over_given, mut stale_commands) = (0, 0);
    for counts in workers {
        over_given += counts.over_given;
        stale_commands += counts.stale_commands;
    }
    Tally {
        rows,
        over_given,
        stale_commands,
    }
}

fn add(row: &mut Row, cluster: &Cluster, sent: &Sent) {
    row.sent += 1;
    row.longest = row.longest.max(sent.took);
    let (begun, doubled) = executions(cluster, sent);
    if doubled {
        row.doubled += 1;
    }
    match sent.fate {
        Fate::Answered => row.answered += 1,
        Fate::NotRun => {
            row.not_run += 1;
            if begun {
                row.falsely_not_run += 1;
            }
        }
        Fate::Unknown => row.unknown += 1,
        Fate::NotEnded => row.lost += 1,
        Fate::Wrong => row.wrong += 1,
    }
}

fn executions(cluster: &Cluster, sent: &Sent) -> (bool, bool) {
    match sent.kind {
        Kind::Idempotent | Kind::Once => {
            let counts = cluster.cell.requests.of(&sent.id.to_string());
            let doubled = sent.kind == Kind::Once && counts.begun > 1;
            (counts.begun > 0, doubled)
        }
        Kind::Batch | Kind::OnceBatch | Kind::Gang => {
            let (mut begun, mut doubled) = (false, false);
            for index in 0..sent.tasks {
                let job_id = JobId(sent.id);
                let counts = cluster.cell.tasks.of(&TaskRef { job_id, index });
                begun |= counts.begun > 0;
                doubled |= counts.most_at_once > 1;
                doubled |= sent.kind == Kind::OnceBatch && counts.begun > 1;
            }
            (begun, doubled)
        }
    }
}

impl Tally {
    /// Says whether nothing that must hold was broken.
    pub fn sound(&self) -> bool {
        let broken = self.rows.iter().any(|(_, row)| {
            row.lost > 0 || row.wrong > 0 || row.doubled > 0 || row.falsely_not_run > 0
        });
        !broken && self.over_given == 0
    }

    /// Prints the counts.
    pub fn print(&self) {
        let mut table = Table::new();
        table.load_preset(ASCII_MARKDOWN);
        table.set_header([
            "kind",
            "sent",
            "answered",
            "not run",
            "unknown",
            "lost",
            "wrong",
            "doubled",
            "falsely not run",
            "longest",
        ]);
        for (kind, row) in &self.rows {
            table.add_row([
                format!("{kind:?}"),
                row.sent.to_string(),
                row.answered.to_string(),
                row.not_run.to_string(),
                row.unknown.to_string(),
                row.lost.to_string(),
                row.wrong.to_string(),
                row.doubled.to_string(),
                row.falsely_not_run.to_string(),
                format!("{:.1} s", row.longest.as_secs_f64()),
            ]);
        }
        println!("{table}");
        println!(
            "over-given: {}; stale commands refused by workers: {}",
            self.over_given, self.stale_commands
        );
    }
}
