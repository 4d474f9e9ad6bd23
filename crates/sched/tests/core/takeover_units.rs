//! Units of which a predecessor may have left a start that is carried out later, and what has to wait for that.

use smol_str::SmolStr;
use syc_sched::EndReport;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_sched::WorkerReport;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::progress;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

/// The first run is written off, and that is stored.
const WRITTEN_OFF: &str = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"a":1}}}]}"#;

fn gang(tasks: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks, 4)
    }
}

/// Creates a successor of which no worker has answered yet.
fn successor(
    workers: usize,
    step: StepSpec,
    attempts_limit: u32,
    stored: Option<&JobProgress>,
) -> Driver {
    let mut driver = Driver::new(0, 0);
    let mut limited = policy(0);
    limited.attempts_limit = attempts_limit;
    driver.restore(1, limited, vec![step], stored);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver
}

fn successor_after_write_off(workers: usize) -> Driver {
    successor(workers, step(1, 4), 3, Some(&progress(WRITTEN_OFF)))
}

fn done(index: u32, run: u32) -> (TaskId, Run, RunEnd) {
    (task(index), Run(run), RunEnd::Done)
}

fn drain(driver: &mut Driver, index: usize) -> WorkerId {
    let draining = WorkerSpec {
        draining: true,
        ..worker(index, 4)
    };
    let id = draining.id.clone();
    driver.apply(Event::WorkerListed(draining));
    id
}

/// Lets a worker drain, go silent and leave the list, though it may only be cut off.
fn cut_off_while_draining(driver: &mut Driver, index: usize) {
    let id = drain(driver, index);
    let worker = driver.workers[index];
    driver.apply(Event::RenewalFailed { worker });
    driver.apply(Event::WorkerUnlisted(id));
}

/// Lets all leases of a predecessor expire on silent workers, while the others are renewed and answer.
fn pass_longest_wait<F>(driver: &mut Driver, mut answer: F)
where
    F: FnMut(&mut Driver),
{
    let options = Options::default();
    let wait_ms = options.authority_ms + options.lease_bound_ms.max(options.late_call_ms) + 200;
    for _ in 0..wait_ms / 100 {
        driver.advance(100);
        answer(driver);
        driver.apply(Event::Ticked);
        driver.record();
    }
}

/// Lets a worker list its first end until that is acknowledged, and announce more of them until then.
fn report_first_of_many(
    driver: &mut Driver,
    index: usize,
    listed: (TaskId, Run, RunEnd),
    is_acknowledged: &mut bool,
) {
    let worker = driver.workers[index];
    driver.apply(Event::Renewing { worker });
    *is_acknowledged |= driver.scheduler.acknowledged_ends(worker).0 >= 1;
    let mut report = WorkerReport::default();
    if !*is_acknowledged {
        let (task, run, end) = listed;
        report.has_more_ends = true;
        report.ended.push(EndReport {
            number: 1,
            task,
            run,
            end,
            checkpoint: SmolStr::default(),
        });
    }
    driver.apply(Event::Renewed {
        worker,
        sent_at: driver.now,
        report,
    });
    driver.record();
}

// Guards against a gang that is shown as done while a member of its next run may start on a worker not heard yet.
#[test_case(false; "end first")]
#[test_case(true; "adopted member first")]
fn gang_is_not_shown_as_done_while_a_member_of_its_next_run_may_be_started(adopted_first: bool) {
    let mut driver = successor(3, gang(2), 3, Some(&progress(WRITTEN_OFF)));
    let (ended, running) = (driver.workers[0], driver.workers[1]);
    if adopted_first {
        driver.report_running(running, &[(task(1), Run(2), 10)]);
    }
    driver.report(ended, &[], &[done(0, 1)]);
    if !adopted_first {
        driver.report_running(running, &[(task(1), Run(2), 10)]);
    }
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    let acknowledged = driver.scheduler.acknowledged_ends(ended);
    assert_eq!(acknowledged, (0, true), "the third worker has not answered");
    assert_ne!(driver.state(1), Some(JobState::Completed));
}

