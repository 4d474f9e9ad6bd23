//! Takeover from a scheduler that the store refuses together with half of the other nodes.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_fleet::RunEvent;
use syc_fleet::SharedFaults;
use syc_sched::JobState;
use syc_types::WorkerId;

use crate::cluster::Cluster;
use crate::cluster::node_name;
use crate::cluster::step;
use crate::cluster::worker;

/// Work of the task. It outlasts a takeover that waits until all leases of its predecessor have expired.
const WORK_MS: u64 = 20_000;

/// Each side of the cell reaches one of them. A worker that both reach would fence the refused scheduler.
const WORKERS: usize = 2;

/// Returns the workers on which runs have started since the last call.
fn take_started(cluster: &Cluster) -> Vec<WorkerId> {
    let events = cluster
        .platform
        .with_fleet(|fleet| fleet.checker.take_events());
    let mut started = Vec::new();
    for event in events {
        if let RunEvent::Started { worker, .. } = event {
            started.push(worker);
        }
    }
    started
}

fn workers() -> Vec<WorkerId> {
    (0..WORKERS).map(|index| worker(index).id).collect()
}

fn names(nodes: &[usize]) -> impl Iterator<Item = SmolStr> {
    nodes.iter().map(|number| SmolStr::from(node_name(*number)))
}

/// Returns the pairs of each of the nodes and a worker.
fn unreachable(nodes: &[usize], worker: &WorkerId) -> BTreeSet<(SmolStr, WorkerId)> {
    names(nodes).map(|name| (name, worker.clone())).collect()
}

/// The refused nodes could not read of the successor and kept the refused scheduler in office, so that it renewed the
/// lease of a run that the successor had given up and started again.
#[test]
fn a_scheduler_refused_together_with_half_of_its_followers_renews_no_lease_beyond_the_takeover() {
    let cluster = Cluster::start(5, WORKERS);
    let first = cluster.scheduler();
    cluster
        .platform
        .with_fleet(|fleet| fleet.checker.record_events());
    cluster.submit(first, 1, vec![step(1, WORK_MS)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    let running_on = cluster.wait("the first run", || take_started(&cluster).pop());
    let mut others = cluster.live_nodes();
    others.retain(|number| *number != first);
    let (refused, served) = others.split_at(2);
    let refused = [&[first], refused].concat();
    let other_worker = workers().into_iter().find(|id| *id != running_on);
    let mut unreachable_workers = unreachable(served, &running_on);
    unreachable_workers.extend(unreachable(
        &refused,
        &other_worker.expect("a second worker"),
    ));
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: names(&refused).collect(),
        unreachable_workers,
        ..SharedFaults::default()
    });
    cluster.wait("another scheduler", || {
        let mut served = served.iter();
        served.find(|number| cluster.on(**number, |node| async move { node.is_scheduler() }))
    });
    let second = cluster.wait("the second run", || take_started(&cluster).pop());
    assert_ne!(running_on, second);
    cluster.assert_no_violations();
}

/// Starts a cell whose scheduler is replaced because the store refuses it together with half of the other nodes, and
/// returns the refused nodes. The replaced scheduler is the first of them.
fn replace_refused_scheduler(cluster: &Cluster) -> Vec<usize> {
    let first = cluster.scheduler();
    let mut others = cluster.live_nodes();
    others.retain(|number| *number != first);
    let (refused, served) = others.split_at(2);
    let refused = [&[first], refused].concat();
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: names(&refused).collect(),
        ..SharedFaults::default()
    });
    cluster.wait("another scheduler", || {
        let mut served = served.iter();
        served.find(|number| cluster.on(**number, |node| async move { node.is_scheduler() }))
    });
    refused
}

/// The refused nodes followed the replaced scheduler until the store served them again, and refused all submits.
#[test]
fn nodes_refused_together_with_the_scheduler_store_jobs_through_its_successor() {
    let cluster = Cluster::start(5, WORKERS);
    let refused = replace_refused_scheduler(&cluster);
    for (id, node) in (1..).zip(refused) {
        cluster.submit(node, id, vec![step(1, 20)]);
        cluster.wait_for_state(node, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}
