//! With wrong wall clocks, no job may be forgotten, run twice, start too early or never start.
//!
//! The age of an ended job must not be computed from the clocks of two nodes. If the job ended on a node whose clock is
//! behind, another node would forget it at once and remove its progress. If the job record is still in the store at the
//! next takeover, its tasks would run again.

use syc_cell::StateAnswer;
use syc_cell::ports::Topic;
use syc_fleet::SharedFaults;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Schedule;
use test_case::test_case;

use crate::cluster::Cluster;
use crate::cluster::job;
use crate::cluster::step;

/// Long enough for the scheduler to check several times which ended jobs are too old.
const SEVERAL_SWEEPS_MS: u64 = 500;

/// Upper bound of the partitions of any topic.
const MAX_PARTITIONS: u32 = 64;

const STEP_MS: i64 = 200_000;
const DAY_MS: i64 = 86_400_000;

/// Node whose wall clock is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SkewedClock {
    Acceptor,
    Scheduler,
    Successor,
    All,
}

impl SkewedClock {
    fn offset_ms(self, node: Self, offset_ms: i64) -> i64 {
        if self == node || self == Self::All {
            offset_ms
        } else {
            0
        }
    }
}

fn has_progress(cluster: &Cluster, id: u64) -> bool {
    has_record(cluster, Topic::Progress, &JobId(id).to_string())
}

fn has_record(cluster: &Cluster, topic: Topic, key: &str) -> bool {
    cluster.platform.with_store(|store| {
        let partitions = (0..MAX_PARTITIONS).map(|partition| store.newest(topic, partition));
        let records = partitions.flat_map(|newest| newest.records);
        let mut records = records.map(|(_offset, record)| record);
        records.any(|record| record.key == key)
    })
}

