//! Nodes that the scheduler keeps informed, so that they need not follow the store themselves.

use syc_cell::Timing;
use syc_cell::ports::Topic;
use syc_fleet::SharedFaults;
use syc_sched::JobState;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::node_name;
use crate::cluster::step;

/// More nodes than the scheduler and its candidates.
const NODES: usize = 16;

/// Reads of the store by the scheduler within which the others are watched.
const SCHEDULER_READS: u64 = 200;

fn reads(cluster: &Cluster, node: usize) -> u64 {
    cluster.platform.store_reads_by(&node_name(node))
}

/// Returns the nodes that read nothing while the scheduler reads for a while.
fn silent_nodes(cluster: &Cluster, scheduler: usize) -> Vec<usize> {
    let nodes = cluster.live_nodes();
    let before: Vec<_> = nodes.iter().map(|node| reads(cluster, *node)).collect();
    let enough = reads(cluster, scheduler) + SCHEDULER_READS;
    cluster.wait("reads by the scheduler", || {
        (reads(cluster, scheduler) >= enough).then_some(())
    });
    let read = nodes.into_iter().zip(before);
    read.filter(|(node, before)| reads(cluster, *node) == *before)
        .map(|(node, _)| node)
        .collect()
}

/// Waits until the scheduler keeps all nodes but the candidates informed, and returns these.
fn informed_nodes(cluster: &Cluster, scheduler: usize) -> Vec<usize> {
    let others = cluster.live_nodes().len() - 1;
    let informed = others.saturating_sub(10);
    cluster.wait("informed nodes", || {
        let silent = silent_nodes(cluster, scheduler);
        (silent.len() == informed).then_some(silent)
    })
}

/// Waits until these nodes have a version of the configuration.
fn wait_for_version(cluster: &Cluster, nodes: &[usize], version: u64) {
    for node in nodes {
        cluster.wait("the configuration", || {
            let current = cluster.on(*node, |node| async move {
                node.configuration().map(|current| current.version)
            });
            (current == Some(version)).then_some(())
        });
    }
}

/// Reads of the store grew with the number of nodes times the scheduler's heartbeats.
#[test]
fn only_candidates_follow_the_store() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    assert_eq!(informed.len(), NODES - 11);
}

/// Each node read each configuration from the store.
#[test]
fn informed_nodes_get_new_configurations_from_the_scheduler() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    let count_reads = || -> Vec<_> { informed.iter().map(|node| reads(&cluster, *node)).collect() };
    let mut version = 1;
    // A node whose contact is late because of other tests follows the store for a while.
    cluster.wait("a version that none of them reads from the store", || {
        version += 1;
        let before = count_reads();
        cluster.platform.publish(configuration(version));
        wait_for_version(&cluster, &informed, version);
        (count_reads() == before).then_some(())
    });
}

/// A node that the store refuses learned of no configuration.
#[test]
fn informed_nodes_that_the_store_refuses_get_new_configurations() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    refuse(&cluster, &informed);
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &informed, 2);
}

/// Returns the nodes that follow the store, without the scheduler.
fn candidates(cluster: &Cluster, scheduler: usize) -> Vec<usize> {
    let informed = informed_nodes(cluster, scheduler);
    let mut nodes = cluster.live_nodes();
    nodes.retain(|node| *node != scheduler && !informed.contains(node));
    nodes
}

fn wait_for_other_scheduler(cluster: &Cluster, former: usize) {
    cluster.wait("another scheduler", || {
        let mut nodes = cluster.live_nodes().into_iter();
        nodes.find(|node| {
            let is_scheduler = cluster.on(*node, |node| async move { node.is_scheduler() });
            *node != former && is_scheduler
        })
    });
}

fn refuse(cluster: &Cluster, nodes: &[usize]) {
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: nodes.iter().map(|node| node_name(*node).into()).collect(),
        ..SharedFaults::default()
    });
}

