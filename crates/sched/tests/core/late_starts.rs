//! Neighbours of the faults that held ends and recorded drains are to exclude.

use syc_sched::Action;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
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

fn draining(index: usize) -> WorkerSpec {
    WorkerSpec {
        draining: true,
        ..worker(index, 4)
    }
}

/// Creates a successor that knows the workers and of which of them all runs are recorded. None has answered yet.
fn successor(
    workers: &[WorkerSpec],
    drained: &[WorkerId],
    step: StepSpec,
    attempts_limit: u32,
    stored: &str,
) -> Driver {
    let mut driver = Driver::new(0, 0);
    let mut limited = policy(0);
    limited.attempts_limit = attempts_limit;
    driver.restore(1, limited, vec![step], Some(&progress(stored)));
    for spec in workers {
        driver.apply(Event::WorkerListed(spec.clone()));
    }
    driver.scheduler.restore_drains(drained);
    driver.scheduler.begin_recovery(driver.now);
    driver
}

/// Writes off the first run of the tasks of a job, and orders second ones that are not answered.
fn second_starts_under_way(
    tasks: u32,
    attempts_limit: u32,
) -> (Driver, Vec<StartOrder>, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 4);
    let mut limited = policy(0);
    limited.attempts_limit = attempts_limit;
    driver.submit(1, limited, vec![step(tasks, 2)]);
    let first = driver.settle();
    let at = first[0].worker;
    assert!(first.iter().all(|start| start.worker == at));
    driver.expire_leases(&[at]);
    driver.record();
    driver.schedule();
    let second = std::mem::take(&mut driver.starts);
    assert!(second.iter().all(|start| start.run == Run(2)));
    (driver, first, second)
}

// Guards against a failed end that is kept for good, and all later ends of its worker with it, if the run that was ordered
// beyond the last attempt is done after all.
#[test]
fn last_failure_is_acknowledged_if_the_run_ordered_beyond_it_is_done() {
    let (mut driver, first, second) = second_starts_under_way(1, 1);
    driver.report_end(&first[0], RunEnd::Failed, &[]);
    driver.record();
    driver.report_end(&second[0], RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    let acknowledged = driver.scheduler.acknowledged_ends(first[0].worker);
    assert_eq!(acknowledged, (1, false), "kept for good");
}

// Guards against a held end of a gang that is forgotten: the member that was found ends before the last worker answers.
#[test]
fn held_end_of_a_gang_is_recorded_once_the_last_worker_has_answered() {
    let workers = [worker(0, 4), worker(1, 4), worker(2, 4)];
    let mut driver = successor(&workers, &[], gang(2), 3, WRITTEN_OFF);
    let (ended, running, late) = (driver.workers[0], driver.workers[1], driver.workers[2]);
    driver.report_running(running, &[(task(1), Run(2), 10)]);
    driver.report(ended, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.apply(Event::Ticked);
    driver.report(running, &[], &[(task(1), Run(2), RunEnd::Stopped)]);
    driver.apply(Event::Ticked);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(ended), (0, true));
    driver.report_running(late, &[]);
    driver.apply(Event::Ticked);
    driver.record();
    assert!(driver.scheduler.is_recovered());
    assert_eq!(driver.state(1), Some(JobState::Completed));
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(ended), (1, false));
}

// Guards against a start after an end as done that is acknowledged because its job has been cancelled (TWICE), in office.
#[test_case(false; "held before the cancel")]
#[test_case(true; "reported after the cancel")]
fn end_as_done_is_not_acknowledged_by_a_cancel_while_a_later_start_may_be_carried_out(late: bool) {
    let (mut driver, first, _second) = second_starts_under_way(1, 3);
    if late {
        driver.cancel(1);
    }
    driver.report_end(&first[0], RunEnd::Done, &[]);
    driver.cancel(1);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first[0].worker);
    assert_eq!(acknowledged, (0, true), "run 2 may be carried out yet");
}

