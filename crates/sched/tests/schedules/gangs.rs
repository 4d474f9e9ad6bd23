//! Schedules of gangs whose workers are unreachable, one after another, while the gangs run and end.

use smol_str::SmolStr;
use syc_cell::ports::Renewal;
use syc_cell::ports::StartCommand;
use syc_fleet::FleetModel;
use syc_fleet::TaskPlan;
use syc_fleet::Violation;
use syc_fleet::WorkerModel;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::Options;
use syc_sched::QueuePolicy;
use syc_sched::Run;
use syc_sched::Schedule;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use test_case::test_case;

use crate::SEEDS;
use crate::jobs::cpu;
use crate::search::search;
use crate::simulation::Profile;
use crate::simulation::Simulation;

/// Length of the leases of the workers in the tests of the checker.
const LEASE_MS: u64 = 6_000;

/// Gangs without any fault.
const GANGS: Profile = Profile {
    gang_workload: true,
    ..Profile::FAULT_FREE
};

/// Gangs whose workers are partitioned one after another.
const PARTITIONED: Profile = Profile {
    gang_partitions: 10,
    ..GANGS
};

/// The same, while orders are lost and carried out late.
const LOST_AND_LATE: Profile = Profile {
    lost_per_mille: 40,
    late_per_mille: 40,
    ..PARTITIONED
};

const MOSTLY_LATE: Profile = Profile {
    late_per_mille: 400,
    ..LOST_AND_LATE
};

const MANY_LOST: Profile = Profile {
    lost_per_mille: 300,
    ..LOST_AND_LATE
};

const TAKEN_OVER_LATE: Profile = Profile {
    late_scheduler_crash: true,
    ..LOST_AND_LATE
};

const SCHEDULERS_CRASH: Profile = Profile {
    scheduler_crashes: 6,
    ..TAKEN_OVER_LATE
};

const EVERYTHING: Profile = Profile {
    scheduler_crashes: 4,
    worker_crashes: 3,
    store_pauses: 2,
    ..TAKEN_OVER_LATE
};

#[test_case(GANGS; "no faults")]
#[test_case(PARTITIONED; "partitions")]
#[test_case(LOST_AND_LATE; "partitions with orders lost and late")]
#[test_case(MOSTLY_LATE; "partitions with most orders late")]
#[test_case(MANY_LOST; "partitions with many answers lost")]
#[test_case(TAKEN_OVER_LATE; "partitions and a takeover afterwards")]
#[test_case(SCHEDULERS_CRASH; "partitions while schedulers crash")]
#[test_case(EVERYTHING; "everything at once")]
fn gangs_end_once_when_their_workers_are_unreachable(profile: Profile) {
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        assert_eq!(simulation.faults(), [], "seed {seed}");
        assert_eq!(simulation.unexpected_states(), [], "seed {seed}");
    }
}

/// The end as done of a member whose lease holds was dropped, because the lease of another member had expired. The gang
/// waited for that end for ever.
#[test_case(5, PARTITIONED; "partitions, first")]
#[test_case(17, PARTITIONED; "partitions, second")]
#[test_case(19, LOST_AND_LATE; "orders lost and late")]
#[test_case(31, MOSTLY_LATE; "most orders late")]
#[test_case(7, MANY_LOST; "many answers lost")]
fn gang_stands_still_after_the_lease_of_one_member_expired(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
}

/// The successor of the scheduler that dropped such an end started the gang again.
#[test_case(19, TAKEN_OVER_LATE; "a takeover afterwards")]
#[test_case(326, TAKEN_OVER_LATE; "a takeover afterwards, two gangs")]
#[test_case(229, SCHEDULERS_CRASH; "schedulers crash, first")]
#[test_case(427, SCHEDULERS_CRASH; "schedulers crash, second")]
#[test_case(136, EVERYTHING; "everything at once, first")]
#[test_case(206, EVERYTHING; "everything at once, second")]
fn gang_is_started_after_a_member_with_a_valid_lease_was_done(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
}

/// Prints the seeds that violate an invariant or end a job in an unexpected state. Run manually.
#[test_case("partitions", PARTITIONED; "partitions")]
#[test_case("lost and late", LOST_AND_LATE; "partitions with orders lost and late")]
#[test_case("mostly late", MOSTLY_LATE; "partitions with most orders late")]
#[test_case("many lost", MANY_LOST; "partitions with many answers lost")]
#[test_case("taken over late", TAKEN_OVER_LATE; "partitions and a takeover afterwards")]
#[test_case("schedulers crash", SCHEDULERS_CRASH; "partitions while schedulers crash")]
#[test_case("everything", EVERYTHING; "everything at once")]
#[ignore = "prints the failing seeds of many schedules"]
fn print_failing_gang_schedules(name: &str, profile: Profile) {
    let results = search(|seed| {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        (simulation.faults(), simulation.unexpected_states())
    });
    for (seed, (faults, unexpected)) in results {
        if !faults.is_empty() || !unexpected.is_empty() {
            println!("{name}, seed {seed}: faults {faults:?}, unexpected states {unexpected:?}");
        }
    }
}

