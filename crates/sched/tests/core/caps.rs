//! Caps of workspaces: no start brings what a workspace may have running above its cap.

use syc_sched::Action;
use syc_sched::Cancellation;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Note;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::Schedule;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;
use syc_workspace::WorkspacePolicy;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::cpu;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

fn gang(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks, cores)
    }
}

/// Ends runs as done, one at a time, and stores that. The `others` go on.
fn finish_beside(driver: &mut Driver, starts: &[StartOrder], others: &[StartOrder]) {
    for (index, start) in starts.iter().enumerate() {
        let left = starts[index + 1..].iter().chain(others);
        let here = left.filter(|other| other.worker == start.worker);
        let running: Vec<_> = here.map(|other| (other.task, other.run, 50)).collect();
        driver.report_end(start, RunEnd::Done, &running);
    }
    driver.record();
}

/// Ends all runs as done.
fn finish(driver: &mut Driver, starts: &[StartOrder]) {
    finish_beside(driver, starts, &[]);
}

/// Creates a scheduler with a job of workspace `a` that fills its cap of two cores on the first of two workers.
fn at_the_cap() -> (Driver, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 2)]);
    driver.submit_for("a", 1, policy(0), vec![step(4, 1)]);
    let started = driver.start_all();
    assert_eq!(started.len(), 2);
    (driver, started)
}

#[test]
fn a_workspace_runs_no_more_than_its_cap_over_all_workers() {
    let (mut driver, started) = at_the_cap();
    driver.submit_for("a", 2, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty());
    finish_beside(&mut driver, &started[..1], &started[1..]);
    assert_eq!(driver.start_all().len(), 1);
}

#[test]
fn other_workspaces_and_jobs_of_none_are_not_held_up() {
    let (mut driver, _started) = at_the_cap();
    driver.submit_for("b", 2, policy(0), vec![step(2, 1)]);
    driver.submit(3, policy(0), vec![step(2, 1)]);
    assert_eq!(driver.start_all().len(), 4);
}

#[test_case(Resources { memory_bytes: 3 << 30, ..Resources::ZERO }, 3; "memory")]
#[test_case(Resources { accelerators: 1, ..Resources::ZERO }, 2; "accelerators")]
fn caps_hold_for_each_kind_of_resource(need: Resources, runs: usize) {
    let mut driver = Driver::new(0, 0);
    let capacity = Resources {
        accelerators: 8,
        ..cpu(16)
    };
    for index in 0..2 {
        driver.apply(Event::WorkerListed(WorkerSpec {
            capacity,
            ..worker(index, 16)
        }));
    }
    for key in driver.workers.clone() {
        driver.report_running(key, &[]);
    }
    let mut capped = WorkspacePolicy::unlimited("a".into());
    capped.cap.memory_bytes = 9 << 30;
    capped.cap.accelerators = 2;
    driver.apply(Event::WorkspacesSet(vec![capped]));
    let spec = StepSpec {
        resources: need,
        ..step(8, 0)
    };
    driver.submit_for("a", 1, policy(0), vec![spec]);
    assert_eq!(driver.start_all().len(), runs);
}

/// What only fills idle processor time runs all the same.
#[test]
fn filling_tasks_count_towards_the_cap() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 3)]);
    let fills = StepSpec {
        fills: true,
        ..step(8, 1)
    };
    driver.submit_for("a", 1, policy(0), vec![fills]);
    let started = driver.start_all().len();
    assert!(started > 0 && started <= 3);
}

#[test]
fn an_unanswered_start_counts() {
    let (mut driver, _) = at_the_cap();
    driver.set_caps(&[("a", 3)]);
    driver.schedule();
    let start = driver.starts.pop().expect("one start more");
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer: StartAnswer::InDoubt,
    });
    driver.schedule();
    assert!(driver.starts.is_empty());
}

/// The worker may get the first order after the cap has fallen, which nothing prevents, but must not get another.
#[test]
fn an_unanswered_start_is_not_repeated_after_the_cap_fell() {
    let (mut driver, _) = at_the_cap();
    driver.set_caps(&[("a", 3)]);
    driver.schedule();
    let start = driver.starts.pop().expect("one start more");
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer: StartAnswer::InDoubt,
    });
    driver.record();
    driver.set_caps(&[("a", 2)]);
    driver.advance(Options::default().order_retry_ms * 2);
    driver.apply(Event::Ticked);
    assert!(driver.starts.is_empty());
    assert_eq!(driver.stops.len(), 1);
    assert_eq!(driver.stops[0].task, start.task);
}