// Guards against ends that wait in vain for the takeover though no later start can exist.
#[test_case(1, None, 1; "first run of a task")]
#[test_case(1, Some(WRITTEN_OFF), 2; "run after one written off")]
#[test_case(2, Some(WRITTEN_OFF), 2; "gang")]
fn end_of_the_latest_possible_run_is_acknowledged_during_the_takeover(
    members: u32,
    stored: Option<&str>,
    run: u32,
) {
    let stored = stored.map(progress);
    let step = if members > 1 {
        gang(members)
    } else {
        step(1, 4)
    };
    let mut driver = successor(3, step, 3, stored.as_ref());
    let at = driver.workers[0];
    driver.report(at, &[], &[done(0, run)]);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    assert_eq!(driver.scheduler.acknowledged_ends(at), (1, false));
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a takeover and a held end that wait for each other while another worker stays silent.
#[test]
fn held_end_of_a_worker_with_more_ends_does_not_keep_the_takeover_waiting_for_good() {
    let mut driver = successor_after_write_off(2);
    let silent = driver.workers[1];
    driver.apply(Event::RenewalFailed { worker: silent });
    let mut is_acknowledged = false;
    pass_longest_wait(&mut driver, |driver| {
        report_first_of_many(driver, 0, done(0, 1), &mut is_acknowledged);
    });
    assert!(is_acknowledged, "kept though no lease is left");
    assert!(driver.scheduler.is_recovered());
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against two workers with more ends whose held ends wait for each other's remaining ones.
#[test]
fn held_ends_of_two_workers_with_more_ends_do_not_wait_for_each_other() {
    let units = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"a":1},"1":{"r":1,"a":1}}}]}"#;
    let mut driver = successor(2, step(2, 4), 3, Some(&progress(units)));
    let mut acknowledged = [false; 2];
    for _ in 0..10 + Options::default().late_call_ms / 100 {
        driver.advance(100);
        report_first_of_many(&mut driver, 0, done(0, 1), &mut acknowledged[0]);
        report_first_of_many(&mut driver, 1, done(1, 1), &mut acknowledged[1]);
        driver.apply(Event::Ticked);
        driver.record();
    }
    assert!(driver.scheduler.is_recovered(), "both have answered");
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a second successor that takes what the first left as proof that nothing may start.
#[test]
fn second_successor_does_not_show_a_task_as_done_while_the_first_ones_start_may_be_carried_out() {
    let mut first = successor_after_write_off(3);
    let (cut_off, idle) = (first.workers[0], first.workers[1]);
    first.report_running(idle, &[]);
    first.report_running(first.workers[2], &[]);
    first.apply(Event::RenewalFailed { worker: cut_off });
    pass_longest_wait(&mut first, |driver| {
        for worker in [driver.workers[1], driver.workers[2]] {
            driver.apply(Event::Renewing { worker });
            driver.report_running(worker, &[]);
        }
    });
    first.schedule();
    let started = first.starts.remove(0);
    assert_eq!(started.run, Run(3), "not answered before it is lost");
    let stored = first.stored_progress.get(&JobId(1)).cloned();
    let mut second = successor(3, step(1, 4), 3, stored.as_ref());
    let at = second.workers[0];
    second.report(at, &[], &[done(0, 1)]);
    second.record();
    let acknowledged = second.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "run 3 may be carried out yet");
    assert_ne!(second.state(1), Some(JobState::Completed));
}

// Guards against an end that the first successor holds and the second acknowledges without the same proof.
#[test]
fn second_successor_holds_an_end_that_the_first_has_heard() {
    let mut first = successor_after_write_off(2);
    first.report(first.workers[0], &[], &[done(0, 1)]);
    let stored = first.stored_progress.get(&JobId(1)).cloned();
    let stored = stored.unwrap_or_else(|| progress(WRITTEN_OFF));
    let mut second = successor(2, step(1, 4), 3, Some(&stored));
    let (at, other) = (second.workers[0], second.workers[1]);
    second.report(at, &[], &[done(0, 1)]);
    second.record();
    assert_eq!(second.scheduler.acknowledged_ends(at), (0, true));
    second.report_running(other, &[]);
    second.apply(Event::Ticked);
    second.record();
    assert_eq!(second.state(1), Some(JobState::Completed));
    let acknowledged = second.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "a next life may carry out run 2");
    second.pass_late_calls();
    assert_eq!(second.scheduler.acknowledged_ends(at), (1, false));
}

/// Writes off the first run of a task with one attempt, and orders a second one that is not answered.
fn last_attempt_under_way() -> (Driver, StartOrder) {
    let mut driver = Driver::new(2, 4);
    let mut once = policy(0);
    once.attempts_limit = 1;
    driver.submit(1, once, vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    driver.expire_leases(&[first.worker]);
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.remove(0).run, Run(2));
    (driver, first)
}