/// A node that followed the store got no configuration while the store refused it, although the scheduler had it.
#[test]
fn candidates_that_the_store_refuses_get_new_configurations() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let candidates = candidates(&cluster, scheduler);
    refuse(&cluster, &candidates);
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &candidates, 2);
}

/// A node whose calls to the store get no answer got no configuration either.
#[test]
fn candidates_that_the_store_does_not_answer_get_new_configurations() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let candidates = candidates(&cluster, scheduler);
    let names = candidates.iter().map(|node| node_name(*node).into());
    cluster.platform.set_faults(SharedFaults {
        partitioned_nodes: names.collect(),
        ..SharedFaults::default()
    });
    // Reads that were sent before are still answered.
    for node in &candidates {
        cluster.wait("a node without the store", || {
            let answers = cluster.on(*node, |node| async move { node.store_view().answers });
            (!answers).then_some(())
        });
    }
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &candidates, 2);
}

/// The former scheduler followed the store that refused it, and stayed behind.
#[test]
fn former_scheduler_that_the_store_refuses_gets_new_configurations() {
    // In so small a cell, each node follows the store.
    let cluster = Cluster::start(3, 2);
    let scheduler = cluster.scheduler();
    refuse(&cluster, &[scheduler]);
    wait_for_other_scheduler(&cluster, scheduler);
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &[scheduler], 2);
}

/// A scheduler that the store answers, but not with configurations, kept itself and all informed nodes behind.
#[test]
fn scheduler_that_can_not_read_configurations_gets_them_from_candidates() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    let unreadable = (node_name(scheduler).into(), Topic::Operators);
    cluster.platform.set_faults(SharedFaults {
        unreadable_topics: vec![unreadable],
        ..SharedFaults::default()
    });
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &[scheduler], 2);
    wait_for_version(&cluster, &informed, 2);
}

/// A scheduler with a slow link left all nodes to the store, also those that the store refused.
#[test]
fn nodes_that_the_store_refuses_get_configurations_over_slow_links() {
    let links_mbps = [10.0; NODES];
    let cluster = Cluster::start_unconfigured(&links_mbps, Timing::default());
    cluster.platform.publish(configuration(1));
    let scheduler = cluster.scheduler();
    let mut others = informed_nodes(&cluster, scheduler);
    others.truncate(2);
    refuse(&cluster, &others);
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &others, 2);
}

/// Without a scheduler that informs them, they have to follow the store again.
#[test]
fn informed_nodes_follow_the_successor_of_a_lost_scheduler() {
    let mut cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    cluster.kill(scheduler);
    let successor = cluster.scheduler();
    cluster.platform.publish(configuration(2));
    wait_for_version(&cluster, &informed, 2);
    assert!(!informed.contains(&successor), "a candidate goes first");
    for (id, node) in (1..).zip(informed) {
        cluster.submit(node, id, vec![step(1, 20)]);
        cluster.wait_for_state(node, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}

/// Most nodes of a cell may be killed at the same moment, among them the scheduler and all candidates.
#[test]
fn informed_nodes_elect_a_scheduler_if_all_candidates_are_lost() {
    let mut cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    for node in cluster.live_nodes() {
        if !informed.contains(&node) {
            cluster.kill(node);
        }
    }
    cluster.submit(informed[0], 1, vec![step(1, 20)]);
    cluster.wait_for_state(informed[1], 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// A scheduler that the store answers in part may not learn that it was replaced. The nodes that it informs must not
/// keep it in office.
#[test]
fn informed_nodes_leave_a_scheduler_that_the_store_refuses() {
    let cluster = Cluster::start(NODES, 2);
    let scheduler = cluster.scheduler();
    let informed = informed_nodes(&cluster, scheduler);
    let names = informed.iter().map(|node| node_name(*node).into());
    let refused = names.chain([node_name(scheduler).into()]);
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: refused.collect(),
        ..SharedFaults::default()
    });
    wait_for_other_scheduler(&cluster, scheduler);
    for (id, node) in (1..).zip(informed) {
        cluster.submit(node, id, vec![step(1, 20)]);
        cluster.wait_for_state(node, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}
