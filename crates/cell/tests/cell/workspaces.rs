//! Jobs of workspaces: only callers of a job's workspace see, repeat and cancel it.

use syc_cell::StateAnswer;
use syc_cell::StoreOutcome;
use syc_cell::WallClock;
use syc_cell::ports::Condition;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_cell::records;
use syc_cell::records::JobRecord;
use syc_sched::Cancellation;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_types::TimeOfDay;
use syc_types::WorkspaceName;
use test_case::test_case;

use crate::cluster::Cluster;
use crate::cluster::job;
use crate::cluster::step;

const ID: u64 = 7;

fn owned_by(workspace: &str, work_ms: u64) -> JobSpec {
    JobSpec {
        workspace: Some(workspace.into()),
        ..job(ID, vec![step(1, work_ms)])
    }
}

fn state(cluster: &Cluster, node: usize, caller: Option<&str>) -> StateAnswer {
    let caller = caller.map(WorkspaceName::from);
    cluster.on(node, move |node| async move {
        node.state(JobId(ID), caller.as_ref()).await
    })
}

fn wait_for_state(cluster: &Cluster, node: usize, expected: JobState) {
    cluster.wait("the job to be seen by its workspace", || {
        let seen = state(cluster, node, Some("a"));
        (seen == StateAnswer::Known(expected)).then_some(())
    });
}

fn assert_only_seen_by_its_workspace(cluster: &Cluster, expected: JobState) {
    for node in cluster.live_nodes() {
        wait_for_state(cluster, node, expected);
        assert_eq!(state(cluster, node, Some("b")), StateAnswer::NoSuchJob);
        assert_eq!(state(cluster, node, None), StateAnswer::NoSuchJob);
    }
}

fn cancel(cluster: &Cluster, node: usize, workspace: &str) -> StoreOutcome {
    let cancellation = Cancellation {
        job: JobId(ID),
        workspace: Some(workspace.into()),
    };
    cluster.on(
        node,
        move |node| async move { node.cancel(&cancellation).await },
    )
}

#[test]
fn a_job_of_another_workspace_does_not_exist_for_a_caller() {
    let mut cluster = Cluster::start(3, 1);
    let first = cluster.scheduler();
    cluster.submit_job(first, &owned_by("a", 600_000));
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
    cluster.kill(first);
    cluster.scheduler();
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
}

/// Only its progress is left then.
#[test]
fn an_ended_job_belongs_to_its_workspace_after_a_takeover_too() {
    let mut cluster = Cluster::start(3, 1);
    let first = cluster.scheduler();
    cluster.submit_job(first, &owned_by("a", 20));
    wait_for_state(&cluster, first, JobState::Completed);
    cluster.kill(first);
    cluster.scheduler();
    assert_only_seen_by_its_workspace(&cluster, JobState::Completed);
}

#[test]
fn a_submit_with_the_id_of_another_workspaces_job_is_refused() {
    let cluster = Cluster::start(2, 1);
    let scheduler = cluster.scheduler();
    cluster.submit_job(scheduler, &owned_by("a", 600_000));
    wait_for_state(&cluster, scheduler, JobState::Running);
    let foreign = owned_by("b", 20);
    let outcome = cluster.on(
        scheduler,
        move |node| async move { node.submit(&foreign).await },
    );
    assert_eq!(outcome, StoreOutcome::IdTaken);
    let repeated = owned_by("a", 600_000);
    let outcome = cluster.on(scheduler, move |node| async move {
        node.submit(&repeated).await
    });
    assert_eq!(outcome, StoreOutcome::Stored);
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_by_another_workspace_changes_nothing() {
    let cluster = Cluster::start(2, 1);
    let scheduler = cluster.scheduler();
    cluster.submit_job(scheduler, &owned_by("a", 600_000));
    wait_for_state(&cluster, scheduler, JobState::Running);
    assert_eq!(cancel(&cluster, scheduler, "b"), StoreOutcome::IdTaken);
    for node in cluster.live_nodes() {
        cancel(&cluster, node, "b");
    }
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
    assert_eq!(cancel(&cluster, scheduler, "a"), StoreOutcome::Stored);
    wait_for_state(&cluster, scheduler, JobState::Cancelled);
}

/// The records of both are in the store, and the successor reads them at the same time.
#[test]
fn a_successor_keeps_the_job_of_the_workspace_that_was_first() {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    cluster.submit_job(first, &owned_by("a", 600_000));
    wait_for_state(&cluster, first, JobState::Running);
    let foreign = JobSpec {
        accepted_at_ms: TimeOfDay(WallClock::default().read().0 + 60_000),
        ..owned_by("b", 20)
    };
    let record = records::submitted(&foreign);
    for partition in 0..2 {
        cluster.platform.with_store(|store| {
            let records = std::slice::from_ref(&record);
            let appended = store.append(Topic::Jobs, partition, records, &Condition::None);
            appended.expect("the append succeeds");
        });
    }
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
    cluster.kill(first);
    cluster.scheduler();
    assert_only_seen_by_its_workspace(&cluster, JobState::Running);
    cluster.assert_no_violations();
}

/// The store keeps only the newest record of a key.
#[test]
fn records_of_two_workspaces_have_different_keys() {
    let plain = records::submitted(&job(ID, vec![step(1, 20)]));
    let (a, b) = (owned_by("a", 20), owned_by("b", 20));
    let (a, b) = (records::submitted(&a), records::submitted(&b));
    assert_eq!(plain.key, format!("{ID:016x}"));
    assert_ne!(a.key, b.key);
    assert_ne!(a.key, plain.key);
    for record in [&plain, &a, &b] {
        assert_eq!(records::job_of_key(&record.key), Some(JobId(ID)));
        assert!(matches!(records::read_job(record), JobRecord::Submitted(_)));
    }
}

#[test_case(None; "of no workspace")]
#[test_case(Some("a"); "of a workspace")]
#[test_case(Some("a.b/cancel"); "with a name like a key")]
fn cancellations_round_trip(workspace: Option<&str>) {
    let written = Cancellation {
        job: JobId(ID),
        workspace: workspace.map(WorkspaceName::from),
    };
    let record = records::cancelled(&written);
    assert_eq!(records::job_of_key(&record.key), Some(JobId(ID)));
    assert_eq!(records::read_job(&record), JobRecord::Cancelled(written));
}

/// A record that is stored under the key of another workspace would cancel that one's job.
#[test]
fn a_cancellation_under_the_key_of_another_workspace_is_unreadable() {
    let of = |workspace: &str| {
        records::cancelled(&Cancellation {
            job: JobId(ID),
            workspace: Some(workspace.into()),
        })
    };
    let mixed = Record {
        key: of("a").key,
        value: of("b").value,
    };
    let read = records::read_job(&mixed);
    assert!(matches!(read, JobRecord::Unreadable { .. }));
}
