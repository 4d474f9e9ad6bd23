//! Unreadable input from other components must be skipped and counted, and must not affect anything else.

use bytes::Bytes;
use syc_cell::Source;
use syc_cell::StateAnswer;
use syc_cell::Unreadable;
use syc_cell::ports::Condition;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_cell::records::submitted;
use syc_fleet::SharedFaults;
use syc_net::PeerClient;
use syc_net::PeerOptions;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::StepSpec;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use syc_wire::cell::CellBody;
use syc_wire::cell::CellMessage;
use syc_wire::cell::Contact;
use syc_wire::cell::ContactReply;
use syc_wire::cell::ElectedScheduler;
use syc_wire::cell::NoticeReply;
use syc_wire::cell::StoredNotice;
use test_case::test_case;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::job;
use crate::cluster::step;
use crate::cluster::worker;

/// Timeout of a call between nodes in these tests.
const CALL_MS: u64 = 30_000;

/// Partitions that hold the progress of jobs.
const PROGRESS_PARTITIONS: u32 = 2;

fn append_value(cluster: &Cluster, topic: Topic, partition: u32, key: &str, value: &'static [u8]) {
    let record = Record {
        key: key.into(),
        value: Bytes::from_static(value),
    };
    append_record(cluster, topic, partition, &record);
}

fn append_record(cluster: &Cluster, topic: Topic, partition: u32, record: &Record) {
    cluster.platform.with_store(|store| {
        let records = std::slice::from_ref(record);
        let appended = store.append(topic, partition, records, &Condition::None);
        appended.expect("the append succeeds");
    });
}

/// Returns a node's count of unreadable input from a source.
fn unreadable_count(cluster: &Cluster, node: usize, source: &str) -> u64 {
    let page = cluster.on(node, |node| async move { node.metrics_page() });
    let label = format!("source=\"{source}\"");
    let mut lines = page.lines();
    let line = lines.find(|line| {
        line.starts_with("syc_cell_unreadable_total") && line.contains(label.as_str())
    });
    let count = line.and_then(|line| line.rsplit_once(' '));
    count.map_or(0, |(_, count)| count.parse().expect("a number"))
}

fn wait_until_counted(cluster: &Cluster, node: usize, source: &str, count: u64) {
    cluster.wait("the unreadable input to be counted", || {
        (unreadable_count(cluster, node, source) >= count).then_some(())
    });
}

fn version(cluster: &Cluster, node: usize) -> Option<u64> {
    cluster.on(node, |node| async move {
        node.configuration().map(|current| current.version)
    })
}

fn state(cluster: &Cluster, node: usize, id: u64) -> StateAnswer {
    cluster.on(node, move |node| async move {
        node.state(JobId(id), None).await
    })
}

#[test]
fn an_unreadable_configuration_leaves_the_previous_one_in_force() {
    let mut cluster = Cluster::start(1, 1);
    cluster.scheduler();
    append_value(&cluster, Topic::Operators, 0, "config", b"\xff{");
    wait_until_counted(&cluster, 0, "operators", 1);
    assert_eq!(version(&cluster, 0), Some(1));
    cluster.submit(0, 1, vec![step(1, 20)]);
    cluster.wait_for_state(0, 1, JobState::Completed);
    // A node that starts now has no previous configuration.
    let late = cluster.add_node();
    wait_until_counted(&cluster, late, "operators", 1);
    assert_eq!(version(&cluster, late), None);
    assert!(!cluster.on(late, |node| async move { node.is_ready() }));
    cluster.platform.publish(configuration(3));
    for node in [0, late] {
        cluster.wait("the next configuration to be in force", || {
            (version(&cluster, node) == Some(3)).then_some(())
        });
    }
    cluster.assert_no_violations();
}

