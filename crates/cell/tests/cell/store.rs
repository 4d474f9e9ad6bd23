//! Failures of the store: it refuses nodes, does not answer, loses answers or drops its history.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use smol_str::SmolStr;
use syc_cell::PendingAnswer;
use syc_cell::StateAnswer;
use syc_cell::StoreOutcome;
use syc_cell::Timing;
use syc_cell::now;
use syc_cell::ports::Topic;
use syc_fleet::SharedFaults;
use syc_sched::JobId;
use syc_sched::JobState;

use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::QUEUE;
use crate::cluster::configuration;
use crate::cluster::node_name;
use crate::cluster::step;

/// Duration of a planned stop, shorter than the timeout of a submit request.
const STOP_MS: u64 = 300;

fn node_names<I>(numbers: I) -> BTreeSet<SmolStr>
where
    I: IntoIterator<Item = usize>,
{
    let names = numbers
        .into_iter()
        .map(|number| SmolStr::from(node_name(number)));
    names.collect()
}

#[test]
fn a_node_that_the_store_refuses_submits_through_the_scheduler() {
    let cluster = Cluster::start(3, 2);
    let scheduler = cluster.scheduler();
    let others: Vec<_> = cluster
        .live_nodes()
        .into_iter()
        .filter(|n| *n != scheduler)
        .collect();
    cluster.submit(others[0], 1, vec![step(1, 20)]);
    cluster.wait_for_state(others[0], 1, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: node_names([others[0]]),
        ..SharedFaults::default()
    });
    cluster.submit(others[0], 2, vec![step(1, 20)]);
    cluster.wait_for_state(others[0], 2, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_scheduler_cut_off_from_the_store_is_replaced() {
    let cluster = Cluster::start(3, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(2, 2_000)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    cluster.platform.set_faults(SharedFaults {
        partitioned_nodes: node_names([first]),
        ..SharedFaults::default()
    });
    let second = cluster.wait("another scheduler", || {
        let mut others = cluster
            .live_nodes()
            .into_iter()
            .filter(|number| *number != first);
        others.find(|number| cluster.on(*number, |node| async move { node.is_scheduler() }))
    });
    cluster.wait_for_state(second, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn lost_answers_neither_lose_nor_duplicate_work() {
    let cluster = Cluster::start(2, 2);
    cluster.scheduler();
    for id in 1..=8 {
        cluster.platform.set_faults(SharedFaults {
            lost_appends: 2,
            lost_starts: 1,
            ..SharedFaults::default()
        });
        cluster.submit(0, id, vec![step(2, 30)]);
    }
    for id in 1..=8 {
        cluster.wait_for_state(1, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}

#[test]
fn a_submit_survives_three_lost_answers() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        lost_submits: 3,
        ..SharedFaults::default()
    });
    let stored = cluster.submit_once(node, 1, vec![step(1, 20)]);
    assert_eq!(stored, StoreOutcome::Stored);
    cluster.wait_for_state(node, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_submit_queued_behind_an_unanswered_one_is_refused_and_never_runs() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        partitioned_nodes: node_names([node]),
        ..SharedFaults::default()
    });
    let outcomes = cluster.submit_concurrently(node, [1, 2]);
    let [first, second] = outcomes;
    assert_eq!(first, StoreOutcome::InDoubt);
    assert!(matches!(second, StoreOutcome::Refused { .. }), "{second:?}");
    cluster.platform.set_faults(SharedFaults::default());
    cluster.submit(node, 3, vec![step(1, 20)]);
    cluster.wait_for_state(node, 3, JobState::Completed);
    let shown = cluster.on(node, |node| async move { node.state(JobId(2), None).await });
    assert_eq!(shown, StateAnswer::NoSuchJob);
}

/// A submit request that arrived during a planned stop, on a connection that was kept alive, waited for a lost answer of
/// the store beyond the end of the stop. Its connection was closed without a reply.
#[test]
fn a_planned_stop_answers_pending_submits_before_its_deadline() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        lost_submits: u32::MAX,
        ..SharedFaults::default()
    });
    let spec = cluster::job(1, vec![step(1, 20)]);
    let outcome = cluster.on(node, move |node| async move {
        let submitting = Rc::clone(&node);
        let submitted = actix_rt::spawn(async move { submitting.submit(&spec).await });
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        node.begin_stop(now().plus(STOP_MS)).await;
        node.finish_stop(STOP_MS).await;
        // Submit requests without an outcome would be cut off now.
        submitted.now_or_never()
    });
    let outcome = outcome
        .expect("an answer before the end")
        .expect("an outcome");
    assert_eq!(outcome, StoreOutcome::InDoubt);
}

#[test]
fn a_submit_after_the_end_of_a_planned_stop_is_refused_at_once() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let spec = cluster::job(1, vec![step(1, 20)]);
    let outcome = cluster.on(node, move |node| async move {
        node.begin_stop(now()).await;
        node.submit(&spec).await
    });
    assert!(
        matches!(outcome, StoreOutcome::Refused { .. }),
        "{outcome:?}"
    );
}

