//! Behaviour that callers see while there are no failures.

use syc_cell::PendingAnswer;
use syc_cell::StateAnswer;
use syc_cell::StoreOutcome;
use syc_sched::JobId;
use syc_sched::JobState;
use syc_sched::StepSpec;
use syc_types::Resources;

use crate::cluster::Cluster;
use crate::cluster::QUEUE;
use crate::cluster::configuration;
use crate::cluster::step;

#[test]
fn a_job_of_several_steps_completes_and_every_node_shows_it() {
    let cluster = Cluster::start(3, 2);
    let second = StepSpec {
        after: vec![0],
        gang: true,
        ..step(4, 50)
    };
    cluster.scheduler();
    cluster.submit(0, 1, vec![step(3, 20), second]);
    for number in cluster.live_nodes() {
        cluster.wait_for_state(number, 1, JobState::Completed);
    }
    cluster.assert_no_violations();
}

#[test]
fn a_repeated_submit_remains_one_job() {
    let cluster = Cluster::start(3, 2);
    cluster.scheduler();
    for number in cluster.live_nodes() {
        cluster.submit(number, 1, vec![step(2, 20)]);
    }
    cluster.wait_for_state(0, 1, JobState::Completed);
    cluster.submit(1, 1, vec![step(2, 20)]);
    cluster.submit(2, 2, vec![step(1, 20)]);
    cluster.wait_for_state(0, 2, JobState::Completed);
    cluster.wait_for_state(2, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn a_cancelled_job_is_shown_as_cancelled_and_frees_its_resources() {
    let cluster = Cluster::start(2, 1);
    cluster.scheduler();
    cluster.submit(0, 1, vec![step(4, 600_000)]);
    cluster.wait_for_state(1, 1, JobState::Running);
    let stored = cluster.on(1, |node| async move { node.cancel(&JobId(1).into()).await });
    assert_eq!(stored, StoreOutcome::Stored);
    cluster.wait_for_state(0, 1, JobState::Cancelled);
    cluster.submit(0, 2, vec![step(4, 20)]);
    cluster.wait_for_state(1, 2, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn an_unknown_job_is_reported_as_missing() {
    let cluster = Cluster::start(2, 1);
    cluster.scheduler();
    for number in cluster.live_nodes() {
        cluster.wait("the job to be reported as missing", || {
            let shown = cluster.on(
                number,
                |node| async move { node.state(JobId(9), None).await },
            );
            (shown == StateAnswer::NoSuchJob).then_some(())
        });
    }
}

#[test]
fn every_node_counts_the_pending_jobs_of_a_queue() {
    let cluster = Cluster::start(2, 1);
    cluster.scheduler();
    cluster.submit(0, 1, vec![step(4, 600_000)]);
    cluster.wait_for_state(0, 1, JobState::Running);
    for id in 2..5 {
        cluster.submit(1, id, vec![step(4, 20)]);
    }
    for number in cluster.live_nodes() {
        cluster.wait("three waiting jobs", || {
            let counted = cluster.on(number, |node| async move { node.pending(QUEUE).await });
            (counted == PendingAnswer::Known(3)).then_some(())
        });
    }
}

#[test]
fn only_a_newer_configuration_is_applied() {
    let cluster = Cluster::start(2, 1);
    cluster.platform.publish(configuration(7));
    cluster.platform.publish(configuration(3));
    cluster.platform.publish(configuration(8));
    for number in cluster.live_nodes() {
        cluster.wait("version 8", || {
            let version = cluster.on(number, |node| async move {
                node.configuration().map_or(0, |current| current.version)
            });
            (version == 8).then_some(())
        });
    }
}

#[test]
fn concurrent_orders_to_one_worker_are_limited() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let small = StepSpec {
        resources: Resources {
            cpu_millis: 10,
            ..Resources::ZERO
        },
        ..step(200, 20)
    };
    cluster.submit(node, 1, vec![small]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    let most = cluster.platform.max_starts_in_flight();
    assert!(most <= 24, "{most} concurrent orders to one worker");
    cluster.assert_no_violations();
}
