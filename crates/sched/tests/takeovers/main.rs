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

mod search;
mod side;
mod world;

use std::collections::BTreeSet;

use syc_fleet::Fault;
use syc_sched::JobState;
use syc_sched::StepSpec;
use test_case::test_case;

use crate::search::Choices;
use crate::world::Leases;
use crate::world::Rule;
use crate::world::Rules;
use crate::world::World;
use crate::world::cpu;

/// What a search came to.
#[derive(Debug, Default)]
struct Found {
    plays: u64,
    states: usize,
    broken: u64,
    not_completed: u64,
    used_twice: u64,
    first: Option<Vec<Fault>>,
}

fn search(step: &StepSpec, failing_runs: u32, rules: Rules) -> Found {
    let mut choices = Choices::default();
    let mut seen = BTreeSet::new();
    let mut found = Found::default();
    loop {
        let world = World::new(&mut choices, step.clone(), failing_runs, rules);
        let played = world.play(&mut seen);
        found.plays += 1;
        found.broken += u64::from(!played.faults.is_empty());
        found.not_completed += u64::from(played.state != Some(JobState::Completed));
        found.used_twice += u64::from(played.numbers_used_twice > 0);
        if !played.faults.is_empty() {
            found.first.get_or_insert(played.faults);
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

#[test_case(false, 0, Rule::Waits; "a task that is done at once")]
#[test_case(false, 1, Rule::Waits; "a task that fails once")]
#[test_case(true, 0, Rule::Waits; "a gang that is done at once")]
#[test_case(true, 1, Rule::Waits; "a gang that fails once")]
#[test_case(false, 0, Rule::Proves; "a task that is done at once and proved before")]
#[test_case(false, 1, Rule::Proves; "a task that fails once and is proved before")]
#[test_case(true, 0, Rule::Proves; "a gang that is done at once and proved before")]
#[test_case(true, 1, Rule::Proves; "a gang that fails once and is proved before")]
fn nothing_runs_twice_whatever_overlaps(gang: bool, failing_runs: u32, rule: Rule) {
    let rules = Rules {
        rule,
        leases: Leases::OfOneThatGoesOn,
    };
    let found = search(&step_of(gang), failing_runs, rules);
    println!("{found:?}");
    let broken = (found.broken, found.not_completed, found.used_twice);
    assert_eq!(broken, (0, 0, 0), "of {} plays: {found:?}", found.plays);
}

/// It goes on for a moment with what it knew before: leases that it worked out anew outlasted those that its successor
/// waited for, and a task ran twice on a worker that the successor did not reach.
#[test_case(false, 0, Rule::Waits; "a task that is done at once")]
#[test_case(false, 1, Rule::Waits; "a task that fails once")]
#[test_case(true, 0, Rule::Waits; "a gang that is done at once")]
#[test_case(false, 0, Rule::Proves; "a task that is done at once and proved before")]
#[test_case(false, 1, Rule::Proves; "a task that fails once and is proved before")]
#[test_case(true, 0, Rule::Proves; "a gang that is done at once and proved before")]
fn nothing_runs_twice_where_a_predecessor_stands_still(gang: bool, failing_runs: u32, rule: Rule) {
    let rules = Rules {
        rule,
        leases: Leases::FromEvidence,
    };
    let found = search(&step_of(gang), failing_runs, rules);
    println!("{found:?}");
    let broken = (found.broken, found.not_completed, found.used_twice);
    assert_eq!(broken, (0, 0, 0), "of {} plays: {found:?}", found.plays);
}

/// Leases count from the sending of an order, on purpose.
#[test_case(false, Rule::Waits; "a task")]
#[test_case(true, Rule::Proves; "a gang that is proved before")]
fn the_judge_notices_leases_that_a_predecessor_works_out_anew(gang: bool, rule: Rule) {
    let rules = Rules {
        rule,
        leases: Leases::FromSending,
    };
    let found = search(&step_of(gang), 0, rules);
    println!("{found:?}");
    assert!(found.broken > 0, "of {} plays: {found:?}", found.plays);
}
