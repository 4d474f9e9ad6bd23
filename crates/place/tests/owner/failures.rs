//! Workers that fail what they start, and starts that are refused or in doubt.

use syc_place::Refusal;
use syc_types::Class;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use syc_types::WorkerId;

use crate::bed::Bed;
use crate::bed::LEASE_MS;
use crate::bed::spec;
use crate::bed::task;

const FAILED: TaskOutcome = TaskOutcome::Failed(smol_str::SmolStr::new_static("f"));
const DONE: TaskOutcome = TaskOutcome::Done(smol_str::SmolStr::new_static("r"));

fn run(bed: &mut Bed, job: u128, team: &str, outcome: &TaskOutcome) -> bool {
    let offer = bed.offer(job, &[0], &spec(team, Class::Normal, 1_000), 0);
    let placed = bed.placed(offer);
    bed.finish(task(job, 0), outcome);
    bed.poll_all();
    bed.keep_ends();
    placed
}

#[test]
fn a_worker_that_fails_every_kind_of_job_is_put_aside_and_tried_again() {
    let mut bed = Bed::new(1, 1_000);
    for (job, team) in [(1, "a"), (2, "b"), (3, "c")] {
        assert!(run(&mut bed, job, team, &FAILED));
    }
    assert!(!run(&mut bed, 4, "d", &FAILED));
    assert_eq!(bed.owner.explain(&spec("d", Class::Normal, 1)).aside, 1);
    bed.pass(10_000);
    bed.poll_all();
    assert!(run(&mut bed, 5, "d", &FAILED));
    // One failure on trial puts it aside for twice as long.
    bed.pass(10_000);
    bed.poll_all();
    assert!(!run(&mut bed, 6, "d", &DONE));
    bed.pass(10_000);
    bed.poll_all();
    assert!(run(&mut bed, 7, "d", &DONE));
    assert!(run(&mut bed, 8, "a", &FAILED));
    assert!(run(&mut bed, 9, "a", &DONE));
}

#[test]
fn one_bad_job_condemns_no_worker() {
    let mut bed = Bed::new(1, 1_000);
    for job in 0..20 {
        assert!(run(&mut bed, job, "bad", &FAILED));
    }
    assert!(run(&mut bed, 30, "good", &DONE));
}

#[test]
fn a_refused_start_goes_to_another_worker() {
    let mut bed = Bed::new(3, 1_000);
    for fake in bed.workers.values_mut().take(2) {
        fake.refuses = true;
    }
    let offer = bed.offer(1, &[0], &spec("a", Class::Normal, 10), 0);
    assert_eq!(bed.answers[&offer], Ok(vec![WorkerId::new("w2")]));
}

#[test]
fn a_committed_task_that_its_worker_refuses_starts_elsewhere() {
    let mut bed = Bed::new(2, 1_000);
    let work = JobSpec {
        idempotent: false,
        ..spec("a", Class::Normal, 800)
    };
    let offer = bed.offer_as(1, &[0], &work, 0, 1, 1_000);
    let Ok(workers) = &bed.answers[&offer] else {
        panic!("no room");
    };
    let reserved = workers[0].clone();
    bed.workers.get_mut(&reserved).expect("worker").refuses = true;
    assert!(bed.held(1, 1, true));
    assert_eq!(bed.runs(task(1, 0)), 1);
    assert!(bed.ends.is_empty());
    for fake in bed.workers.values_mut() {
        fake.refuses = true;
    }
    bed.finish(task(1, 0), &DONE);
    bed.poll_all();
    bed.offer_as(2, &[0], &work, 0, 1, 1_000);
    assert!(bed.held(2, 1, true));
    assert_eq!(bed.outcome(task(2, 0)), Some(TaskOutcome::Unknown));
    assert_eq!(bed.owner.ledger().grants().count(), 0);
}

#[test]
fn a_gang_that_one_worker_refuses_leaves_nothing_behind() {
    let mut bed = Bed::new(2, 1_000);
    let refusing = bed.workers.values_mut().next().expect("worker");
    refusing.refuses = true;
    let gang = JobSpec {
        kind: JobKind::Gang,
        ..spec("a", Class::Normal, 800)
    };
    let offer = bed.offer(1, &[0, 1], &gang, 0);
    assert_eq!(bed.answers[&offer], Err(Refusal::NoRoom));
    bed.poll_all();
    assert_eq!(bed.owner.ledger().grants().count(), 0);
    assert!(bed.ends.is_empty());
}

#[test]
fn a_start_in_doubt_keeps_its_grant_until_a_poll_tells() {
    let mut bed = Bed::new(1, 1_000);
    let fake = bed.workers.values_mut().next().expect("worker");
    fake.silent = true;
    let offer = bed.offer(1, &[0], &spec("a", Class::Normal, 1_000), 0);
    assert!(bed.placed(offer));
    let other = bed.offer(2, &[0], &spec("a", Class::Normal, 1_000), 0);
    assert!(!bed.placed(other));
    let fake = bed.workers.values_mut().next().expect("worker");
    fake.silent = false;
    // The command was lost.
    fake.running.clear();
    bed.poll_all();
    assert!(bed.ends.is_empty());
    bed.pass(LEASE_MS / 2);
    bed.poll_all();
    assert_eq!(bed.outcome(task(1, 0)), Some(TaskOutcome::Unknown));
}