#[test]
fn a_run_that_is_being_stopped_counts_until_it_has_ended() {
    let (mut driver, started) = at_the_cap();
    driver.submit_for("a", 2, policy(0), vec![step(1, 1)]);
    let cancelled = Cancellation {
        job: JobId(1),
        workspace: Some("a".into()),
    };
    driver.apply(Event::JobCancelled(cancelled));
    assert_eq!(driver.stops.len(), 2);
    for start in &started {
        driver.accept_stop(start);
    }
    driver.record();
    assert!(driver.start_all().is_empty());
    for (index, start) in started.iter().enumerate() {
        let rest = started[index + 1..].iter();
        let rest: Vec<_> = rest.map(|other| (other.task, other.run, 50)).collect();
        driver.report_end(start, RunEnd::Stopped, &rest);
    }
    driver.record();
    assert_eq!(driver.start_all().len(), 1);
}

/// A worker that is cut off runs on until its lease expires.
#[test]
fn runs_on_a_silent_worker_count_until_their_lease_has_expired() {
    let (mut driver, started) = at_the_cap();
    let silent = started[0].worker;
    let other = driver.workers.iter().copied().find(|key| *key != silent);
    let other = other.expect("two workers");
    driver.submit_for("a", 2, policy(0), vec![step(2, 1)]);
    driver.renew_leases();
    driver.apply(Event::RenewalFailed { worker: silent });
    driver.advance(Options::default().lease_bound_ms - 10);
    driver.apply(Event::Renewing { worker: other });
    driver.report_running(other, &[]);
    driver.apply(Event::Ticked);
    driver.record();
    assert!(driver.start_all().is_empty());
    driver.advance(20);
    driver.apply(Event::Ticked);
    driver.record();
    assert_eq!(driver.start_all().len(), 2);
}

/// A start that may have reached the next incarnation of its worker may run there.
#[test]
fn a_start_that_may_have_reached_the_next_incarnation_counts() {
    let mut driver = Driver::new(0, 0);
    let life = |started_ms| WorkerSpec {
        id: WorkerId::of_life("w-0", Some(started_ms)),
        ..worker(0, 8)
    };
    driver.apply(Event::WorkerListed(life(1)));
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::WorkerListed(worker(1, 8)));
    driver.report_running(driver.workers[1], &[]);
    driver.set_caps(&[("a", 8)]);
    driver.submit_for("a", 1, policy(0), vec![step(1, 8)]);
    driver.schedule();
    let start = driver.starts.pop().expect("a start");
    driver.submit_for("a", 2, policy(0), vec![step(1, 8)]);
    driver.apply(Event::Restarted {
        worker: start.worker,
    });
    driver.schedule();
    assert!(driver.starts.is_empty());
    driver.advance(Options::default().max_lease_ms);
    driver.apply(Event::Ticked);
    driver.record();
    // The suspected task gets a worker, which the store has to have before it starts.
    driver.schedule();
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn nothing_is_stopped_and_nothing_starts_after_the_cap_fell_below_what_runs() {
    let (mut driver, started) = at_the_cap();
    driver.set_caps(&[("a", 1)]);
    driver.schedule();
    assert!(driver.stops.is_empty());
    finish_beside(&mut driver, &started[..1], &started[1..]);
    assert!(driver.start_all().is_empty(), "one core is still in use");
    finish(&mut driver, &started[1..]);
    assert_eq!(driver.start_all().len(), 1);
}

#[test]
fn work_starts_once_the_cap_rises() {
    let (mut driver, _started) = at_the_cap();
    driver.set_caps(&[("a", 3)]);
    assert_eq!(driver.start_all().len(), 1);
}

/// A workspace that left the configuration keeps its cap: its jobs are still to be run.
#[test]
fn a_workspace_that_left_the_configuration_keeps_its_cap() {
    let (mut driver, started) = at_the_cap();
    driver.set_caps(&[("b", 1)]);
    assert!(driver.start_all().is_empty());
    finish_beside(&mut driver, &started[..1], &started[1..]);
    assert_eq!(driver.start_all().len(), 1);
}

/// Until the scheduler has read a configuration, it knows no caps.
#[test]
fn jobs_of_workspaces_wait_until_the_policies_are_known() {
    let mut driver = Driver::new(2, 8);
    driver.submit_for("a", 1, policy(0), vec![step(1, 1), gang(2, 1)]);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    assert_eq!(driver.start_all().len(), 1, "only the job of no workspace");
    driver.set_caps(&[]);
    assert_eq!(driver.start_all().len(), 3);
}

