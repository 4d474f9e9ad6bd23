//! Workers that crash, restart, fall silent or have unreadable entries.

use syc_cell::Configuration;
use syc_cell::PendingAnswer;
use syc_fleet::RunEvent;
use syc_fleet::SharedFaults;
use syc_sched::JobState;
use syc_sched::WorkerSpec;
use syc_types::ServiceName;
use syc_types::WorkerId;

use crate::cluster::Cluster;
use crate::cluster::QUEUE;
use crate::cluster::configuration;
use crate::cluster::step;
use crate::cluster::worker;

/// Submits `count` jobs of two short tasks each and waits until all are completed.
fn complete_jobs(cluster: &Cluster, node: usize, count: u64) {
    for id in 1..=count {
        cluster.submit(node, id, vec![step(2, 20)]);
    }
    for id in 1..=count {
        cluster.wait_for_state(node, id, JobState::Completed);
    }
}

/// A worker that restarts after a crash is a new incarnation, and everything that ran on the old
/// one is over.
#[test]
fn tasks_of_a_crashed_worker_restart_on_its_next_incarnation() {
    let cluster = Cluster::start(2, 1);
    let node = cluster.scheduler();
    cluster.submit(node, 1, vec![step(2, 1_000)]);
    cluster.wait_for_state(node, 1, JobState::Running);
    cluster
        .platform
        .with_fleet(|fleet| fleet.crash(&worker(0).id));
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-0-again"),
        ..worker(0)
    });
    cluster.wait_for_state(node, 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// A successor that ignored a worker because of its unreadable entry would never learn what runs
/// there.
#[test]
fn a_successor_queries_a_worker_with_an_unreadable_entry_but_starts_nothing_there() {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 3_000)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    cluster.platform.corrupt_worker_entry(worker(0).id.as_str());
    cluster.kill(first);
    let second = cluster.scheduler();
    cluster.submit(second, 2, vec![step(1, 20)]);
    cluster.wait_for_state(second, 1, JobState::Completed);
    let waiting = cluster.on(second, |node| async move { node.pending(QUEUE).await });
    assert_eq!(
        waiting,
        PendingAnswer::Known(1),
        "the only worker has an unreadable entry"
    );
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-1"),
        ..worker(1)
    });
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_worker_with_an_unreadable_entry_finishes_its_tasks_and_gets_no_new_ones() {
    let cluster = Cluster::start(2, 1);
    let node = cluster.scheduler();
    // Runs longer than a lease, so the lease has to be renewed meanwhile.
    cluster.submit(node, 1, vec![step(2, 8_000)]);
    cluster.wait_for_state(node, 1, JobState::Running);
    cluster.platform.corrupt_worker_entry(worker(0).id.as_str());
    cluster.wait("the entry to be read", || {
        let page = cluster.on(node, |node| async move { node.metrics_page() });
        let usable = page
            .lines()
            .find(|line| line.contains("state=\"usable\""))?;
        usable.ends_with(" 0").then_some(())
    });
    cluster.submit(node, 2, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    let waiting = cluster.on(node, |node| async move { node.pending(QUEUE).await });
    assert_eq!(
        waiting,
        PendingAnswer::Known(1),
        "the job must not start on the worker"
    );
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-1"),
        ..worker(1)
    });
    cluster.wait_for_state(node, 2, JobState::Completed);
    cluster.assert_no_violations();
}

/// Tasks may be restarted only once they certainly no longer run on the silent worker. The
/// checker detects a task that runs twice.
#[test]
fn tasks_of_a_silent_worker_with_an_unreadable_entry_restart_only_after_its_lease() {
    let cluster = Cluster::start(2, 1);
    let node = cluster.scheduler();
    cluster.submit(node, 1, vec![step(2, 600_000)]);
    cluster.wait_for_state(node, 1, JobState::Running);
    cluster.platform.corrupt_worker_entry(worker(0).id.as_str());
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-1"),
        ..worker(1)
    });
    cluster.platform.set_faults(SharedFaults {
        unresponsive_workers: [worker(0).id].into(),
        ..SharedFaults::default()
    });
    cluster.wait("the tasks to run elsewhere", || {
        let runs = cluster
            .platform
            .with_fleet(|fleet| fleet.runs_on(&WorkerId::new("w-1")));
        (runs == 2).then_some(())
    });
    cluster.assert_no_violations();
}

/// The worker keeps answering renewals. A node that queried it again without a delay sent a
/// thousand renewals per second.
#[test]
fn tasks_of_a_worker_that_resets_orders_run_elsewhere_after_its_lease() {
    let cluster = Cluster::start(2, 2);
    let resetting = worker(0).id;
    cluster.platform.set_faults(SharedFaults {
        resetting_workers: [resetting.clone()].into(),
        ..SharedFaults::default()
    });
    let node = cluster.scheduler();
    complete_jobs(&cluster, node, 4);
    let renewals = cluster.platform.renewals_of(&resetting);
    assert!(renewals < 500, "{renewals}");
    cluster.assert_no_violations();
}

#[test]
fn workers_of_unconfigured_services_are_not_queried() {
    let mut cluster = Cluster::start(2, 1);
    cluster.platform.publish(Configuration {
        services: vec![worker(0).service],
        ..configuration(2)
    });
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("stranger"),
        service: ServiceName::new("another"),
        ..worker(1)
    });
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.kill(first);
    let second = cluster.scheduler();
    cluster.submit(second, 2, vec![step(1, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    let page = cluster.on(second, |node| async move { node.metrics_page() });
    let silent = page.lines().find(|line| line.contains("state=\"silent\""));
    assert!(
        silent.is_some_and(|line| line.ends_with(" 0")),
        "{silent:?}"
    );
    cluster.assert_no_violations();
}

/// Guards against timeouts below the response time: renewals and orders were abandoned before their
/// answers arrived, and each worker counted as silent permanently.
#[test]
fn workers_that_answer_late_still_get_tasks() {
    let cluster = Cluster::start(2, 2);
    cluster.platform.set_faults(SharedFaults {
        worker_reply_delay_ms: 1_500,
        ..SharedFaults::default()
    });
    let node = cluster.scheduler();
    complete_jobs(&cluster, node, 4);
    cluster.assert_no_violations();
}

/// Without waiting, the start counted as not sent, its run as ended, and its worker got no tasks
/// for a while, so starts on a slow worker were abandoned over and over.
#[test]
fn a_start_waits_for_a_free_connection() {
    let cluster = Cluster::start(2, 1);
    let node = cluster.scheduler();
    cluster
        .platform
        .with_fleet(|fleet| fleet.checker.record_events());
    cluster.platform.set_faults(SharedFaults {
        starts_without_connection: 3,
        ..SharedFaults::default()
    });
    cluster.submit(node, 1, vec![step(2, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    let events = cluster
        .platform
        .with_fleet(|fleet| fleet.checker.take_events());
    let runs = events.into_iter().filter_map(|event| match event {
        RunEvent::Started { run, .. } => Some(run.0),
        RunEvent::Ended { .. } | RunEvent::Acknowledged { .. } => None,
    });
    assert_eq!(runs.collect::<Vec<_>>(), [1, 1]);
    cluster.assert_no_violations();
}
