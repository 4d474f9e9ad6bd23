//! Takeover of the scheduler role after planned and unplanned ends.

use std::net::TcpListener;
use std::time::Duration;

use syc_cell::NodeSettings;
use syc_cell::Timing;
use syc_cell::now;
use syc_cell::ports::Newest;
use syc_cell::ports::Page;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_cell::records::HolderRecord;
use syc_fleet::SharedFaults;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Schedule;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::job;
use crate::cluster::node_name;
use crate::cluster::settings;
use crate::cluster::step;

#[test]
fn jobs_complete_after_the_scheduler_is_killed() {
    let mut cluster = Cluster::start(3, 2);
    let first = cluster.scheduler();
    for id in 1..=6 {
        cluster.submit(0, id, vec![step(2, 1_500)]);
    }
    cluster.wait_for_state(0, 1, JobState::Running);
    cluster.kill(first);
    let second = cluster.scheduler();
    assert_ne!(first, second);
    for id in 1..=6 {
        cluster.wait_for_state(second, id, JobState::Completed);
    }
    cluster.assert_no_violations();
}

#[test]
fn a_planned_stop_hands_over_the_scheduler_role() {
    let cluster = Cluster::start(3, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(4, 1_000)]);
    cluster.on(first, |node| async move {
        node.begin_stop(now().plus(5_000)).await;
    });
    let second = cluster.scheduler();
    assert_ne!(first, second);
    cluster.wait_for_state(second, 1, JobState::Completed);
    let ready = cluster.on(first, |node| async move { node.is_ready() });
    assert!(!ready, "a node that stops takes no new connections");
    cluster.assert_no_violations();
}

