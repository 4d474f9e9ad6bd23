//! Cells of which most workers are lost, cut off or slow.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_fleet::SharedFaults;
use syc_sched::JobState;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::cluster::Cluster;
use crate::cluster::cpu;
use crate::cluster::node_name;
use crate::cluster::step;
use crate::cluster::worker;

/// With this limit, nodes may call workers for the scheduler, and the scheduler calls its few workers itself.
const FILES_LIMIT: u64 = 4_096;

/// Work of tasks that still run when their workers are lost.
const LONG_WORK_MS: u64 = 3_000;

fn ids(indices: std::ops::Range<usize>) -> BTreeSet<WorkerId> {
    indices.map(|index| worker(index).id).collect()
}

/// Loses workers for good: they stop without a word, and their entries expire.
fn lose(cluster: &Cluster, lost: &BTreeSet<WorkerId>) {
    for id in lost {
        cluster.platform.with_fleet(|fleet| fleet.crash(id));
        cluster.platform.unlist(id);
    }
    cluster.platform.set_faults(SharedFaults {
        unresponsive_workers: lost.clone(),
        ..SharedFaults::default()
    });
}

/// Returns the fencing token of the scheduler, which tells whether the role has changed hands.
fn token(cluster: &Cluster) -> String {
    let number = cluster.scheduler();
    let page = cluster.on(number, |node| async move { node.metrics_page() });
    let line = page
        .lines()
        .find(|line| line.starts_with("syc_cell_fencing_token"));
    line.expect("a token").to_owned()
}

/// Pairs of a node and a worker for all of these.
fn links(nodes: &[usize], workers: &BTreeSet<WorkerId>) -> BTreeSet<(SmolStr, WorkerId)> {
    let mut links = BTreeSet::new();
    for number in nodes {
        for id in workers {
            links.insert((node_name(*number).into(), id.clone()));
        }
    }
    links
}

/// Guards against schedulers that take lost workers for workers that they cannot reach: each gave up the role before its
/// takeover was complete, and the next inherited the same workers.
#[test]
fn a_scheduler_stays_after_most_workers_are_lost() {
    let cluster = Cluster::start_with_files_limit(3, 5, FILES_LIMIT);
    let number = cluster.scheduler();
    let before = token(&cluster);
    cluster.submit(number, 1, vec![step(20, LONG_WORK_MS)]);
    cluster.wait_for_state(number, 1, JobState::Running);
    lose(&cluster, &ids(0..3));
    cluster.submit(number, 2, vec![step(2, 20)]);
    cluster.wait_for_state(number, 2, JobState::Completed);
    cluster.wait_for_state(number, 1, JobState::Completed);
    assert_eq!(before, token(&cluster));
    cluster.assert_no_violations();
}

/// Guards against a takeover that never completes, because each scheduler gives up the role while it waits for the leases
/// of workers that are lost.
#[test]
fn a_takeover_completes_without_the_workers_that_were_lost_before() {
    let mut cluster = Cluster::start_with_files_limit(3, 5, FILES_LIMIT);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(20, LONG_WORK_MS)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    lose(&cluster, &ids(0..4));
    cluster.kill(first);
    let second = cluster.scheduler();
    let elected = token(&cluster);
    cluster.wait_for_state(second, 1, JobState::Completed);
    assert_eq!(elected, token(&cluster));
    cluster.assert_no_violations();
}

/// Guards against elections that follow each other for as long as there is no worker at all.
#[test]
fn a_scheduler_without_any_worker_left_stays_until_others_join() {
    let cluster = Cluster::start_with_files_limit(3, 2, FILES_LIMIT);
    let number = cluster.scheduler();
    let before = token(&cluster);
    cluster.submit(number, 1, vec![step(2, LONG_WORK_MS)]);
    cluster.wait_for_state(number, 1, JobState::Running);
    lose(&cluster, &ids(0..2));
    cluster.wait("the lost workers to leave the list", || {
        let page = cluster.on(number, |node| async move { node.metrics_page() });
        let silent = page
            .lines()
            .find(|line| line.contains("state=\"silent\""))?;
        silent.ends_with(" 0").then_some(())
    });
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-joined"),
        capacity: cpu(8),
        ..worker(9)
    });
    cluster.wait_for_state(number, 1, JobState::Completed);
    assert_eq!(before, token(&cluster));
    cluster.assert_no_violations();
}