#[test]
fn a_gang_counts_whole() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 5)]);
    driver.submit_for("a", 1, policy(0), vec![gang(3, 1)]);
    driver.submit_for("a", 2, policy(0), vec![gang(3, 1)]);
    let first = driver.start_all();
    assert_eq!(first.len(), 3);
    finish(&mut driver, &first);
    assert_eq!(driver.start_all().len(), 3);
}

/// Less urgent tasks that fit beside a waiting gang would keep it waiting again and again.
#[test]
fn a_gang_that_waits_for_the_cap_is_not_overtaken_by_less_urgent_tasks() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 4)]);
    driver.submit_for("a", 1, policy(1), vec![step(3, 1)]);
    let running = driver.start_all();
    assert_eq!(running.len(), 3);
    driver.submit_for("a", 2, policy(1), vec![gang(4, 1)]);
    driver.submit_for("a", 3, policy(2), vec![step(8, 1)]);
    assert!(driver.start_all().is_empty());
    finish(&mut driver, &running);
    let started = driver.start_all();
    let jobs: Vec<_> = started.iter().map(|start| start.task.step.job.0).collect();
    assert_eq!(jobs, [2, 2, 2, 2]);
}

/// A steady stream of more urgent tasks would keep it waiting for ever.
#[test]
fn a_gang_that_waits_for_long_goes_before_more_urgent_tasks() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 4)]);
    driver.submit_for("a", 1, policy(0), vec![step(2, 1)]);
    let first = driver.start_all();
    driver.submit_for("a", 2, policy(1), vec![gang(4, 1)]);
    driver.submit_for("a", 3, policy(0), vec![step(2, 1)]);
    let second = driver.start_all();
    assert_eq!(second.len(), 2, "the urgent ones, while the gang waits");
    driver.schedule();
    driver.advance(1_000);
    driver.schedule();
    driver.submit_for("a", 4, policy(0), vec![step(2, 1)]);
    finish_beside(&mut driver, &first, &second);
    assert!(
        driver.start_all().is_empty(),
        "the rest is kept for the gang"
    );
    finish(&mut driver, &second);
    let jobs: Vec<_> = driver.start_all();
    assert!(jobs.iter().all(|start| start.task.step.job.0 == 2));
    assert_eq!(jobs.len(), 4);
}

/// If the reserved gang waited for what another claims, and that one for the reservation, neither would ever start.
#[test]
fn a_gang_with_a_reservation_does_not_wait_for_claims() {
    let mut driver = Driver::new(1, 8);
    driver.set_caps(&[("a", 8)]);
    let saves = StepSpec {
        checkpointed: true,
        ..step(8, 1)
    };
    driver.submit(1, policy(2), vec![saves]);
    let batch = driver.start_all();
    let running: Vec<_> = batch.iter().map(|run| (run.task, run.run, 50)).collect();
    driver.report_running(batch[0].worker, &running);
    driver.submit_for("a", 2, policy(1), vec![gang(6, 1)]);
    driver.schedule();
    assert_eq!(driver.stops.len(), 6, "room is made for it");
    driver.submit_for("a", 3, policy(0), vec![gang(5, 1)]);
    driver.schedule();
    driver.advance(1_500);
    driver.schedule();
    for (index, start) in batch.iter().enumerate() {
        driver.report_end(start, RunEnd::Stopped, &running[index + 1..]);
    }
    driver.record();
    let started = driver.start_all();
    assert!(!started.is_empty());
}

/// What waits for the cap must not hold up the rest while half of the cap is free.
#[test]
fn a_workspace_under_half_of_its_cap_always_moves() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 10)]);
    driver.submit_for("a", 1, policy(1), vec![step(4, 1)]);
    let running = driver.start_all();
    assert_eq!(running.len(), 4);
    driver.submit_for("a", 2, policy(1), vec![gang(8, 1)]);
    driver.submit_for("a", 3, policy(2), vec![step(1, 1)]);
    assert_eq!(driver.start_all().len(), 1, "the task beside the gang");
}