// Guards against the same in a takeover.
#[test]
fn successor_does_not_acknowledge_an_end_as_done_by_a_cancel_while_a_start_may_be_carried_out() {
    let mut driver = successor(
        &[worker(0, 4), worker(1, 4)],
        &[],
        step(1, 4),
        3,
        WRITTEN_OFF,
    );
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.cancel(1);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    let acknowledged = driver.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "run 2 may be carried out yet");
}

// Guards against the same if another task of the job has no attempt left.
#[test]
fn end_as_done_is_not_acknowledged_by_another_tasks_failure_while_a_later_start_may_be_carried_out()
{
    let (mut driver, first, second) = second_starts_under_way(2, 1);
    driver.report_end(&first[0], RunEnd::Done, &[]);
    let other = second.iter().find(|start| start.task == first[1].task);
    driver.report_end(other.expect("started again"), RunEnd::Failed, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Failed));
    let acknowledged = driver.scheduler.acknowledged_ends(first[0].worker);
    assert_eq!(acknowledged, (0, true), "run 2 may be carried out yet");
}

// Guards against a second start of a task that is done on a draining worker, which has not listed that end yet.
#[test]
fn draining_worker_with_more_ends_is_not_recorded_as_known() {
    let unknown = r#"{"state":"queued","steps":[]}"#;
    let mut driver = successor(&[draining(0), worker(1, 4)], &[], step(1, 4), 3, unknown);
    let at = driver.workers[0];
    let mut recorded = Vec::new();
    for _ in 0..4 {
        driver.advance(20);
        driver.report_some_ends(at);
        recorded.extend(driver.scheduler.handle(Event::Ticked, driver.now));
        driver.record();
    }
    recorded.retain(|action| matches!(action, Action::RecordDrain(_)));
    assert!(recorded.is_empty(), "ends are outstanding: {recorded:?}");
}

// Guards against the second start itself: a second successor that trusts such a record.
#[test]
fn task_done_on_a_recorded_draining_worker_with_more_ends_is_not_started_again() {
    let unknown = r#"{"state":"queued","steps":[]}"#;
    let workers = [draining(0), worker(1, 4)];
    let mut first = successor(&workers, &[], step(1, 4), 3, unknown);
    let mut recorded = Vec::new();
    for _ in 0..4 {
        first.advance(20);
        let report = WorkerReport {
            has_more_ends: true,
            ..WorkerReport::default()
        };
        let renewed = Event::Renewed {
            worker: first.workers[0],
            sent_at: first.now,
            report,
        };
        first.apply(renewed);
        for action in first.scheduler.handle(Event::Ticked, first.now) {
            if let Action::RecordDrain(id) = action {
                recorded.push(id);
            }
        }
    }
    let mut second = successor(&workers, &recorded, step(1, 4), 3, unknown);
    second.report_running(second.workers[1], &[]);
    second.apply(Event::Ticked);
    let started = second.settle();
    assert!(started.is_empty(), "its run was not ruled out: {started:?}");
}

// Guards against a worker that is named by a stored start, but is in no readable part of the roster.
#[test]
fn end_waits_for_the_worker_of_a_stored_start_that_is_not_attached() {
    let named = r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":1,"w":["w-9"]}}}]}"#;
    let mut driver = successor(&[worker(0, 4)], &[], step(1, 4), 3, named);
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.apply(Event::Ticked);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    let acknowledged = driver.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "w-9 may carry out run 2 yet");
}

fn life(started_ms: u64, draining: bool) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::of_life("w", Some(started_ms)),
        draining,
        ..worker(5, 4)
    }
}

// Guards against a start beside a predecessor's order that reaches the next incarnation of its worker.
#[test_case(true; "draining, recorded")]
#[test_case(false; "not draining")]
fn unit_on_a_worker_that_restarts_in_a_takeover_waits_for_the_next_incarnation(is_draining: bool) {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":1,"w":["W"]}}}]}"#;
    let old = life(1, is_draining);
    let placed = placed.replace('W', old.id.as_str());
    let drained = [old.id.clone()];
    let drained = if is_draining { &drained[..] } else { &[] };
    let workers = [old, worker(0, 4)];
    let mut driver = successor(&workers, drained, step(1, 4), 3, &placed);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Restarted {
        worker: driver.workers[0],
    });
    driver.apply(Event::WorkerListed(life(2, false)));
    driver.apply(Event::Ticked);
    let mut started = driver.settle();
    driver.apply(Event::Ticked);
    started.extend(driver.settle());
    assert!(started.is_empty(), "run 2 may be there: {started:?}");
}