/// Guards against a scheduler that stays although it is cut off from workers that other nodes reach.
#[test]
fn a_scheduler_cut_off_from_its_workers_hands_over_the_role() {
    let cluster = Cluster::start_with_files_limit(3, 4, FILES_LIMIT);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(4, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        unreachable_workers: links(&[first], &ids(0..4)),
        ..SharedFaults::default()
    });
    let others: Vec<_> = (0..3).filter(|number| *number != first).collect();
    let second = cluster.wait("another scheduler", || {
        let mut others = others.iter().copied();
        others.find(|number| cluster.on(*number, |node| async move { node.is_scheduler() }))
    });
    cluster.submit(second, 2, vec![step(4, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

/// Guards against a cut-off scheduler that stays because most of its silent workers are lost: of those that are left,
/// other nodes reach more.
#[test]
fn a_scheduler_cut_off_from_the_workers_that_are_left_hands_over_the_role() {
    let cluster = Cluster::start_with_files_limit(3, 8, FILES_LIMIT);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(4, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    lose(&cluster, &ids(0..5));
    cluster.platform.set_faults(SharedFaults {
        unresponsive_workers: ids(0..5),
        unreachable_workers: links(&[first], &ids(5..7)),
        ..SharedFaults::default()
    });
    let others: Vec<_> = (0..3).filter(|number| *number != first).collect();
    let second = cluster.wait("another scheduler", || {
        let mut others = others.iter().copied();
        others.find(|number| cluster.on(*number, |node| async move { node.is_scheduler() }))
    });
    cluster.submit(second, 2, vec![step(6, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

/// Guards against the role going round the nodes that are cut off, while one node reaches the workers.
#[test]
fn the_role_goes_to_the_node_that_reaches_the_workers() {
    let cluster = Cluster::start_with_files_limit(6, 4, FILES_LIMIT);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(4, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    let reaching = (first + 1) % 6;
    let cut_off: Vec<_> = (0..6).filter(|number| *number != reaching).collect();
    cluster.platform.set_faults(SharedFaults {
        unreachable_workers: links(&cut_off, &ids(0..4)),
        ..SharedFaults::default()
    });
    let second = cluster.wait("another scheduler", || {
        let mut nodes = (0..6).filter(|number| *number != first);
        nodes.find(|number| cluster.on(*number, |node| async move { node.is_scheduler() }))
    });
    assert_eq!(second, reaching);
    cluster.assert_no_violations();
}

/// Guards against elections while workers are cut off from all nodes, run on, and come back.
#[test]
fn a_scheduler_stays_while_most_workers_are_cut_off_from_all_nodes() {
    let cluster = Cluster::start_with_files_limit(3, 4, FILES_LIMIT);
    let number = cluster.scheduler();
    let before = token(&cluster);
    cluster.submit(number, 1, vec![step(16, LONG_WORK_MS)]);
    cluster.wait_for_state(number, 1, JobState::Running);
    cluster.platform.set_faults(SharedFaults {
        unresponsive_workers: ids(0..3),
        ..SharedFaults::default()
    });
    // Longer than the rule waits, and shorter than the leases.
    std::thread::sleep(std::time::Duration::from_secs(4));
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait_for_state(number, 1, JobState::Completed);
    assert_eq!(before, token(&cluster));
    cluster.assert_no_violations();
}

/// Guards against a cell without a scheduler after all nodes but one are lost for good: the last one hears no other node.
#[test]
fn the_last_node_goes_on_without_the_others() {
    let mut cluster = Cluster::start_with_files_limit(3, 3, FILES_LIMIT);
    let number = cluster.scheduler();
    cluster.submit(number, 1, vec![step(6, LONG_WORK_MS)]);
    cluster.wait_for_state(number, 1, JobState::Running);
    for other in cluster.live_nodes() {
        if other != number {
            cluster.kill(other);
        }
    }
    lose(&cluster, &ids(0..2));
    cluster.wait("the role to be given up", || {
        let is_scheduler = cluster.on(number, |node| async move { node.is_scheduler() });
        (!is_scheduler).then_some(())
    });
    cluster.submit(number, 2, vec![step(2, 20)]);
    cluster.wait_for_state(number, 2, JobState::Completed);
    cluster.wait_for_state(number, 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// Guards against elections because of workers that answer late.
#[test]
fn a_scheduler_stays_while_all_workers_are_slow_to_answer() {
    let cluster = Cluster::start_with_files_limit(3, 4, FILES_LIMIT);
    let number = cluster.scheduler();
    let before = token(&cluster);
    cluster.submit(number, 1, vec![step(8, 20)]);
    cluster.wait_for_state(number, 1, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        worker_reply_delay_ms: 900,
        ..SharedFaults::default()
    });
    cluster.submit(number, 2, vec![step(8, LONG_WORK_MS)]);
    cluster.wait_for_state(number, 2, JobState::Completed);
    assert_eq!(before, token(&cluster));
    cluster.assert_no_violations();
}
