//! Takeovers, searched exhaustively in a small size: two schedulers that overlap, one job,
//! and one worker more than it needs.
//!
//! A predecessor read a job that its successor did not know yet, and started it as run 1. The successor took what
//! was submitted since its takeover as started by nobody, and started it as run 1 on another worker. Then the
//! failure of the one run was told, and taken for the end of the other: that run's own end, as done, counted for
//! nothing, and the task ran once more. Where the first run was still at work, two ran at once.
//!
//! Each play picks when either of them reads the job, when the predecessor ends, for how long the successor does
//! not reach each worker, how long the task takes, whether the first answer that tells the successor of an end gets
//! lost, and what becomes of the first order of each: answered, its answer lost, or carried out 2 or 12 s late.

mod choices;
mod node;
mod simulation;

use std::collections::BTreeSet;

use syc_fleet::Fault;
use syc_sched::JobState;
use syc_sched::StepSpec;
use test_case::test_case;

use crate::choices::Choices;
use crate::simulation::LeaseStart;
use crate::simulation::Rules;
use crate::simulation::Simulation;
use crate::simulation::StartRule;
use crate::simulation::cpu;

/// What a search came to.
#[derive(Debug, Default)]
struct SearchResult {
    simulations: u64,
    states: usize,
    faulty: u64,
    incomplete: u64,
    with_duplicate_runs: u64,
    first_faults: Option<Vec<Fault>>,
}

fn search(step: &StepSpec, failing_runs: u32, rules: Rules) -> SearchResult {
    let mut choices = Choices::default();
    let mut seen = BTreeSet::new();
    let mut found = SearchResult::default();
    loop {
        let simulation = Simulation::new(&mut choices, step.clone(), failing_runs, rules);
        let outcome = simulation.run(&mut seen);
        found.simulations += 1;
        found.faulty += u64::from(!outcome.faults.is_empty());
        found.incomplete += u64::from(outcome.state != Some(JobState::Completed));
        found.with_duplicate_runs += u64::from(outcome.duplicate_run_numbers > 0);
        if !outcome.faults.is_empty() {
            found.first_faults.get_or_insert(outcome.faults);
        }
        if !choices.advance() {
            break;
        }
    }
    found.states = seen.len();
    found
}

fn step_of(gang: bool) -> StepSpec {
    let tasks = if gang { 2 } else { 1 };
    StepSpec {
        tasks,
        gang,
        ..task()
    }
}

fn task() -> StepSpec {
    StepSpec {
        tasks: 1,
        resources: cpu(1),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

#[test_case(false, 0, StartRule::OnceRead; "a task that is done at once")]
#[test_case(false, 1, StartRule::OnceRead; "a task that fails once")]
#[test_case(true, 0, StartRule::OnceRead; "a gang that is done at once")]
#[test_case(true, 1, StartRule::OnceRead; "a gang that fails once")]
#[test_case(false, 0, StartRule::OnceConfirmed; "a task that is done at once and proved before")]
#[test_case(false, 1, StartRule::OnceConfirmed; "a task that fails once and is proved before")]
#[test_case(true, 0, StartRule::OnceConfirmed; "a gang that is done at once and proved before")]
#[test_case(true, 1, StartRule::OnceConfirmed; "a gang that fails once and is proved before")]
fn overlapping_schedulers_run_nothing_twice(gang: bool, failing_runs: u32, start_rule: StartRule) {
    let rules = Rules {
        start_rule,
        lease_start: LeaseStart::NoPause,
    };
    let found = search(&step_of(gang), failing_runs, rules);
    println!("{found:?}");
    let counts = (found.faulty, found.incomplete, found.with_duplicate_runs);
    assert_eq!(
        counts,
        (0, 0, 0),
        "of {} plays: {found:?}",
        found.simulations
    );
}

/// It goes on for a moment with what it knew before: leases that it worked out anew outlasted those that its successor
/// waited for, and a task ran twice on a worker that the successor did not reach.
#[test_case(false, 0, StartRule::OnceRead; "a task that is done at once")]
#[test_case(false, 1, StartRule::OnceRead; "a task that fails once")]
#[test_case(true, 0, StartRule::OnceRead; "a gang that is done at once")]
#[test_case(false, 0, StartRule::OnceConfirmed; "a task that is done at once and proved before")]
#[test_case(false, 1, StartRule::OnceConfirmed; "a task that fails once and is proved before")]
#[test_case(true, 0, StartRule::OnceConfirmed; "a gang that is done at once and proved before")]
fn paused_predecessor_runs_nothing_twice(gang: bool, failing_runs: u32, start_rule: StartRule) {
    let rules = Rules {
        start_rule,
        lease_start: LeaseStart::FromDecision,
    };
    let found = search(&step_of(gang), failing_runs, rules);
    println!("{found:?}");
    let counts = (found.faulty, found.incomplete, found.with_duplicate_runs);
    assert_eq!(
        counts,
        (0, 0, 0),
        "of {} plays: {found:?}",
        found.simulations
    );
}

/// Leases count from the sending of an order, on purpose.
#[test_case(false, StartRule::OnceRead; "a task")]
#[test_case(true, StartRule::OnceConfirmed; "a gang that is proved before")]
fn checker_detects_leases_measured_from_sending(gang: bool, start_rule: StartRule) {
    let rules = Rules {
        start_rule,
        lease_start: LeaseStart::FromSend,
    };
    let found = search(&step_of(gang), 0, rules);
    println!("{found:?}");
    assert!(
        found.faulty > 0,
        "of {} plays: {found:?}",
        found.simulations
    );
}