// Guards against a start after the last attempt has failed and that end has been acknowledged (BUDGET), in office.
#[test]
fn last_failure_is_not_acknowledged_while_a_later_start_may_be_carried_out() {
    let (mut driver, first) = last_attempt_under_way();
    driver.report_end(&first, RunEnd::Failed, &[]);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (0, true), "run 2 may be carried out yet");
    assert_ne!(driver.state(1), Some(JobState::Failed));
}

// Guards against the same in a takeover, with the later start given by the predecessor.
#[test]
fn successor_does_not_acknowledge_the_last_failure_while_a_later_start_may_be_carried_out() {
    let mut driver = successor(2, step(1, 4), 1, Some(&progress(WRITTEN_OFF)));
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Failed)]);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    let acknowledged = driver.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "run 2 may be carried out yet");
    assert_ne!(driver.state(1), Some(JobState::Failed));
}

/// Creates a successor that has not read the job, and lets its first worker tell of the ends of orphaned runs.
fn successor_with_orphans(ends: &[(TaskId, Run, RunEnd)]) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.scheduler.set_jobs_read(driver.now);
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.advance(1);
    driver.report(driver.workers[0], &[], ends);
    driver
}

// Guards against an orphaned end of a late job that waits in vain: nothing is written off, so no later run exists.
#[test_case(false; "during the takeover")]
#[test_case(true; "after the takeover")]
fn end_of_a_job_that_is_read_late_is_acknowledged_once_it_is_stored(taken_over: bool) {
    let mut driver = successor_with_orphans(&[done(0, 1)]);
    let at = driver.workers[0];
    if taken_over {
        driver.report_running(driver.workers[1], &[]);
        driver.apply(Event::Ticked);
    }
    assert_eq!(driver.scheduler.is_recovered(), taken_over);
    assert_eq!(driver.scheduler.acknowledged_ends(at), (0, true));
    driver.submit(1, policy(0), vec![step(1, 4)]);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(at), (1, false));
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against an end that waits in vain though the only run that a predecessor may have started later has ended.
#[test_case(false; "later end first")]
#[test_case(true; "done end first")]
fn end_as_done_is_acknowledged_if_the_only_later_run_was_heard_to_have_ended(done_first: bool) {
    let mut driver = successor_after_write_off(2);
    let at = driver.workers[0];
    let failed = (task(0), Run(2), RunEnd::Failed);
    let ends = if done_first {
        [done(0, 1), failed]
    } else {
        [failed, done(0, 1)]
    };
    driver.report(at, &[], &ends);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    assert_eq!(driver.scheduler.acknowledged_ends(at), (2, false));
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a wait for a worker that no predecessor can have sent an order: it is not in the stored roster.
#[test]
fn worker_that_is_first_listed_during_the_takeover_is_not_waited_for() {
    let mut driver = successor(1, step(1, 4), 3, None);
    driver.apply(Event::WorkerListed(worker(1, 4)));
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    assert_eq!(driver.settle().len(), 1);
}

// Guards against a second successor that knows nothing of a draining worker, since the first took it off the roster.
#[test]
fn draining_worker_stays_known_to_a_second_successor_while_its_lease_may_hold() {
    let mut first = successor(2, step(1, 4), 3, None);
    let cut_off = first.workers[0];
    cut_off_while_draining(&mut first, 0);
    let options = Options::default();
    first.advance(options.lease_bound_ms - 100);
    first.apply(Event::Ticked);
    assert!(
        !first.detached.contains(&cut_off),
        "a predecessor may have renewed it"
    );
}

// Guards against a second run beside that of a draining worker that was taken as gone and answers again.
#[test]
fn draining_worker_that_answers_again_keeps_the_run_that_it_has() {
    let mut driver = successor(2, step(1, 4), 3, None);
    driver.report_running(driver.workers[1], &[]);
    cut_off_while_draining(&mut driver, 0);
    driver.advance(500);
    driver.apply(Event::Ticked);
    let early = driver.settle();
    drain(&mut driver, 0);
    let back = driver.workers[driver.workers.len() - 1];
    let back = if back == driver.workers[1] {
        driver.workers[0]
    } else {
        back
    };
    driver.report_running(back, &[(task(0), Run(1), 50)]);
    assert!(early.is_empty(), "run 1 goes on: {early:?}");
    assert!(driver.stops.is_empty(), "its work is lost");
}

// Guards against an end as done that is void because its draining worker was given up after its lease.
#[test]
fn end_of_a_draining_worker_that_answers_after_its_lease_completes_its_task() {
    let mut driver = successor(2, step(1, 4), 3, None);
    driver.report_running(driver.workers[1], &[]);
    cut_off_while_draining(&mut driver, 0);
    pass_longest_wait(&mut driver, |driver| {
        let worker = driver.workers[1];
        driver.apply(Event::Renewing { worker });
        driver.report_running(worker, &[]);
    });
    let again = driver.settle();
    assert_eq!(again.len(), 1);
    drain(&mut driver, 0);
    let back = driver.workers[driver.workers.len() - 1];
    driver.report(back, &[], &[done(0, 1)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a wait for a draining worker by a unit whose only possible run is stored as placed elsewhere.
#[test_case(false; "whose run is no longer there")]
#[test_case(true; "whose run has failed")]
fn unit_placed_on_a_worker_that_has_answered_does_not_wait_for_a_draining_one(has_failed: bool) {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-1"]}}}]}"#;
    let mut driver = successor(3, step(1, 4), 3, Some(&progress(placed)));
    let failed = [(task(0), Run(1), RunEnd::Failed)];
    let ends: &[_] = if has_failed { &failed } else { &[] };
    driver.report(driver.workers[1], &[], ends);
    driver.report_running(driver.workers[2], &[]);
    cut_off_while_draining(&mut driver, 0);
    driver.advance(100);
    driver.apply(Event::Ticked);
    let runs: Vec<_> = driver.settle().iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(2)]);
}

// Guards against a new job that waits for a draining worker on which only inherited ones may be.
#[test]
fn job_submitted_in_the_takeover_does_not_wait_for_a_draining_worker() {
    let mut driver = successor(2, step(1, 4), 3, None);
    driver.report_running(driver.workers[1], &[]);
    cut_off_while_draining(&mut driver, 0);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let mut starts = driver.starts.iter();
    assert!(starts.any(|start| start.task.step.job == JobId(2)));
}

// Guards against an end that is kept for good when its job is cancelled while it waits.
#[test]
fn held_end_is_acknowledged_after_a_cancel() {
    let mut driver = successor_after_write_off(2);
    let (at, other) = (driver.workers[0], driver.workers[1]);
    driver.report(at, &[], &[done(0, 1)]);
    driver.cancel(1);
    driver.report_running(other, &[]);
    driver.apply(Event::Ticked);
    let started = driver.settle();
    assert!(started.is_empty(), "it is cancelled: {started:?}");
    assert!(driver.state(1).is_some_and(JobState::is_terminal));
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(at), (1, false));
}

// Guards against a cancelled job that is shown as completed by an end that may still be followed by a start.
#[test]
fn cancel_of_a_job_whose_end_is_held_takes_effect() {
    let mut driver = successor_after_write_off(2);
    driver.report(driver.workers[0], &[], &[done(0, 1)]);
    driver.record();
    driver.cancel(1);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Cancelled));
}