// Guards against a held failure that waits for the member of an earlier start: two numbers in one state.
#[test]
fn exhausted_gang_fails_once_the_recorded_member_on_a_draining_worker_has_ended() {
    let closing =
        r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":2,"f":1,"xs":[1],"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, gang(2), 1, closing);
    for worker in driver.workers.clone() {
        driver.report_running(worker, &[]);
    }
    driver.apply(Event::Ticked);
    driver.record();
    assert!(driver.scheduler.is_recovered());
    assert_eq!(driver.state(1), Some(JobState::Failed));
}

// Guards against a task that stands still for good behind a silent draining worker whose runs are assumed.
#[test]
fn unit_assumed_on_a_silent_draining_worker_starts_once_its_lease_is_over() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, step(1, 4), 3, placed);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[0],
    });
    driver.apply(Event::WorkerUnlisted(drained[0].clone()));
    let options = Options::default();
    driver.report_running(driver.workers[1], &[]);
    driver.advance(options.authority_ms + options.lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    assert!(driver.settle().is_empty());
    driver.advance(200);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    let started = driver.settle();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run, Run(2));
}

// Guards against a fault that only the consistency check ends, seconds later: no member is left of what is held.
#[test]
fn held_end_of_a_gang_does_not_need_the_consistency_check() {
    let workers = [worker(0, 4), worker(1, 4), worker(2, 4)];
    let mut driver = successor(&workers, &[], gang(2), 3, WRITTEN_OFF);
    let (ended, running, late) = (driver.workers[0], driver.workers[1], driver.workers[2]);
    driver.report_running(running, &[(task(1), Run(2), 10)]);
    driver.report(ended, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.apply(Event::Ticked);
    driver.report(running, &[], &[(task(1), Run(2), RunEnd::Stopped)]);
    driver.report_running(late, &[]);
    let mut waited_ms = 0;
    while driver.state(1) != Some(JobState::Completed) && waited_ms < 20_000 {
        driver.advance(20);
        waited_ms += 20;
        for worker in driver.workers.clone() {
            driver.apply(Event::Renewing { worker });
            driver.report_running(worker, &[]);
        }
        driver.apply(Event::Ticked);
        driver.record();
    }
    assert!(
        driver.missing_runs.is_empty(),
        "{waited_ms} ms: {:?}",
        driver.missing_runs
    );
}

// Guards against a gang whose member on a recorded draining worker is given up while the other members are unknown.
#[test]
fn gang_with_a_member_on_a_recorded_draining_worker_is_adopted_as_a_whole() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0","w-1"]}}}]}"#;
    let workers = [draining(0), worker(1, 4), worker(2, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, gang(2), 3, placed);
    for (index, running) in [(1, Some(1)), (2, None), (0, Some(0))] {
        let running: Vec<_> = running
            .map(|member| (task(member), Run(1), 10))
            .into_iter()
            .collect();
        driver.report_running(driver.workers[index], &running);
        driver.apply(Event::Ticked);
    }
    assert!(driver.scheduler.is_recovered());
    assert!(driver.settle().is_empty());
    assert!(driver.stops.is_empty(), "{:?}", driver.stops);
}

// Guards against a second start of a task while the predecessor's one may be on a draining worker that lists its runs, but
// not all ends, and is not asked for longer than its first answer.
#[test]
fn unit_assumed_on_a_draining_worker_with_more_ends_waits_for_them() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, step(1, 4), 3, placed);
    driver.report_running(driver.workers[1], &[]);
    for _ in 0..4 {
        driver.report_some_ends(driver.workers[0]);
        driver.apply(Event::Ticked);
        assert!(driver.settle().is_empty());
    }
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a run of a cancelled job that goes on since it is recorded on a draining worker.
#[test]
fn recorded_run_of_a_cancelled_job_is_stopped_on_its_draining_worker() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":1,"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, step(1, 4), 3, placed);
    driver.cancel(1);
    driver.record();
    driver.report_running(driver.workers[0], &[(task(0), Run(2), 10)]);
    assert_eq!(driver.stops.len(), 1, "run 2 goes on");
    driver.report(
        driver.workers[0],
        &[],
        &[(task(0), Run(2), RunEnd::Stopped)],
    );
    driver.record();
    assert_eq!(
        driver.scheduler.acknowledged_ends(driver.workers[0]),
        (1, false)
    );
}