/// A fleet on which a gang of two has ended as done on `w-1` and `w-2`, before the lease of `w-1` expires.
struct EndedGang {
    fleet: FleetModel,
    step: StepId,
}

impl EndedGang {
    const DONE_AT: Millis = Millis(2_000);

    fn new() -> Self {
        let step = StepId {
            job: JobId(1),
            occurrence: 0,
            step: 0,
        };
        let mut fleet = FleetModel::default();
        fleet.checker.submitted(JobSpec {
            id: step.job,
            payload: SmolStr::new_static("payload"),
            steps: vec![StepSpec {
                tasks: 2,
                resources: cpu(1),
                gang: true,
                ..StepSpec::default()
            }],
            policy: QueuePolicy {
                attempts_limit: 3,
                ..QueuePolicy::default()
            },
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay(0),
            workspace: None,
        });
        let plan = TaskPlan {
            work_ms: 1_000,
            failing_runs: 0,
        };
        fleet.plan_task(TaskId { step, index: 0 }, plan);
        for number in 1..=4 {
            fleet.add(WorkerModel::new(worker(number), cpu(8), 0));
        }
        let mut gang = Self { fleet, step };
        gang.start(1, 0, Run(1), Millis(10));
        gang.start(2, 1, Run(1), Millis(10));
        for now in (10..=Self::DONE_AT.0).step_by(10) {
            gang.fleet.advance(Millis(now));
        }
        gang
    }

    fn start(&mut self, number: u64, index: u32, run: Run, now: Millis) {
        let command = StartCommand {
            task: TaskId {
                step: self.step,
                index,
            },
            run,
            payload: SmolStr::default(),
            lease_until_ms: now.0 + LEASE_MS,
            token: 1,
            ticket: SmolStr::default(),
            checkpoint: SmolStr::default(),
        };
        let started = self.fleet.start(&worker(number), &command, now);
        assert_eq!(started, Ok(()));
    }

    /// Acknowledges the only end on a worker.
    fn acknowledge(&mut self, number: u64, now: Millis) {
        let renewal = Renewal {
            lease_until_ms: None,
            acknowledged: 1,
            wait_ms: 0,
            token: 1,
        };
        let renewed = self.fleet.renew(&worker(number), &renewal, now);
        assert!(renewed.is_ok(), "{renewed:?}");
    }

    fn tasks_started_after_done(&self) -> Vec<u32> {
        let violations = self.fleet.checker.violations().iter();
        let tasks = violations.filter_map(|violation| match violation {
            Violation::StartedAfterDone(task) => Some(task.index),
            _ => None,
        });
        tasks.collect()
    }
}

fn worker(number: u64) -> WorkerId {
    WorkerId::new(format!("w-{number}"))
}

#[test]
fn checker_detects_gang_started_after_acknowledged_end_of_other_member() {
    let mut gang = EndedGang::new();
    gang.acknowledge(2, Millis(2_100));
    gang.start(3, 0, Run(2), Millis(2_200));
    assert_eq!(gang.tasks_started_after_done(), [0]);
}

#[test]
fn checker_detects_gang_started_before_end_of_other_member_is_acknowledged() {
    let mut gang = EndedGang::new();
    gang.start(3, 0, Run(2), Millis(2_200));
    assert!(gang.tasks_started_after_done().is_empty());
    gang.acknowledge(2, Millis(2_300));
    assert_eq!(gang.tasks_started_after_done(), [0]);
}

/// The end on the other worker still counts.
#[test]
fn checker_ignores_only_ends_whose_own_lease_expired_before_acknowledgement() {
    let mut gang = EndedGang::new();
    let renewal = Renewal {
        lease_until_ms: Some(2 * LEASE_MS),
        acknowledged: 0,
        wait_ms: 0,
        token: 1,
    };
    let renewed = gang.fleet.renew(&worker(2), &renewal, Millis(2_100));
    assert!(renewed.is_ok(), "{renewed:?}");
    let expired_at = Millis(LEASE_MS + 1_000);
    gang.start(3, 0, Run(2), expired_at);
    gang.acknowledge(1, expired_at.plus(10));
    assert!(gang.tasks_started_after_done().is_empty());
    gang.acknowledge(2, expired_at.plus(20));
    assert_eq!(gang.tasks_started_after_done(), [0]);
}

/// A late order can start a member on another worker under the number of a run whose other members are missing.
#[test]
fn gang_with_the_same_member_twice_makes_no_progress() {
    let mut gang = EndedGang::new();
    gang.start(3, 0, Run(2), Millis(2_100));
    gang.start(4, 0, Run(2), Millis(2_100));
    for now in (2_100..5_000).step_by(10) {
        gang.fleet.advance(Millis(now));
    }
    for number in [3, 4] {
        assert_eq!(gang.fleet.runs_on(&worker(number)), 1);
    }
}
