//! Workers that crash and come back.

use syc_sched::JobState;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::cluster::Cluster;
use crate::cluster::step;
use crate::cluster::worker;

/// A worker that crashed is another incarnation when it is back: what ran on the first is over.
#[test]
fn tasks_of_a_worker_that_was_replaced_start_on_its_next_incarnation() {
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
    cluster.assert_sound();
}