// Guards against a wait until a takeover ends though the only possible later run is known and stored to have ended.
#[test]
fn end_as_done_is_not_held_once_the_only_later_run_is_stored_as_ended() {
    let workers = [worker(0, 4), worker(1, 4)];
    let mut driver = successor(&workers, &[], step(1, 4), 3, WRITTEN_OFF);
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(2), RunEnd::Stopped)]);
    driver.record();
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.apply(Event::Ticked);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

// Guards against a start beside that of a member which a worker lists again once its gang has been written off.
#[test]
fn gang_does_not_start_before_a_recorded_member_on_a_draining_worker_has_ended() {
    let closing = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"a":1,"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4), worker(2, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, gang(2), 3, closing);
    driver.report_running(driver.workers[1], &[]);
    driver.report_running(driver.workers[2], &[]);
    driver.apply(Event::Ticked);
    assert!(driver.scheduler.is_recovered());
    assert!(driver.settle().is_empty(), "member 0 goes on");
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), RunEnd::Broken)]);
    let started = driver.settle();
    assert_eq!(started.len(), 2);
    assert_eq!(started[0].run, Run(2));
}

// Guards against a second successor that finds a worker neither in the roster nor in a record, although it may still carry
// out the start of the first predecessor: the first successor took it off when its gang member was lost.
#[test]
fn worker_given_up_in_a_takeover_is_forgotten_only_once() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#;
    let workers = [worker(0, 4), worker(1, 4)];
    let mut driver = successor(&workers, &[], step(1, 4), 3, placed);
    driver.report_some_ends(driver.workers[1]);
    let mut actions = driver.scheduler.handle(
        Event::Replaced {
            worker: driver.workers[0],
        },
        driver.now,
    );
    actions.extend(driver.scheduler.handle(Event::Ticked, driver.now));
    let forgotten = |actions: &[Action]| {
        let of_worker = |action: &&Action| matches!(action, Action::ForgetWorker(_));
        actions.iter().filter(of_worker).count()
    };
    assert_eq!(forgotten(&actions), 0, "the takeover is not complete");
    // Its entry is listed again before the platform notices that it is gone.
    driver.apply(Event::WorkerListed(worker(0, 4)));
    driver.report_running(driver.workers[1], &[]);
    let back = driver.workers[driver.workers.len() - 1];
    let mut later = driver.scheduler.handle(Event::Ticked, driver.now);
    assert!(driver.scheduler.is_recovered());
    assert_eq!(forgotten(&later), 0, "it is attached again");
    later.extend(
        driver
            .scheduler
            .handle(Event::Replaced { worker: back }, driver.now),
    );
    assert_eq!(forgotten(&later), 1);
}