/// The progress may have been written by a later version. Which tasks are done is then unknown, and starting them could
/// run them twice.
#[test]
fn a_job_with_unreadable_progress_starts_no_tasks() {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 20), after_first(step(1, 600_000))]);
    cluster.wait_for_state(first, 1, JobState::Running);
    cluster.wait("the first step to be done", || {
        let runs = cluster.platform.with_fleet(|fleet| {
            let running = [0, 1].map(|index| fleet.runs_on(&worker(index).id));
            let done = fleet.checker.is_step_done(syc_sched::StepId {
                job: JobId(1),
                occurrence: 0,
                step: 0,
            });
            (done, running.iter().sum::<usize>())
        });
        (runs == (true, 1)).then_some(())
    });
    let key = format!("{:016x}", 1);
    cluster.kill(first);
    for partition in 0..PROGRESS_PARTITIONS {
        append_value(
            &cluster,
            Topic::Progress,
            partition,
            &key,
            br#"{"v":{"t":9},"steps":7}"#,
        );
    }
    let second = cluster.scheduler();
    cluster.submit(second, 2, vec![step(1, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    assert_eq!(state(&cluster, second, 1), StateAnswer::Unsure);
    assert!(unreadable_count(&cluster, second, "progress") >= 1);
    cluster.assert_no_violations();
}

fn after_first(step: StepSpec) -> StepSpec {
    StepSpec {
        after: vec![0],
        ..step
    }
}

/// The caller that submitted the job must not be told that it does not exist.
#[test_case("00000000000000a1"; "of no workspace")]
#[test_case("00000000000000a1.0123456789abcdef"; "of a workspace")]
fn a_job_with_an_unreadable_record_is_not_reported_as_missing(key: &str) {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    append_value(&cluster, Topic::Jobs, 1, key, b"{\"steps\":0}");
    append_value(&cluster, Topic::Jobs, 1, "no job at all", b"{}");
    wait_until_counted(&cluster, first, "jobs", 2);
    assert_eq!(state(&cluster, first, 0xa1), StateAnswer::Unsure);
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    cluster.kill(first);
    let second = cluster.scheduler();
    assert_eq!(state(&cluster, second, 0xa1), StateAnswer::Unsure);
    assert!(unreadable_count(&cluster, second, "jobs") >= 2);
    // Once the record is removed, the job is reported as missing.
    append_value(&cluster, Topic::Jobs, 1, key, b"");
    cluster.wait("the job to be forgotten", || {
        (state(&cluster, second, 0xa1) == StateAnswer::NoSuchJob).then_some(())
    });
}

/// The scheduler core assumes that a job is valid and is the one named by its key, so the node has to check both.
#[test_case(&JobSpec { steps: Vec::new(), ..job(0xa2, Vec::new()) }; "no steps")]
#[test_case(&job(0xa2, vec![StepSpec { after: vec![3], ..step(1, 20) }]); "dependency on a missing step")]
#[test_case(&job(0xa2, vec![step(4_000_000_000, 20)]); "too many tasks")]
#[test_case(&job(0xa2, vec![step(1, u64::MAX), after_first(step(1, u64::MAX))]); "estimates that overflow")]
#[test_case(&JobSpec { id: JobId(0xa3), ..job(0xa2, vec![step(1, 20)]) }; "another job")]
fn an_invalid_job_is_not_scheduled(spec: &JobSpec) {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    let record = Record {
        key: "00000000000000a2".into(),
        ..submitted(spec)
    };
    append_record(&cluster, Topic::Jobs, 1, &record);
    wait_until_counted(&cluster, first, "jobs", 1);
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    assert_eq!(state(&cluster, first, 0xa2), StateAnswer::Unsure);
    cluster.kill(first);
    let second = cluster.scheduler();
    cluster.submit(second, 2, vec![step(1, 20)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    cluster.assert_no_violations();
}

/// Without the roster, a successor doesn't know which workers may run tasks. It has to wait until every lease has
/// expired.
#[test]
fn a_successor_with_an_unreadable_roster_starts_nothing_that_may_be_running() {
    let mut cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    cluster.submit(first, 1, vec![step(1, 600_000)]);
    cluster.wait_for_state(first, 1, JobState::Running);
    cluster.kill(first);
    // The worker is no longer listed, and no progress record shows that it was given the job.
    cluster.platform.unlist(&worker(0).id);
    for partition in 0..PROGRESS_PARTITIONS {
        append_value(
            &cluster,
            Topic::Progress,
            partition,
            "workers/0",
            b"{\"later\":1}",
        );
        append_value(
            &cluster,
            Topic::Progress,
            partition,
            "0000000000000001",
            b"",
        );
    }
    cluster.platform.register(WorkerSpec {
        id: WorkerId::new("w-1"),
        ..worker(1)
    });
    cluster.scheduler();
    cluster.wait("the task to run on the other worker", || {
        let runs = cluster
            .platform
            .with_fleet(|fleet| fleet.runs_on(&WorkerId::new("w-1")));
        (runs == 1).then_some(())
    });
    cluster.assert_no_violations();
}

/// Lease ends are computed by adding to the worker's clock. A clock near its maximum must not stop the renewals.
#[test]
fn leases_are_renewed_on_a_worker_whose_clock_would_overflow() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    cluster.platform.set_faults(SharedFaults {
        corrupt_clocks: [worker(0).id].into(),
        ..SharedFaults::default()
    });
    cluster.submit(node, 1, vec![step(1, 3_000)]);
    cluster.wait("the wrong clock to be read", || {
        (cluster.platform.corrupt_clocks_returned() > 2).then_some(())
    });
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait_for_state(node, 1, JobState::Completed);
    cluster.assert_no_violations();
}

#[test]
fn an_unreadable_heartbeat_changes_nothing() {
    let cluster = Cluster::start(2, 1);
    let first = cluster.scheduler();
    append_value(&cluster, Topic::Holders, 0, "holder", b"{\"node\":7}");
    for node in [0, 1] {
        wait_until_counted(&cluster, node, "holders", 1);
    }
    cluster.submit(first, 1, vec![step(1, 20)]);
    cluster.wait_for_state(first, 1, JobState::Completed);
    assert!(cluster.on(first, |node| async move { node.is_scheduler() }));
}

#[test]
fn each_name_is_logged_once_until_it_is_readable_again() {
    let unreadable = Unreadable::default();
    assert!(unreadable.record(Source::Workers, "w-0"));
    assert!(!unreadable.record(Source::Workers, "w-0"));
    assert!(unreadable.record(Source::Workers, "w-1"));
    assert!(unreadable.record(Source::WorkerAnswers, "w-0"));
    unreadable.forget(Source::Workers, "w-0");
    assert!(unreadable.record(Source::Workers, "w-0"));
}

/// An endless supply of new names must fill neither the memory nor the log.
#[test]
fn at_most_a_thousand_names_are_logged() {
    let unreadable = Unreadable::default();
    let mut logged = 0;
    for number in 0..5_000 {
        let name = format!("w-{number}");
        logged += u32::from(unreadable.record(Source::Workers, &name));
    }
    assert_eq!(logged, 1_000);
    unreadable.forget(Source::Workers, "w-7");
    assert!(
        unreadable.record(Source::Workers, "w-5000"),
        "forgetting a name makes room for another"
    );
}

/// Calls a node as another node would, and returns its reply.
fn call(cluster: &Cluster, node: usize, frame: Bytes) -> Bytes {
    cluster.on(node, move |node| async move {
        let client = PeerClient::new(node.settings.peer_address, PeerOptions::default());
        client.call(&frame, CALL_MS).await.expect("an answer")
    })
}

#[test]
fn unreadable_frames_are_counted_and_get_an_empty_reply() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let reply = CellMessage::encode_body(CellBody::ContactReply(ContactReply {
        leading: true,
        ..ContactReply::default()
    }));
    // Bytes that are not a message, a message of a later version, and a reply sent as a call.
    let later = Bytes::from_static(b"\xa2\x06\x01x");
    for frame in [Bytes::from_static(b"\xff\xff\xff"), later, reply] {
        assert_eq!(call(&cluster, node, frame), Bytes::new());
    }
    assert_eq!(unreadable_count(&cluster, node, "peers"), 3);
    let contact = CellMessage::encode_body(CellBody::Contact(Contact {
        node: "other".into(),
        address: "nowhere".into(),
        ..Contact::default()
    }));
    for _ in 0..2 {
        call(&cluster, node, contact.clone());
    }
    assert_eq!(unreadable_count(&cluster, node, "peers"), 5);
    cluster.submit(node, 1, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
}

/// The scheduler later removes a job's records from the partition given in the notice. For an unknown partition, this
/// would create the partition and a topic.
#[test]
fn a_notice_for_an_unknown_partition_is_rejected() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let record = submitted(&job(0xa4, vec![step(1, 20)]));
    let notice = CellMessage::encode_body(CellBody::StoredNotice(StoredNotice {
        key: record.key.to_string(),
        value: record.value,
        partition: u32::MAX,
    }));
    let answer = call(&cluster, node, notice);
    let refused = CellBody::NoticeReply(NoticeReply { taken: false });
    assert_eq!(CellMessage::decode_body(&answer).ok(), Some(refused));
    assert_eq!(unreadable_count(&cluster, node, "peers"), 1);
}

/// Contacts a node and returns its reply.
fn contact(cluster: &Cluster, node: usize, contact: Contact) -> ContactReply {
    let frame = CellMessage::encode_body(CellBody::Contact(contact));
    match CellMessage::decode_body(&call(cluster, node, frame)) {
        Ok(CellBody::ContactReply(reply)) => reply,
        other => panic!("no reply to a contact: {other:?}"),
    }
}

/// Creates a notice to the process with this incarnation that a scheduler at this address was elected.
fn notice(predecessor_incarnation: u64, address: &str) -> Contact {
    let elected = ElectedScheduler {
        node: "other".into(),
        address: address.into(),
        incarnation: 1,
        token: u64::MAX,
    };
    Contact {
        token: elected.token,
        predecessor_incarnation,
        elected: Some(elected),
        ..Contact::default()
    }
}

/// The address of an ended process may belong to a process of another cell by now.
#[test]
fn a_notice_for_a_process_of_another_cell_changes_nothing() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let before = contact(&cluster, node, Contact::default());
    let stray = notice(before.incarnation + 1, "127.0.0.1:1");
    contact(&cluster, node, stray);
    cluster.submit(node, 1, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    let after = contact(&cluster, node, Contact::default());
    assert_eq!((after.leading, after.token), (true, before.token));
}

/// A node that followed a scheduler without an address would claim nothing and forward nothing.
#[test]
fn a_notice_with_an_unreadable_address_is_counted_and_not_followed() {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    let before = contact(&cluster, node, Contact::default());
    let counted = unreadable_count(&cluster, node, "peers");
    contact(&cluster, node, notice(before.incarnation, "nowhere"));
    assert_eq!(unreadable_count(&cluster, node, "peers"), counted + 1);
    cluster.submit(node, 1, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
}
