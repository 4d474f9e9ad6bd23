//! Intents that are withdrawn, whatever a member has read of the log by then.

use syc_coord::Jobs;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskRef;
use uuid::Uuid;

const FIRST: Uuid = Uuid::from_u128(1);
const SECOND: Uuid = Uuid::from_u128(2);

fn jobs() -> (Jobs, TaskRef) {
    let job_id = JobId(Uuid::from_u128(9));
    let mut jobs = Jobs::default();
    jobs.accept(job_id, &JobSpec::default());
    (jobs, TaskRef { job_id, index: 0 })
}

fn intended(jobs: &Jobs, task: TaskRef) -> bool {
    jobs.get(task.job_id).expect("the job").intents[0]
}

#[test]
fn a_withdrawn_intent_counts_no_more() {
    let (mut jobs, task) = jobs();
    jobs.intend_by(task, FIRST);
    assert!(intended(&jobs, task));
    jobs.withdraw(task, FIRST);
    assert!(!intended(&jobs, task));
}

#[test]
fn a_withdrawal_leaves_a_later_intent() {
    let (mut jobs, task) = jobs();
    jobs.intend_by(task, FIRST);
    jobs.intend_by(task, SECOND);
    jobs.withdraw(task, FIRST);
    assert!(intended(&jobs, task));
}

#[test]
fn a_member_that_reads_its_own_withdrawal_late_keeps_its_later_intent() {
    let (mut jobs, task) = jobs();
    jobs.intend_by(task, FIRST);
    jobs.withdraw_early(task, FIRST);
    jobs.intend_by(task, SECOND);
    // Only now does it read from the log what it wrote.
    jobs.intend_by(task, FIRST);
    jobs.withdraw(task, FIRST);
    assert_eq!(jobs.intent_of(task), Some(SECOND));
    assert!(intended(&jobs, task));
}

#[test]
fn an_intent_of_a_snapshot_is_not_withdrawn() {
    let (mut jobs, task) = jobs();
    jobs.intend(task);
    jobs.withdraw(task, FIRST);
    assert!(intended(&jobs, task), "to report it as unknown is safe");
}
