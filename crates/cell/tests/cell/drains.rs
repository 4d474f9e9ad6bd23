//! The record of draining workers of which all runs are recorded.

use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_cell::records::DrainsRecord;
use syc_cell::records::RosterRecord;
use syc_cell::records::drains;
use syc_cell::records::read_drains;
use syc_cell::records::roster;
use syc_fleet::SharedFaults;
use syc_sched::JobState;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::cluster::Cluster;
use crate::cluster::step;
use crate::cluster::worker;

fn drains_of(workers: &[usize], token: u64, change: u64) -> Record {
    drains(&DrainsRecord {
        token,
        change,
        workers: workers.iter().map(|index| worker(*index).id).collect(),
    })
}

// Guards against an older record of the other partition that is trusted although the newest can't be read.
#[test]
fn an_older_record_does_not_count_if_the_newest_is_unreadable() {
    let members = roster(&RosterRecord {
        token: 7,
        change: 1,
        workers: vec![worker(0)],
    });
    let older = drains_of(&[0], 7, 2);
    let mut newest = drains_of(&[], 7, 3);
    newest.value = b"{".to_vec().into();
    let records: Vec<_> = members.into_iter().chain([older, newest]).collect();
    let (trusted, unreadable) = read_drains(&records);
    assert_eq!(unreadable.len(), 1);
    assert!(trusted.is_empty(), "they may be in use again: {trusted:?}");
}

fn stored_drains(cluster: &Cluster) -> Vec<WorkerId> {
    cluster.platform.with_store(|store| {
        let partitions = (0..2).map(|partition| store.newest(Topic::Progress, partition));
        let records = partitions.flat_map(|newest| newest.records);
        let records: Vec<_> = records.map(|(_offset, record)| record).collect();
        read_drains(&records).0
    })
}

fn refuse_progress() -> SharedFaults {
    SharedFaults {
        unavailable_partitions: vec![(Topic::Progress, 0), (Topic::Progress, 1)],
        ..SharedFaults::default()
    }
}

// Guards against a worker in use that is stored as drained: a successor would take it as gone if it doesn't answer.
#[test]
fn a_worker_that_is_used_again_after_a_takeover_is_not_stored_as_drained() {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    let ready = worker(0);
    cluster.platform.register(WorkerSpec {
        draining: true,
        ..ready.clone()
    });
    cluster.wait("the record of the drain", || {
        stored_drains(&cluster).contains(&ready.id).then_some(())
    });
    cluster.platform.set_faults(refuse_progress());
    cluster.platform.register(ready.clone());
    cluster.kill(first);
    let full_reads = || {
        let counts =
            [0, 1].map(|partition| cluster.platform.full_reads(Topic::Progress, partition));
        counts.into_iter().min()
    };
    let reads_before = full_reads();
    cluster.platform.set_faults(SharedFaults::default());
    // The store refuses the successor's first appends, beginning between its reads and the first append.
    while full_reads() == reads_before {
        std::thread::yield_now();
    }
    cluster.platform.set_faults(refuse_progress());
    let second = cluster.scheduler();
    std::thread::sleep(std::time::Duration::from_secs(3));
    cluster.platform.set_faults(SharedFaults::default());
    cluster.submit(second, 2, vec![step(16, 3_000)]);
    cluster.wait("a run on the worker", || {
        cluster.platform.with_fleet(|fleet| {
            let worker = fleet.workers.values().find(|worker| worker.id == ready.id);
            worker.filter(|worker| worker.run_count() > 0).map(|_| ())
        })
    });
    for _ in 0..50 {
        assert!(!stored_drains(&cluster).contains(&ready.id), "it is in use");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}