/// A gang that finds no room after all holds up the others for a while only.
#[test]
fn the_claim_of_a_gang_ends() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 10)]);
    driver.submit_for("a", 1, policy(1), vec![step(6, 1)]);
    let running = driver.start_all();
    assert_eq!(running.len(), 6);
    driver.submit_for("a", 2, policy(2), vec![gang(8, 1)]);
    driver.schedule();
    driver.advance(1_000);
    driver.submit_for("a", 3, policy(1), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty(), "the gang goes first");
    driver.advance(2_500);
    assert_eq!(driver.start_all().len(), 1, "the others have a turn");
}

/// Otherwise the backlog of a workspace that floods would hold up its own urgent work, one task after the other.
#[test]
fn single_tasks_that_wait_for_long_stay_behind_more_urgent_ones() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 4)]);
    driver.submit_for("a", 1, policy(1), vec![step(8, 1)]);
    let first = driver.start_all();
    assert_eq!(first.len(), 4);
    driver.schedule();
    driver.advance(5_000);
    driver.submit_for("a", 2, policy(0), vec![step(1, 1)]);
    finish_beside(&mut driver, &first[..1], &first[1..]);
    let started = driver.start_all();
    assert_eq!(started[0].task.step.job.0, 2);
}

/// What can run on no worker would keep the cap free for ever.
#[test]
fn a_task_that_fits_no_worker_keeps_nothing_free() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 10)]);
    driver.submit_for("a", 1, policy(0), vec![step(1, 9)]);
    driver.submit_for("a", 2, policy(1), vec![step(3, 3)]);
    assert_eq!(driver.start_all().len(), 3);
    driver.submit_for("a", 3, policy(1), vec![step(1, 1)]);
    driver.schedule();
    driver.advance(5_000);
    assert_eq!(driver.start_all().len(), 1);
}

/// The job was accepted before the cap fell, and must not wait for ever.
#[test]
fn a_task_beyond_a_fallen_cap_runs_alone() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 8)]);
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    let first = driver.start_all();
    driver.submit_for("a", 2, policy(0), vec![step(2, 4)]);
    driver.set_caps(&[("a", 2)]);
    assert!(driver.start_all().is_empty(), "something runs");
    finish(&mut driver, &first);
    let alone = driver.start_all();
    assert_eq!(alone.len(), 1);
    driver.submit_for("a", 3, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty());
    finish(&mut driver, &alone);
    assert_eq!(driver.start_all().len(), 1);
}

#[test]
fn a_gang_beyond_a_fallen_cap_waits_and_holds_up_nothing() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 8)]);
    driver.submit_for("a", 1, policy(0), vec![step(8, 1)]);
    let first = driver.start_all();
    assert_eq!(first.len(), 8);
    driver.submit_for("a", 2, policy(0), vec![gang(4, 1)]);
    driver.set_caps(&[("a", 2)]);
    finish(&mut driver, &first);
    assert!(driver.start_all().is_empty());
    driver.advance(60_000);
    driver.submit_for("a", 3, policy(1), vec![step(1, 1)]);
    assert_eq!(driver.start_all().len(), 1);
    assert_eq!(driver.state(2), Some(JobState::Queued));
    driver.set_caps(&[("a", 8)]);
    assert_eq!(driver.start_all().len(), 4);
}

/// Work that is preempted for a unit still runs, and the unit's reservation counts meanwhile.
#[test]
fn a_reservation_counts_towards_the_cap() {
    let mut driver = Driver::new(1, 4);
    driver.set_caps(&[("a", 4)]);
    let saves = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    driver.submit(1, policy(2), vec![saves]);
    let batch = driver.start_all();
    let running: Vec<_> = batch.iter().map(|run| (run.task, run.run, 50)).collect();
    driver.report_running(batch[0].worker, &running);
    driver.submit_for("a", 2, policy(0), vec![step(1, 4)]);
    driver.schedule();
    assert_eq!(driver.stops.len(), 4, "all make room");
    driver.apply(Event::WorkerListed(worker(7, 8)));
    let second = driver.workers[1];
    driver.report_running(second, &[]);
    driver.submit_for("a", 3, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty(), "the cap is reserved");
}

fn successor(workers: usize) -> Driver {
    let mut driver = Driver::new(0, 0);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.set_caps(&[("a", 4), ("b", 9)]);
    driver
}

/// What a predecessor started is not known before its workers have reported.
#[test]
fn workers_that_have_not_reported_count_whole_in_a_takeover() {
    let mut driver = successor(2);
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    driver.submit_for("b", 2, policy(0), vec![step(4, 1)]);
    driver.report_running(driver.workers[0], &[]);
    assert_eq!(
        driver.start_all().len(),
        4,
        "b may have four cores elsewhere"
    );
    driver.report_running(driver.workers[1], &[]);
    let started = driver.start_all();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.step.job.0, 1);
}