#[test]
fn accepted_jobs_survive_the_loss_of_all_nodes() {
    let mut cluster = Cluster::start(2, 2);
    cluster.scheduler();
    cluster.submit(0, 1, vec![step(2, 20)]);
    cluster.wait_for_state(1, 1, JobState::Completed);
    cluster.submit(1, 2, vec![step(2, 3_000)]);
    for number in cluster.live_nodes() {
        cluster.kill(number);
    }
    let last = cluster.add_node();
    cluster.wait_for_state(last, 2, JobState::Completed);
    cluster.wait_for_state(last, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_successor_queries_a_worker_missing_from_the_list() {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    // The store has the job before it is due but nothing about its start, which only the worker
    // knows of.
    let timed = JobSpec {
        schedule: Schedule {
            occurrences: 1,
            first_at_ms: cluster.wall_clock(first).plus(1_500),
            interval_ms: 0,
        },
        ..job(2, vec![step(1, 2_000)])
    };
    cluster.submit_job(first, &timed);
    cluster.submit(first, 3, vec![step(1, 20)]);
    cluster.wait_for_state(first, 3, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        unavailable_partitions: vec![(Topic::Progress, 0), (Topic::Progress, 1)],
        ..SharedFaults::default()
    });
    let worker = cluster.wait("the run", || {
        cluster.platform.with_fleet(|fleet| {
            let mut workers = fleet.workers.values();
            let busy = workers.find(|worker| worker.run_count() > 0);
            busy.map(|worker| worker.id.clone())
        })
    });
    // The worker's entry expires, as it does while the store is unavailable.
    cluster.platform.unlist(&worker);
    cluster.kill(first);
    cluster.platform.set_faults(SharedFaults::default());
    let second = cluster.scheduler();
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_scheduler_isolated_from_the_store_and_all_nodes_steps_down() {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    let other = 1 - first;
    // After this answer, the other node has been in contact with the scheduler.
    cluster.submit(other, 1, vec![step(1, 20)]);
    cluster.wait_for_state(other, 1, JobState::Completed);
    cluster.kill(other);
    cluster.platform.set_faults(SharedFaults {
        partitioned_nodes: [node_name(first).into()].into(),
        ..SharedFaults::default()
    });
    cluster.wait("the scheduler to step down", || {
        let is_scheduler = cluster.on(first, |node| async move { node.is_scheduler() });
        (!is_scheduler).then_some(())
    });
    cluster.platform.set_faults(SharedFaults::default());
    cluster.submit(first, 2, vec![step(1, 20)]);
    cluster.wait_for_state(first, 2, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_node_with_low_bandwidth_lets_others_claim_first() {
    let peers = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let high_bandwidth = settings(0, &peers);
    let low_bandwidth = NodeSettings {
        link_mbps: 10.0,
        ..high_bandwidth.clone()
    };
    let latest_high_bandwidth_claim_ms =
        high_bandwidth.claim_delay_ms() + high_bandwidth.timing.claim_jitter_ms;
    assert!(low_bandwidth.claim_delay_ms() > 2 * latest_high_bandwidth_claim_ms);
}

/// A scheduler without descriptors for its workers can neither be reached nor order anything.
#[test]
fn a_node_with_few_descriptors_lets_others_claim_first() {
    let peers = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let with_limit = |files_limit| NodeSettings {
        files_limit,
        ..settings(0, &peers)
    };
    let small = with_limit(4_100);
    let latest_other_claim_ms = 2 * small.timing.claim_jitter_ms;
    assert!(small.files_claim_delay_ms(1_026) > latest_other_claim_ms);
    assert_eq!(small.files_claim_delay_ms(1_025), 0);
    assert_eq!(with_limit(0).files_claim_delay_ms(3_000), 0);
}

/// Heartbeats of earlier versions do not state the number of workers, and delay no claim.
#[test]
fn a_heartbeat_without_a_number_of_workers_states_none() {
    let earlier = r#"{"node":"n","address":"a","incarnation":1,"token":2,"proves":true}"#;
    let read: HolderRecord = serde_json::from_str(earlier).expect("a valid record");
    assert_eq!(read.workers, 0);
}

/// All nodes wait for the first configuration. If a node with low bandwidth could claim the role as
/// early as the others when it arrives, its reads and writes as the scheduler would take several
/// times as long as the store needs.
#[test]
fn a_node_with_high_bandwidth_is_chosen_on_the_first_configuration() {
    let timing = Timing {
        slow_link_claim_delay_ms: 3_000,
        ..Timing::default()
    };
    let mut links_mbps = [10.0; 10];
    links_mbps[9] = 1_000.0;
    let cluster = Cluster::start_unconfigured(&links_mbps, timing);
    std::thread::sleep(Duration::from_millis(timing.slow_link_claim_delay_ms + 500));
    cluster.platform.publish(configuration(1));
    assert_eq!(cluster.scheduler(), 9);
}

#[test]
fn a_node_that_joins_later_accepts_jobs_and_can_take_over() {
    let mut cluster = Cluster::start(1, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(2, 1_500)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    let spare = cluster.add_node();
    cluster.submit(spare, 2, vec![step(2, 20)]);
    cluster.wait_for_state(spare, 2, JobState::Completed);
    cluster.kill(first);
    assert_eq!(cluster.scheduler(), spare);
    cluster.wait_for_state(spare, 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// A heartbeat that was stored but not answered has used the sequence number that the next append
/// would get. A release under that number would be dropped, and the other nodes would take over
/// only after the silence timeout.
#[test]
fn a_release_takes_effect_at_once_while_a_heartbeat_is_unanswered() {
    let timing = Timing {
        heartbeat_timeout_ms: 600_000,
        suspected_heartbeat_timeout_ms: 600_000,
        ..Timing::default()
    };
    let cluster = Cluster::start_with(2, 1, timing);
    let first = cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        lost_appends: 1_000,
        ..SharedFaults::default()
    });
    let heartbeats_stored = || {
        cluster
            .platform
            .with_store(|store| store.newest(Topic::Holders, 0).read_from)
    };
    let before = heartbeats_stored();
    cluster.wait("a heartbeat", || {
        (heartbeats_stored() > before).then_some(())
    });
    cluster.on(first, |node| async move {
        node.begin_stop(now().plus(5_000)).await;
    });
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait("a successor", || {
        let mut others = cluster
            .live_nodes()
            .into_iter()
            .filter(|number| *number != first);
        others.find(|number| cluster.on(*number, |node| async move { node.is_scheduler() }))
    });
}

/// Reading thousands of workers took longer than the election.
#[test]
fn a_planned_stop_waits_for_a_candidate_that_has_read_the_state_ahead() {
    let cluster = Cluster::start(3, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.on(first, |node| async move {
        node.begin_stop(now().plus(5_000)).await;
    });
    cluster.submit(first, 2, vec![step(1, 20)]);
    let second = cluster.scheduler();
    let was_ahead = cluster.on(second, |node| async move { node.has_taken_over_prepared() });
    assert!(
        was_ahead,
        "the successor read everything after its election"
    );
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

/// A scheduler that the store turned away kept the role until its heartbeats were missed.
#[test]
fn a_scheduler_that_the_store_refuses_alone_yields_without_a_timeout() {
    let timing = Timing {
        heartbeat_timeout_ms: 600_000,
        suspected_heartbeat_timeout_ms: 600_000,
        ..Timing::default()
    };
    let cluster = Cluster::start_with(3, 2, timing);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.platform.set_faults(SharedFaults {
        refused_nodes: [node_name(first).into()].into(),
        ..SharedFaults::default()
    });
    let second = cluster.wait("another scheduler", || {
        let mut nodes = cluster.live_nodes().into_iter();
        nodes.find(|node| {
            let is_scheduler = cluster.on(*node, |node| async move { node.is_scheduler() });
            *node != first && is_scheduler
        })
    });
    cluster.submit(second, 2, vec![step(1, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

fn record(key: &str, value: &str) -> Record {
    Record {
        key: key.into(),
        value: value.to_owned().into(),
    }
}

/// What was read ahead must come to the same as reading everything later.
#[test]
fn records_read_ahead_are_replaced_and_removed_by_later_ones() {
    let mut newest = Newest {
        records: vec![(3, record("a", "1")), (4, record("b", "1"))],
        read_from: 5,
    };
    newest.extend(Page {
        first: 5,
        end: 8,
        records: vec![record("b", ""), record("a", "2"), record("c", "1")],
    });
    let expected = vec![(6, record("a", "2")), (7, record("c", "1"))];
    assert_eq!(newest.records, expected);
    assert_eq!(newest.read_from, 8);
    let unchanged = newest.clone();
    newest.extend(Page {
        first: 8,
        end: 8,
        records: Vec::new(),
    });
    assert_eq!(newest, unchanged);
}