// Guards against a start beyond the number that follows the stored end: a first successor found no member of a recorded
// start, and started the gang again before it had stored that. A second one took the recorded workers for the only ones.
#[test]
fn gang_started_by_a_first_successor_elsewhere_than_recorded_is_not_shown_as_done_by_a_second_one()
{
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":1,"w":["w-0","w-1"]}}}]}"#;
    let workers = [worker(0, 4), worker(1, 4), worker(2, 4), worker(3, 4)];
    let mut first = successor(&workers, &[], gang(2), 3, placed);
    for key in first.workers.clone() {
        first.report_running(key, &[]);
    }
    for busy in [0, 1] {
        first.apply(Event::RenewalFailed {
            worker: first.workers[busy],
        });
    }
    first.apply(Event::Ticked);
    assert!(first.scheduler.is_recovered());
    first.schedule();
    assert!(first.stored_progress.is_empty(), "nothing is stored yet");
    assert!(first.starts.is_empty(), "not stored as ended, and started");
    first.record();
    first.schedule();
    assert_eq!(first.starts.len(), 2, "stored as ended");
    assert_eq!(first.starts[0].worker, first.workers[2]);
    let stored = serde_json::to_string(&first.stored_progress[&JobId(1)]);
    let stored = stored.expect("a progress record");
    let mut second = successor(&workers, &[], gang(2), 3, &stored);
    let at = second.workers[0];
    second.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    second.report_running(second.workers[1], &[]);
    second.apply(Event::Ticked);
    second.record();
    assert!(!second.scheduler.is_recovered());
    let acknowledged = second.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (0, true), "the other two have not answered");
}

// Guards against the same for a task whose recorded worker reports nothing and leaves before the next tick.
#[test]
fn task_is_not_started_elsewhere_than_recorded_before_its_recorded_start_is_stored_as_ended() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":2,"a":1,"w":["w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let mut driver = successor(&workers, &[], step(1, 4), 3, placed);
    driver.report_running(driver.workers[1], &[]);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::WorkerUnlisted(workers[0].id.clone()));
    driver.apply(Event::Ticked);
    assert!(driver.scheduler.is_recovered());
    driver.schedule();
    let started = &driver.starts;
    assert!(
        started.is_empty(),
        "run 2 is not stored as ended: {started:?}"
    );
}

// Guards against a successor that can't take over because of a record that names more workers than there are members.
#[test]
fn record_with_more_workers_than_members_does_not_end_the_successor() {
    let placed = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-1","w-0"]}}}]}"#;
    let workers = [draining(0), worker(1, 4)];
    let drained = [draining(0).id];
    let mut driver = successor(&workers, &drained, step(1, 4), 3, placed);
    driver.report_running(driver.workers[0], &[]);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    assert!(driver.scheduler.is_recovered());
}

// Guards against a held end that waits for a worker that is gone: an earlier run on it was taken for the later one.
#[test]
fn held_end_of_a_gang_does_not_wait_for_a_worker_of_its_earlier_run_that_restarts() {
    let closing = r#"{"state":"running","steps":[{"units":{"0":{"r":1,"a":1,"w":["w-0","W"]}}}]}"#;
    let old = life(1, false);
    let closing = closing.replace('W', old.id.as_str());
    let workers = [worker(0, 4), old, worker(1, 4)];
    let mut driver = successor(&workers, &[], gang(2), 3, &closing);
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.apply(Event::Restarted {
        worker: driver.workers[1],
    });
    driver.apply(Event::WorkerListed(life(2, false)));
    for worker in [driver.workers[2], driver.workers[3]] {
        driver.report_running(worker, &[]);
    }
    for start in std::mem::take(&mut driver.stops) {
        let task = (start.task, start.run, RunEnd::Stopped);
        driver.report(start.worker, &[], &[task]);
    }
    driver.apply(Event::Ticked);
    driver.record();
    driver.apply(Event::Ticked);
    driver.record();
    assert!(driver.scheduler.is_recovered());
    assert_eq!(driver.state(1), Some(JobState::Completed));
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(at), (1, false));
}

// Guards against memory that grows with each end that is held while no takeover is under way.
#[test]
fn ends_held_in_office_are_not_kept_once_they_are_recorded() {
    let (mut driver, first, second) = second_starts_under_way(1, 3);
    driver.report_end(&first[0], RunEnd::Done, &[]);
    assert_eq!(driver.scheduler.counts(driver.now).held_ends, 1);
    driver.report_end(&second[0], RunEnd::Stopped, &[]);
    driver.record();
    driver.apply(Event::Ticked);
    assert_eq!(driver.state(1), Some(JobState::Completed));
    assert_eq!(driver.scheduler.counts(driver.now).held_ends, 0);
}