#[test]
fn a_worker_that_never_reports_counts_until_its_lease_has_expired() {
    let mut driver = successor(2);
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[1],
    });
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    assert!(driver.start_all().is_empty());
    driver.advance(200);
    driver.apply(Event::Ticked);
    assert_eq!(driver.start_all().len(), 1);
}

/// Nobody knows yet whose run it is.
#[test]
fn a_run_of_an_unread_job_counts_for_each_workspace() {
    let mut driver = Driver::new(0, 0);
    driver.scheduler.set_jobs_read(driver.now);
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.set_caps(&[("a", 4)]);
    driver.advance(1);
    driver.report_running(driver.workers[0], &[(task(0), Run(1), 40)]);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    driver.submit_for("a", 2, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty());
    driver.submit_for("b", 1, policy(0), vec![step(1, 1)]);
    assert_eq!(driver.start_all().len(), 1, "it is that of b");
    assert!(driver.stops.is_empty());
}

#[test]
fn adopted_runs_count() {
    let mut driver = Driver::new(0, 0);
    driver.apply(Event::WorkerListed(worker(0, 8)));
    let spec = JobSpec {
        workspace: Some("a".into()),
        ..crate::driver::job(1, policy(0), vec![step(2, 2)], Schedule::default())
    };
    driver.scheduler.restore_job(spec, None, 10, driver.now);
    driver.scheduler.begin_recovery(driver.now);
    driver.set_caps(&[("a", 4)]);
    let running = [(task(0), Run(1), 40), (task(1), Run(1), 40)];
    driver.report_running(driver.workers[0], &running);
    driver.apply(Event::Ticked);
    driver.submit_for("a", 2, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty());
}

/// A cancellation by another workspace, before or after the job is known, changes nothing.
#[test_case(false; "after the job")]
#[test_case(true; "before the job")]
fn a_job_is_cancelled_only_by_its_own_workspace(early: bool) {
    let mut driver = Driver::new(1, 8);
    driver.set_caps(&[]);
    let cancel = |driver: &mut Driver, workspace: Option<&str>| {
        driver.apply(Event::JobCancelled(Cancellation {
            job: JobId(1),
            workspace: workspace.map(Into::into),
        }));
    };
    if early {
        cancel(&mut driver, Some("b"));
        cancel(&mut driver, None);
    }
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    cancel(&mut driver, Some("b"));
    cancel(&mut driver, None);
    assert_eq!(driver.start_all().len(), 1);
    cancel(&mut driver, Some("a"));
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Cancelled));
    assert_eq!(driver.stops[0].reason, StopReason::JobEnded);
}

#[test]
fn an_early_cancellation_by_the_own_workspace_is_heeded() {
    let mut driver = Driver::new(1, 8);
    driver.set_caps(&[]);
    for workspace in ["a", "b"] {
        driver.apply(Event::JobCancelled(Cancellation {
            job: JobId(1),
            workspace: Some(workspace.into()),
        }));
    }
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    assert!(driver.start_all().is_empty());
}

#[test]
fn a_repeated_submit_by_another_workspace_changes_nothing() {
    let mut driver = Driver::new(1, 8);
    driver.set_caps(&[]);
    driver.submit_for("a", 1, policy(0), vec![step(1, 1)]);
    driver.submit_for("b", 1, policy(0), vec![step(4, 1)]);
    assert_eq!(driver.start_all().len(), 1);
    let (a, b) = ("a".into(), "b".into());
    let id = JobId(1);
    assert!(driver.scheduler.may_access(id, Some(&a)));
    assert!(!driver.scheduler.may_access(id, Some(&b)));
    assert!(!driver.scheduler.may_access(id, None));
}

/// A wrong count would start work beyond a cap, or none at all.
#[test]
fn counts_agree_with_the_runs_all_along() {
    let (mut driver, started) = at_the_cap();
    driver.submit_for("b", 2, policy(0), vec![gang(3, 1)]);
    driver.start_all();
    driver.now = Millis(5_000);
    finish_beside(&mut driver, &started[..1], &started[1..]);
    let actions = driver.scheduler.handle(Event::Ticked, driver.now);
    let is_wrong = |action: &Action| matches!(action, Action::Note(Note::UsageWrong));
    assert!(!actions.iter().any(is_wrong));
}