#[test]
fn an_unavailable_jobs_partition_stops_no_node() {
    let cluster = Cluster::start(4, 2);
    cluster.scheduler();
    for down in 0..4 {
        cluster.platform.set_faults(SharedFaults {
            unavailable_partitions: vec![(Topic::Jobs, down)],
            ..SharedFaults::default()
        });
        for number in cluster.live_nodes() {
            let id = u64::from(down) * 10 + u64::try_from(number).expect("a small number") + 1;
            let stored = cluster.submit_once(number, id, vec![step(1, 20)]);
            assert_eq!(
                stored,
                StoreOutcome::Stored,
                "partition {down}, node {number}"
            );
            cluster.wait_for_state(number, id, JobState::Completed);
        }
    }
    cluster.assert_no_violations();
}

/// A pending job in a partition that can't be read would be missing from the count.
#[test]
fn jobs_are_counted_only_while_every_jobs_partition_is_read() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let count = || cluster.on(node, |node| async move { node.pending(QUEUE).await });
    cluster.wait("a count", || {
        (count() == PendingAnswer::Known(0)).then_some(())
    });
    cluster.platform.set_faults(SharedFaults {
        unavailable_partitions: vec![(Topic::Jobs, 1)],
        ..SharedFaults::default()
    });
    cluster.wait("no count", || {
        (count() == PendingAnswer::Unsure).then_some(())
    });
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait("a count again", || {
        (count() == PendingAnswer::Known(0)).then_some(())
    });
}

/// An answer reflects the store at the time of the request. If it were dated by its arrival, a count could be
/// outdated by the duration of the longest read and miss a job that must be counted.
#[test]
fn jobs_are_not_counted_from_stale_reads() {
    let timing = Timing {
        store_timeout_ms: 600_000,
        ..Timing::default()
    };
    let cluster = Cluster::start_with(1, 1, timing);
    let node = cluster.scheduler();
    let count = || cluster.on(node, |node| async move { node.pending(QUEUE).await });
    cluster.wait("a count", || {
        (count() == PendingAnswer::Known(0)).then_some(())
    });
    cluster.platform.set_faults(SharedFaults {
        job_read_delay_ms: 2_600,
        ..SharedFaults::default()
    });
    cluster.wait("no count", || {
        (count() == PendingAnswer::Unsure).then_some(())
    });
    // Each query lasts as long as a caller waits, and so sees several late answers.
    for _ in 0..4 {
        assert_eq!(count(), PendingAnswer::Unsure);
    }
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait("a count again", || {
        (count() == PendingAnswer::Known(0)).then_some(())
    });
}

#[test]
fn an_unavailable_progress_partition_stops_nothing_and_a_successor_reads_both() {
    let mut cluster = Cluster::start(3, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    for (id, down) in [(2, 0), (3, 1)] {
        cluster.platform.set_faults(SharedFaults {
            unavailable_partitions: vec![(Topic::Progress, down)],
            ..SharedFaults::default()
        });
        cluster.submit(first, id, vec![step(2, 20)]);
        cluster.wait_for_state(first, id, JobState::Completed);
    }
    cluster.platform.set_faults(SharedFaults::default());
    cluster.kill(first);
    let second = cluster.scheduler();
    for id in 1..=3 {
        cluster.wait_for_state(second, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}

/// A slow node that read all partitions again at each attempt would never finish.
#[test]
fn a_takeover_retries_only_the_partition_that_failed() {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    let before = cluster.platform.full_reads(Topic::Jobs, 0);
    cluster.platform.set_faults(SharedFaults {
        unavailable_partitions: vec![(Topic::Jobs, 3)],
        ..SharedFaults::default()
    });
    cluster.kill(first);
    let wait_for_refusals = |count| {
        cluster.wait("several attempts", || {
            (cluster.platform.refused_full_reads() > count).then_some(())
        });
        cluster.platform.full_reads(Topic::Jobs, 0) - before
    };
    // The other partitions are read once ahead of the election, and once by the takeover.
    let reads = wait_for_refusals(5);
    assert!((1..=2).contains(&reads), "{reads} reads");
    assert_eq!(wait_for_refusals(12), reads);
    cluster.platform.set_faults(SharedFaults::default());
    let second = cluster.scheduler();
    assert_eq!(cluster.platform.full_reads(Topic::Jobs, 0) - before, reads);
    cluster.wait_for_state(second, 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// Reads that were sent during a store outage are never answered, even after the store has recovered.
#[test]
fn a_takeover_does_not_wait_for_lost_reads() {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        unanswered_reads: 5,
        ..SharedFaults::default()
    });
    cluster.kill(first);
    let second = cluster.scheduler();
    cluster.wait_for_state(second, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn nodes_catch_up_after_the_store_drops_its_history() {
    let cluster = Cluster::start(2, 2);
    cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: node_names([0, 1]),
        ..SharedFaults::default()
    });
    cluster.platform.publish(configuration(2));
    for topic in [
        Topic::Operators,
        Topic::Workers,
        Topic::Jobs,
        Topic::Holders,
    ] {
        cluster
            .platform
            .with_store(|store| store.forget_history(topic));
    }
    cluster.platform.set_faults(SharedFaults::default());
    for number in cluster.live_nodes() {
        cluster.wait("version 2", || {
            let version = cluster.on(number, |node| async move {
                node.configuration().map_or(0, |current| current.version)
            });
            (version == 2).then_some(())
        });
    }
    cluster.submit(0, 1, vec![step(2, 20)]);
    cluster.wait_for_state(1, 1, JobState::Completed);
    cluster.assert_no_violations();
}