/// The clocks are wrong until the first scheduler ends. After that only the successor's may be.
#[test_case(SkewedClock::Acceptor, -STEP_MS; "the acceptor is behind by 200 s")]
#[test_case(SkewedClock::Acceptor, DAY_MS; "the acceptor is ahead by a day")]
#[test_case(SkewedClock::Scheduler, -STEP_MS; "the scheduler is behind by 200 s")]
#[test_case(SkewedClock::Scheduler, STEP_MS; "the scheduler is ahead by 200 s")]
#[test_case(SkewedClock::Scheduler, -DAY_MS; "the scheduler is behind by a day")]
#[test_case(SkewedClock::Scheduler, DAY_MS; "the scheduler is ahead by a day")]
#[test_case(SkewedClock::Successor, -STEP_MS; "the successor is behind by 200 s")]
#[test_case(SkewedClock::Successor, STEP_MS; "the successor is ahead by 200 s")]
#[test_case(SkewedClock::Successor, -DAY_MS; "the successor is behind by a day")]
#[test_case(SkewedClock::Successor, DAY_MS; "the successor is ahead by a day")]
#[test_case(SkewedClock::All, -STEP_MS; "all are behind by 200 s")]
#[test_case(SkewedClock::All, DAY_MS; "all are ahead by a day")]
fn ended_jobs_stay_known_with_wrong_clocks(skewed: SkewedClock, offset_ms: i64) {
    let mut cluster = Cluster::start(2, 2);
    let first = cluster.scheduler();
    let other = 1 - first;
    cluster.set_clock(first, skewed.offset_ms(SkewedClock::Scheduler, offset_ms));
    cluster.set_clock(other, skewed.offset_ms(SkewedClock::Acceptor, offset_ms));
    cluster.submit(other, 1, vec![step(2, 20)]);
    cluster.wait_for_state(other, 1, JobState::Completed);
    cluster.set_clock(other, skewed.offset_ms(SkewedClock::Successor, offset_ms));
    cluster.kill(first);
    let second = cluster.scheduler();
    cluster.submit(second, 2, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    let kept = StateAnswer::Known(JobState::Completed);
    assert_eq!(cluster.state(second, 1), kept);
    assert!(
        has_progress(&cluster, 1),
        "the progress was removed from the store"
    );
    let third = cluster.add_node();
    cluster.kill(second);
    cluster.wait_for_state(third, 2, JobState::Completed);
    assert_eq!(cluster.state(third, 1), kept);
    cluster.assert_no_violations();
}

/// The clock steps while the same scheduler keeps the role.
#[test_case(-STEP_MS; "back by 200 s")]
#[test_case(STEP_MS; "ahead by 200 s")]
#[test_case(-DAY_MS; "back by a day")]
#[test_case(DAY_MS; "ahead by a day")]
fn a_clock_step_during_a_job_loses_nothing(offset_ms: i64) {
    let cluster = Cluster::start(1, 2);
    let node = cluster.scheduler();
    cluster.submit(node, 1, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    cluster.submit(node, 2, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.set_clock(node, offset_ms);
    cluster.wait_for_state(node, 2, JobState::Completed);
    cluster.submit(node, 3, vec![step(1, 20)]);
    cluster.set_clock(node, 0);
    cluster.wait_for_state(node, 3, JobState::Completed);
    cluster.submit(node, 4, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.wait_for_state(node, 4, JobState::Completed);
    for id in 1..=4 {
        let kept = StateAnswer::Known(JobState::Completed);
        assert_eq!(cluster.state(node, id), kept, "job {id}");
    }
    cluster.assert_no_violations();
}

/// Waits until a node knows that all clocks were reported to the scheduler.
fn wait_for_clocks(cluster: &Cluster, number: usize, clocks: u32) {
    cluster.wait("all clocks to be reported", || {
        let agreed = cluster.on(number, |node| async move { node.agreed_time() });
        let agreed = agreed.filter(|agreed| agreed.clocks == clocks);
        agreed.map(|_| ())
    });
}

/// Creates a job that is due in `time_ms`, according to the node's current clock.
fn due_in(cluster: &Cluster, node: usize, time_ms: u64) -> JobSpec {
    JobSpec {
        schedule: Schedule {
            occurrences: 1,
            first_at_ms: cluster.wall_clock(node).plus(time_ms),
            interval_ms: 0,
        },
        ..job(1, vec![step(1, 20)])
    }
}

/// The clock steps while the scheduler is running, before the job is submitted.
#[test_case(SkewedClock::Scheduler, STEP_MS; "the scheduler is ahead by 200 s")]
#[test_case(SkewedClock::Scheduler, DAY_MS; "the scheduler is ahead by a day")]
#[test_case(SkewedClock::Acceptor, STEP_MS; "the acceptor is ahead by 200 s")]
#[test_case(SkewedClock::Acceptor, DAY_MS; "the acceptor is ahead by a day")]
#[test_case(SkewedClock::All, DAY_MS; "all are ahead by a day")]
fn a_timed_job_does_not_start_before_its_time(skewed: SkewedClock, offset_ms: i64) {
    let cluster = Cluster::start(3, 2);
    let scheduler = cluster.scheduler();
    let acceptor = (scheduler + 1) % 3;
    wait_for_clocks(&cluster, acceptor, 3);
    let timed = due_in(&cluster, acceptor, 150_000);
    for node in 0..3 {
        cluster.set_clock(node, skewed.offset_ms(SkewedClock::All, offset_ms));
    }
    cluster.set_clock(
        scheduler,
        skewed.offset_ms(SkewedClock::Scheduler, offset_ms),
    );
    cluster.set_clock(acceptor, skewed.offset_ms(SkewedClock::Acceptor, offset_ms));
    cluster.submit_job(acceptor, &timed);
    cluster.submit(acceptor, 2, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.wait_for_state(acceptor, 2, JobState::Completed);
    let waits = StateAnswer::Known(JobState::Queued);
    assert_eq!(cluster.state(acceptor, 1), waits);
}

/// The clock is behind when the job is submitted. The job is due at once.
#[test_case(SkewedClock::Scheduler, -STEP_MS; "the scheduler is behind by 200 s")]
#[test_case(SkewedClock::Scheduler, -DAY_MS; "the scheduler is behind by a day")]
#[test_case(SkewedClock::Acceptor, -STEP_MS; "the acceptor is behind by 200 s")]
#[test_case(SkewedClock::Acceptor, -DAY_MS; "the acceptor is behind by a day")]
#[test_case(SkewedClock::All, -DAY_MS; "all are behind by a day")]
fn a_timed_job_starts_in_time(skewed: SkewedClock, offset_ms: i64) {
    let cluster = Cluster::start(3, 2);
    let scheduler = cluster.scheduler();
    let acceptor = (scheduler + 1) % 3;
    wait_for_clocks(&cluster, acceptor, 3);
    let timed = due_in(&cluster, acceptor, 0);
    for node in 0..3 {
        cluster.set_clock(node, skewed.offset_ms(SkewedClock::All, offset_ms));
    }
    cluster.set_clock(
        scheduler,
        skewed.offset_ms(SkewedClock::Scheduler, offset_ms),
    );
    cluster.set_clock(acceptor, skewed.offset_ms(SkewedClock::Acceptor, offset_ms));
    cluster.submit_job(acceptor, &timed);
    cluster.wait_for_state(acceptor, 1, JobState::Completed);
    cluster.assert_no_violations();
}

/// A process that starts with a wrong clock must rely on the other nodes' clocks and on the time that the previous
/// scheduler reported.
#[test_case(STEP_MS; "ahead by 200 s")]
#[test_case(DAY_MS; "ahead by a day")]
fn a_timed_job_waits_under_a_successor_started_with_a_wrong_clock(offset_ms: i64) {
    let mut cluster = Cluster::start(1, 2);
    let first = cluster.scheduler();
    let late = cluster.add_node_with_clock(offset_ms);
    wait_for_clocks(&cluster, late, 2);
    cluster.submit_job(first, &due_in(&cluster, first, 150_000));
    cluster.kill(first);
    let second = cluster.scheduler();
    assert_eq!(second, late);
    cluster.submit(second, 2, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.wait_for_state(second, 2, JobState::Completed);
    let waits = StateAnswer::Known(JobState::Queued);
    assert_eq!(cluster.state(second, 1), waits);
}

/// A successor that found the job record without its progress would run the job again.
#[test]
fn progress_is_kept_as_long_as_the_job_record() {
    let cluster = Cluster::start_with_retention(2, 200);
    let node = cluster.scheduler();
    let submitted = JobId(1).to_string();
    cluster.submit(node, 1, vec![step(1, SEVERAL_SWEEPS_MS)]);
    cluster.wait_for_state(node, 1, JobState::Running);
    let down = (0..MAX_PARTITIONS).map(|partition| (Topic::Jobs, partition));
    cluster.platform.set_faults(SharedFaults {
        unavailable_partitions: down.collect(),
        ..SharedFaults::default()
    });
    cluster.wait("the job to be forgotten", || {
        let known = matches!(cluster.state(node, 1), StateAnswer::Known(_));
        (!known).then_some(())
    });
    // Long enough for several rounds in which records of forgotten jobs are removed.
    std::thread::sleep(std::time::Duration::from_millis(3 * SEVERAL_SWEEPS_MS));
    assert!(has_record(&cluster, Topic::Jobs, &submitted));
    assert!(has_progress(&cluster, 1));
    cluster.platform.set_faults(SharedFaults::default());
    cluster.wait("both to be removed", || {
        let left = has_record(&cluster, Topic::Jobs, &submitted) || has_progress(&cluster, 1);
        (!left).then_some(())
    });
}