// Guards against a later start that is excluded because the record still names a worker of the run written off: such a
// name stays when the run is written off by a takeover, and for a gang that was being stopped until its next record.
#[test_case(1, r#"["w-9"]"#; "task written off by a takeover")]
#[test_case(2, r#"["","w-9"]"#; "gang that was being stopped")]
fn end_waits_for_the_other_workers_even_if_the_record_names_a_worker(members: u32, named: &str) {
    let units = format!(r#"{{"0":{{"r":1,"a":1,"w":{named}}}}}"#);
    let text = format!(r#"{{"state":"running","steps":[{{"units":{units}}}]}}"#);
    let step = if members > 1 {
        gang(members)
    } else {
        step(1, 4)
    };
    let mut driver = successor(3, step, 3, Some(&progress(&text)));
    let at = driver.workers[0];
    driver.report(at, &[], &[done(0, 1)]);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    assert_eq!(driver.scheduler.acknowledged_ends(at), (0, true));
}

// Guards against an end that is acknowledged since its own worker has answered, while another one has not.
#[test]
fn end_waits_for_the_other_workers_even_if_its_own_has_answered_twice() {
    let mut driver = successor_after_write_off(2);
    let at = driver.workers[0];
    driver.report_running(at, &[]);
    driver.report(at, &[], &[done(0, 1)]);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    assert_eq!(driver.scheduler.acknowledged_ends(at), (0, true));
}

// Guards against a start beside a run whose worker is stored by name, but drains and is only cut off.
#[test]
fn unit_placed_on_a_draining_worker_that_is_cut_off_waits_for_its_lease() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#;
    let mut driver = successor(2, step(1, 4), 3, Some(&progress(placed)));
    driver.report_running(driver.workers[1], &[]);
    cut_off_while_draining(&mut driver, 0);
    driver.advance(Options::default().lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    let early = driver.settle();
    assert!(early.is_empty(), "run 1 goes on: {early:?}");
}
