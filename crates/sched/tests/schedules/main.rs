//! Simulation tests of the scheduler against a model of the workers, in virtual time.
//!
//! Each seed generates jobs, faults and their order. A checker observes every start and end on the workers and
//! verifies the invariants. Since the generator knows how each task behaves, it also knows the state in which each job
//! must end.

mod gangs;
mod jobs;
mod search;
mod simulation;

use search::search;
use search::search_range;
use simulation::Profile;
use simulation::Simulation;
use syc_fleet::InvariantChecker;
use syc_fleet::Violation;
use syc_sched::JobId;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::PlantedUsageFault;
use syc_types::Millis;
use test_case::test_case;

/// Seeds per profile. These are enough for each fault to occur in each phase of a job, and few enough for CI.
const SEEDS: u64 = 40;

/// Reports leave out all ends but the oldest, and no end is acknowledged while the store is paused.
const ENDS_LEFT_OUT: Profile = Profile {
    ends_per_report: Some(1),
    store_pauses: 6,
    scheduler_crashes: 6,
    late_scheduler_crash: true,
    ..Profile::FAULT_FREE
};

/// Workers drain and leave, and some are partitioned before they do.
const DRAINS: Profile = Profile {
    worker_drains: 6,
    ..Profile::FAULT_FREE
};

const DRAINS_WHILE_SCHEDULERS_CRASH: Profile = Profile {
    scheduler_crashes: 6,
    ..DRAINS
};

const RESTARTS_AND_EVERYTHING: Profile = Profile {
    worker_restarts: 6,
    ..Profile::ALL_FAULTS
};

const CRASHING_TASKS_BESIDE_CRASHES: Profile = Profile {
    crashing_jobs: 3,
    worker_crashes: 4,
    ..Profile::FAULT_FREE
};

const DRAINS_AND_EVERYTHING: Profile = Profile {
    worker_drains: 6,
    ..Profile::ALL_FAULTS
};

/// Workers restart under the same names while tasks run that are longer than a lease, and are cut off 1 to 3 s later.
const CUT_RESTARTS: Profile = Profile {
    cut_restarts: 4,
    calls_outlive_lives: true,
    long_workload: true,
    late_per_mille: 30,
    ..Profile::FAULT_FREE
};

const EVERYTHING_AROUND_CUTS: Profile = Profile {
    lives_per_cut: 2,
    schedulers_per_cut: 2,
    lost_per_mille: 40,
    late_per_mille: 60,
    ..CUT_RESTARTS
};

const COPIES: Profile = Profile {
    copies_outlive_lives: true,
    ..CUT_RESTARTS
};

/// Workers start again under their names, and lives that nobody has called carry out starts that were meant for former ones,
/// whether or not another copy was carried out.
const LATE_STARTS: Profile = Profile {
    worker_restarts: 8,
    calls_outlive_lives: true,
    copies_outlive_lives: true,
    late_per_mille: 100,
    ..Profile::FAULT_FREE
};

const LATE_STARTS_AROUND_TAKEOVERS: Profile = Profile {
    scheduler_crashes: 8,
    ..LATE_STARTS
};

/// Caps of workspaces rise and fall.
const CAPS: Profile = Profile {
    cap_changes: 20,
    ..Profile::FAULT_FREE
};

const CAPS_AND_EVERYTHING: Profile = Profile {
    cap_changes: 20,
    ..Profile::ALL_FAULTS
};

#[test_case(Profile::FAULT_FREE; "no faults")]
#[test_case(CAPS; "caps change")]
#[test_case(Profile { scheduler_crashes: 6, ..CAPS }; "caps change while schedulers crash")]
#[test_case(Profile { partitions: 6, ..CAPS }; "caps change while workers are cut off")]
#[test_case(Profile { late_per_mille: 60, lost_per_mille: 80, ..CAPS }; "caps change and orders are lost and late")]
#[test_case(Profile { worker_restarts: 6, scheduler_crashes: 6, ..CAPS }; "caps change while workers start again and schedulers crash")]
#[test_case(Profile { worker_drains: 6, scheduler_crashes: 6, ..CAPS }; "caps change while workers drain and schedulers crash")]
#[test_case(Profile { gang_workload: true, scheduler_crashes: 4, gang_partitions: 4, ..CAPS }; "caps change under gangs")]
#[test_case(CAPS_AND_EVERYTHING; "caps change and everything at once")]
#[test_case(Profile { scheduler_crashes: 6, ..Profile::FAULT_FREE }; "schedulers crash")]
#[test_case(Profile { partitions: 6, ..Profile::FAULT_FREE }; "network partitions")]
#[test_case(Profile { worker_crashes: 4, ..Profile::FAULT_FREE }; "workers crash")]
#[test_case(Profile { lost_per_mille: 80, ..Profile::FAULT_FREE }; "answers are lost")]
#[test_case(Profile { late_per_mille: 60, ..Profile::FAULT_FREE }; "orders are carried out late")]
#[test_case(Profile { resetting_workers: 6, ..Profile::FAULT_FREE }; "workers answer renewals but accept no orders")]
#[test_case(Profile { resetting_workers: 6, late_per_mille: 60, ..Profile::FAULT_FREE }; "workers accept no orders and others are late")]
#[test_case(Profile { lost_per_mille: 400, ..Profile::FAULT_FREE }; "40 percent of the answers are lost")]
#[test_case(Profile { late_per_mille: 400, ..Profile::FAULT_FREE }; "40 percent of the orders are carried out late")]
#[test_case(Profile { resetting_workers: 4, ..Profile::ALL_FAULTS }; "everything at once and workers that accept no orders")]
#[test_case(Profile { store_pauses: 4, ..Profile::FAULT_FREE }; "the store pauses")]
#[test_case(Profile::ALL_FAULTS; "everything at once")]
#[test_case(Profile { mixed_workload: true, ..Profile::FAULT_FREE }; "latency-bound and backfill jobs")]
#[test_case(Profile { mixed_workload: true, lost_per_mille: 60, late_per_mille: 60, ..Profile::FAULT_FREE }; "pace orders are lost or late")]
#[test_case(Profile { wave_concurrency: 1, ..Profile::FAULT_FREE }; "a maintenance wave, one at a time")]
#[test_case(Profile { wave_concurrency: 2, lost_per_mille: 40, late_per_mille: 40, ..Profile::FAULT_FREE }; "a maintenance wave with orders lost and late")]
#[test_case(Profile { wave_concurrency: 2, scheduler_crashes: 4, ..Profile::FAULT_FREE }; "a maintenance wave while schedulers crash")]
#[test_case(Profile { wave_concurrency: 2, ..Profile::ALL_FAULTS }; "a maintenance wave and everything at once")]
#[test_case(Profile { wave_concurrency: 2, resetting_workers: 6, ..Profile::FAULT_FREE }; "a maintenance wave while workers accept no orders")]
#[test_case(Profile { capacity_changes: 20, ..Profile::FAULT_FREE }; "capacity changes")]
#[test_case(Profile { capacity_changes: 20, partitions: 6, ..Profile::FAULT_FREE }; "capacity changes during partitions")]
#[test_case(Profile { capacity_changes: 20, ..Profile::ALL_FAULTS }; "capacity changes and everything at once")]
#[test_case(Profile { worker_restarts: 8, ..Profile::FAULT_FREE }; "workers start again under their names")]
#[test_case(Profile { worker_restarts: 6, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "workers start again while schedulers crash")]
#[test_case(Profile { worker_restarts: 6, partitions: 6, ..Profile::FAULT_FREE }; "workers start again behind a cut")]
#[test_case(Profile { worker_restarts: 6, lost_per_mille: 80, ..Profile::FAULT_FREE }; "workers start again and answers are lost")]
#[test_case(Profile { worker_restarts: 6, store_pauses: 4, ..Profile::FAULT_FREE }; "workers start again while the store pauses")]
#[test_case(Profile { worker_restarts: 6, ..Profile::ALL_FAULTS }; "workers start again and everything at once")]
#[test_case(DRAINS; "workers drain")]
#[test_case(Profile { partitions: 6, ..DRAINS }; "workers drain behind a cut")]
#[test_case(Profile { lost_per_mille: 80, late_per_mille: 60, ..DRAINS }; "workers drain and orders are lost and late")]
#[test_case(ENDS_LEFT_OUT; "reports leave out ends while the store pauses and schedulers crash")]
#[test_case(Profile { ends_per_report: Some(1), late_scheduler_crash: true, ..Profile::ALL_FAULTS }; "reports leave out ends and everything at once")]
fn random_schedules_violate_no_invariant(profile: Profile) {
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        assert_eq!(simulation.faults(), [], "seed {seed}");
        assert_eq!(simulation.unexpected_states(), [], "seed {seed}");
        assert_eq!(simulation.missing_runs(), [], "seed {seed}");
        assert_eq!(simulation.unfounded_crashes(), [], "seed {seed}");
        assert_eq!(simulation.given_up_without_evidence(), [], "seed {seed}");
        assert!(simulation.waves_are_completed(), "seed {seed}");
    }
}

/// Tasks ran twice: a call for the former life of a worker had set the longest lease on its next one.
#[test_case(CUT_RESTARTS; "restarts")]
#[test_case(Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "and a scheduler crashes")]
#[test_case(Profile { schedulers_per_cut: 2, ..CUT_RESTARTS }; "and two schedulers crash in a row")]
#[test_case(Profile { lives_per_cut: 2, ..CUT_RESTARTS }; "twice")]
#[test_case(Profile { lives_per_cut: 2, schedulers_per_cut: 1, ..CUT_RESTARTS }; "twice and a scheduler crashes")]
#[test_case(EVERYTHING_AROUND_CUTS; "and everything at once")]
fn calls_for_former_lives_violate_no_invariant(profile: Profile) {
    assert_seeds_are_sound(profile);
}

fn assert_seeds_are_sound(profile: Profile) {
    let results = search_range(1, SEEDS, 1, &|seed| play(seed, profile));
    let failed: Vec<_> = results
        .into_iter()
        .filter_map(|(seed, failures)| failures.map(|failures| (seed, failures)))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// The lease that a call for the former life had set held on while the task was started elsewhere.
#[test_case(220, CUT_RESTARTS; "restarts, first")]
#[test_case(246, CUT_RESTARTS; "restarts, second")]
#[test_case(437, CUT_RESTARTS; "restarts, third")]
#[test_case(110, Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "a scheduler crashes, first")]
#[test_case(120, Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "a scheduler crashes, second")]
#[test_case(485, Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "a scheduler crashes, third")]
#[test_case(84, Profile { lives_per_cut: 2, ..CUT_RESTARTS }; "twice, first")]
#[test_case(273, Profile { lives_per_cut: 2, ..CUT_RESTARTS }; "twice, second")]
fn task_is_started_beside_a_life_that_a_call_for_its_former_one_reached(
    seed: u64,
    profile: Profile,
) {
    assert_eq!(play(seed, profile), None);
}

/// The next life carries out a start, or forgets an end, before any scheduler has called it, after the scheduler has taken
/// the run as over.
#[test_case(878, CUT_RESTARTS; "start after the longest lease")]
#[test_case(141, Profile { schedulers_per_cut: 2, ..CUT_RESTARTS }; "start on a third life, two schedulers crash")]
#[test_case(794, Profile { schedulers_per_cut: 2, ..CUT_RESTARTS }; "start, two schedulers crash")]
#[test_case(492, Profile { lives_per_cut: 2, ..CUT_RESTARTS }; "start on a third life")]
#[test_case(598, EVERYTHING_AROUND_CUTS; "acknowledgement of an end that nobody has read")]
fn calls_that_an_unheard_life_carries_out_late_violate_no_invariant(seed: u64, profile: Profile) {
    assert_eq!(play(seed, profile), None);
}

/// A life of a worker counts twice against a task: when it is cut off and not listed any more, and when it ends.
#[test_case(15, Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "first")]
#[test_case(809, Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "second")]
fn job_is_not_given_up_for_a_life_that_counts_twice(seed: u64, profile: Profile) {
    assert_eq!(play(seed, profile), None);
}

/// A life carries out a copy of a start that a former one had carried out, before any scheduler has called it.
#[test_case(COPIES; "restarts")]
#[test_case(Profile { schedulers_per_cut: 1, ..COPIES }; "and a scheduler crashes")]
#[test_case(Profile { lives_per_cut: 2, ..COPIES }; "twice")]
fn copies_of_starts_on_next_lives_violate_no_invariant(profile: Profile) {
    assert_seeds_are_sound(profile);
}

/// Tasks ran again after their acknowledged ends, beside a later run, or more often than their attempts allow.
#[test_case(LATE_STARTS; "in office")]
#[test_case(LATE_STARTS_AROUND_TAKEOVERS; "across takeovers")]
#[test_case(Profile { lost_per_mille: 60, ..LATE_STARTS }; "and answers are lost")]
#[test_case(Profile { partitions: 4, ..LATE_STARTS }; "and workers are cut off")]
#[test_case(Profile { store_pauses: 4, ..LATE_STARTS_AROUND_TAKEOVERS }; "across takeovers while the store pauses")]
#[test_case(Profile { gang_workload: true, ..LATE_STARTS }; "of gangs")]
fn late_starts_on_unheard_lives_violate_no_invariant(profile: Profile) {
    assert_seeds_are_sound(profile);
}

/// The scheduler deliberately takes each call as carried out by when its answer is given up, which the checker must detect.
#[test_case(LATE_STARTS; "in office")]
#[test_case(LATE_STARTS_AROUND_TAKEOVERS; "across takeovers")]
fn checker_detects_late_starts_that_are_not_waited_for(profile: Profile) {
    let options = Options {
        late_call_ms: 0,
        ..Options::default()
    };
    let mut started_again = 0;
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, options);
        simulation.run();
        let faults = simulation.faults();
        let is_late_start = |fault: &&Violation| {
            matches!(
                fault,
                Violation::ConcurrentRuns(_) | Violation::StartedAfterDone(_)
            )
        };
        started_again += faults.iter().filter(is_late_start).count();
    }
    assert!(started_again > 0, "the checker reported no late start");
}

/// Prints which of many schedules violate an invariant or end a job in an unexpected state. Run manually.
#[test_case(LATE_STARTS; "late starts")]
#[test_case(LATE_STARTS_AROUND_TAKEOVERS; "late starts across takeovers")]
#[test_case(COPIES; "copies")]
#[test_case(Profile { schedulers_per_cut: 1, ..COPIES }; "copies and a scheduler crashes")]
#[test_case(Profile { lives_per_cut: 2, ..COPIES }; "copies twice")]
#[test_case(CUT_RESTARTS; "restarts")]
#[test_case(Profile { schedulers_per_cut: 1, ..CUT_RESTARTS }; "and a scheduler crashes")]
#[test_case(Profile { schedulers_per_cut: 2, ..CUT_RESTARTS }; "and two schedulers crash in a row")]
#[test_case(Profile { lives_per_cut: 2, ..CUT_RESTARTS }; "twice")]
#[test_case(Profile { lives_per_cut: 2, schedulers_per_cut: 1, ..CUT_RESTARTS }; "twice and a scheduler crashes")]
#[test_case(EVERYTHING_AROUND_CUTS; "and everything at once")]
#[ignore = "prints figures of many schedules"]
fn print_former_life_statistics(profile: Profile) {
    let results = search(|seed| play(seed, profile));
    let count = results.len();
    let mut failed = 0;
    for (seed, failures) in results {
        if let Some(failures) = failures {
            failed += 1;
            println!("seed {seed}: {failures}");
        }
    }
    println!("{failed} of {count} failed");
}

/// Returns what a schedule violates, if anything. A job may be given up if the evidence is enough by the stated limit.
fn play(seed: u64, profile: Profile) -> Option<String> {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    let faults = simulation.faults();
    let given_up_by_limit = simulation.given_up().clone();
    let mut unexpected = simulation.unexpected_states();
    unexpected.retain(|(job, _, stored)| {
        *stored != Some(JobState::Failed) || given_up_by_limit.get(job) != Some(&true)
    });
    let missing_runs = simulation.missing_runs().to_vec();
    let unfounded = simulation.unfounded_crashes().to_vec();
    let given_up = simulation.given_up_without_evidence();
    let is_sound = faults.is_empty()
        && unexpected.is_empty()
        && missing_runs.is_empty()
        && unfounded.is_empty()
        && given_up.is_empty();
    (!is_sound)
        .then(|| format!("{faults:?} {unexpected:?} {missing_runs:?} {unfounded:?} {given_up:?}"))
}

/// A successor starts again what still runs on a draining worker that is cut off.
#[test_case(DRAINS_WHILE_SCHEDULERS_CRASH; "schedulers crash")]
#[test_case(DRAINS_AND_EVERYTHING; "everything at once")]
fn successors_start_nothing_twice_while_workers_drain(profile: Profile) {
    let mut failed = Vec::new();
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        let (faults, unexpected) = (simulation.faults(), simulation.unexpected_states());
        let missing_runs = simulation.missing_runs().to_vec();
        if !faults.is_empty() || !unexpected.is_empty() || !missing_runs.is_empty() {
            failed.push((seed, faults, unexpected, missing_runs));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// A draining worker is cut off, and a takeover takes it as gone while its lease holds. Its task runs or ends there, and is
/// started again.
#[test_case(94, DRAINS_WHILE_SCHEDULERS_CRASH; "schedulers crash, first")]
#[test_case(182, DRAINS_WHILE_SCHEDULERS_CRASH; "schedulers crash, second")]
#[test_case(183, DRAINS_WHILE_SCHEDULERS_CRASH; "schedulers crash, third")]
#[test_case(35, DRAINS_AND_EVERYTHING; "everything at once, first")]
#[test_case(384, DRAINS_AND_EVERYTHING; "everything at once, a late start")]
#[test_case(748, DRAINS_AND_EVERYTHING; "everything at once, three tasks")]
fn successor_takes_a_draining_worker_that_is_cut_off_as_gone(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
    assert_eq!(simulation.missing_runs(), []);
}

#[test_case(Profile { crashing_jobs: 1, ..Profile::FAULT_FREE }; "one job")]
#[test_case(Profile { crashing_jobs: 6, ..Profile::FAULT_FREE }; "many jobs")]
#[test_case(Profile { crashing_jobs: 3, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "while schedulers crash")]
#[test_case(Profile { crashing_jobs: 3, store_pauses: 4, ..Profile::FAULT_FREE }; "while the store pauses")]
#[test_case(Profile { crashing_jobs: 3, worker_crashes: 4, partitions: 4, ..Profile::FAULT_FREE }; "beside workers that are lost for other reasons")]
#[test_case(Profile { crashing_jobs: 3, capacity_changes: 10, ..Profile::ALL_FAULTS }; "and everything at once")]
fn only_jobs_that_crash_workers_fail(profile: Profile) {
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        assert_eq!(simulation.faults(), [], "seed {seed}");
        assert_eq!(simulation.unexpected_states(), [], "seed {seed}");
        assert_eq!(simulation.missing_runs(), [], "seed {seed}");
        assert_eq!(simulation.unfounded_crashes(), [], "seed {seed}");
        assert_eq!(simulation.given_up_without_evidence(), [], "seed {seed}");
    }
}

/// Some crashes were missed, and the task was started once too often: a crash caused by a gang member while the other
/// members are being ended, and crashes of workers that are gone before anything about them is stored.
#[test_case(301, Profile { crashing_jobs: 3, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "while schedulers crash, first")]
#[test_case(808, Profile { crashing_jobs: 3, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "while schedulers crash, second")]
#[test_case(732, Profile { crashing_jobs: 3, ..Profile::ALL_FAULTS }; "and everything at once, first")]
#[test_case(751, Profile { crashing_jobs: 3, ..Profile::ALL_FAULTS }; "and everything at once, second")]
fn crashes_missed_by_consecutive_schedulers_are_counted(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// Two consecutive schedulers start a task and are lost while the store accepts no writes, so that it is unknown on
/// which workers the task ran.
#[test]
fn crashes_under_unrecorded_starts_are_counted() {
    let profile = Profile {
        crashing_jobs: 3,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(755, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// Advice allows a gang on too few of the workers that are left after crashes and restarts. It has to be started once
/// others join.
#[test_case(50365, RESTARTS_AND_EVERYTHING; "restarts, first")]
#[test_case(50755, RESTARTS_AND_EVERYTHING; "restarts, second")]
#[test_case(50842, RESTARTS_AND_EVERYTHING; "restarts, third")]
#[test_case(51100, RESTARTS_AND_EVERYTHING; "restarts, fourth")]
#[test_case(51163, RESTARTS_AND_EVERYTHING; "restarts, fifth")]
#[test_case(51178, RESTARTS_AND_EVERYTHING; "restarts, sixth")]
#[test_case(52047, RESTARTS_AND_EVERYTHING; "restarts, seventh")]
#[test_case(52801, RESTARTS_AND_EVERYTHING; "restarts, eighth")]
#[test_case(50804, CRASHING_TASKS_BESIDE_CRASHES; "crashes, first")]
#[test_case(167, CRASHING_TASKS_BESIDE_CRASHES; "crashes, second")]
fn gang_never_starts_while_advice_allows_too_few_workers(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
    assert_eq!(simulation.missing_runs(), []);
}

/// Three workers on which a task was started are lost, but it had ended on two of them, unread, before they were.
#[test]
fn crashes_of_workers_on_which_the_task_had_ended_do_not_fail_the_job() {
    let profile = Profile {
        worker_restarts: 6,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(366, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// A takeover ends without the ends that the reports of a worker leave out, though that worker answers and its lease holds.
#[test_case(643, ENDS_LEFT_OUT; "while the store pauses, first")]
#[test_case(735, ENDS_LEFT_OUT; "while the store pauses, second")]
#[test_case(890, ENDS_LEFT_OUT; "while the store pauses, third")]
#[test_case(820, Profile { ends_per_report: Some(1), late_scheduler_crash: true, ..Profile::ALL_FAULTS }; "everything at once")]
fn task_is_started_after_an_end_that_reports_left_out(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
}

#[test]
fn one_crash_reported_to_several_successors_does_not_fail_the_job() {
    let profile = Profile {
        crashing_jobs: 3,
        scheduler_crashes: 6,
        ..Profile::FAULT_FREE
    };
    let mut simulation = Simulation::new(909, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
}

/// A job that crashed nothing is given up although its workers show less than the stated limit asks for.
#[test_case(&[50010, 50148, 50402, 50625, 50630, 50813, 50867, 51936, 52229, 52329], Profile { worker_restarts: 8, ..Profile::FAULT_FREE }; "worker restarts")]
#[test_case(&[50306, 50645, 50690, 51916, 52127], Profile { worker_restarts: 6, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "worker restarts while schedulers crash")]
#[test_case(&[50820, 50856, 50893, 50942, 51166, 51436, 51891], RESTARTS_AND_EVERYTHING; "worker restarts and everything at once")]
#[test_case(&[50433], Profile { crashing_jobs: 3, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "crashing tasks while schedulers crash")]
#[test_case(&[52870], CRASHING_TASKS_BESIDE_CRASHES; "crashing tasks beside workers that crash")]
fn innocent_jobs_are_given_up_without_evidence(seeds: &[u64], profile: Profile) {
    for seed in seeds {
        let mut simulation = Simulation::new(*seed, profile, Options::default());
        simulation.run();
        assert_eq!(simulation.faults(), [], "seed {seed}");
        assert_eq!(simulation.missing_runs(), [], "seed {seed}");
        assert_eq!(simulation.unfounded_crashes(), [], "seed {seed}");
        assert_eq!(simulation.given_up_without_evidence(), [], "seed {seed}");
        for (job, _, stored) in simulation.unexpected_states() {
            assert_eq!(stored, Some(JobState::Failed), "seed {seed}, job {job}");
            let is_by_limit = simulation.given_up().contains_key(&job);
            assert!(is_by_limit, "seed {seed}, job {job}");
        }
    }
}

/// A successor lays a crash to a task whose end on that worker a predecessor had acknowledged: the stored placement
/// still names the worker.
#[test_case(50944, Profile { worker_restarts: 6, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "schedulers crash, first")]
#[test_case(51500, Profile { worker_restarts: 6, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "schedulers crash, second")]
#[test_case(50214, RESTARTS_AND_EVERYTHING; "everything at once, first")]
#[test_case(50257, RESTARTS_AND_EVERYTHING; "everything at once, second")]
#[test_case(50397, RESTARTS_AND_EVERYTHING; "everything at once, third")]
fn crash_is_laid_to_a_task_whose_end_was_acknowledged(seed: u64, profile: Profile) {
    let mut simulation = Simulation::new(seed, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.unfounded_crashes(), []);
}

/// The checker finds each way in which a workspace can get more than its cap.
#[test_case(Profile { planted_usage_fault: Some(PlantedUsageFault::UnansweredStarts), lost_per_mille: 80, ..CAPS }; "unanswered starts are not counted")]
#[test_case(Profile { planted_usage_fault: Some(PlantedUsageFault::UnreportedWorkers), scheduler_crashes: 16, partitions: 24, ..CAPS }; "what a predecessor started is not counted")]
#[test_case(Profile { hides_cap_changes: true, ..CAPS }; "the caps are those of an old version")]
fn a_workspace_beyond_its_cap_is_found(profile: Profile) {
    let is_found = (1..=SEEDS).any(|seed| {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        let mut faults = simulation.faults().into_iter();
        faults.any(|fault| matches!(fault, Violation::CapExceeded(_)))
    });
    assert!(is_found);
}

/// Crashes are laid to tasks without evidence while workers drain.
#[test]
fn crash_is_laid_to_a_task_without_evidence_while_workers_drain() {
    let mut simulation = Simulation::new(80_156, DRAINS_AND_EVERYTHING, Options::default());
    simulation.run();
    assert_eq!(simulation.unfounded_crashes(), []);
}

/// A job is given up for three lost workers, though its task ran on only one of them when it was lost: on the two others it
/// had ended as done, unread.
#[test]
fn job_is_given_up_for_workers_on_which_its_task_had_ended() {
    let mut simulation = Simulation::new(51858, RESTARTS_AND_EVERYTHING, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// Prints how many of many schedules violate an invariant or end a job in an unexpected state, and how many workers
/// crashing tasks take down. Run manually.
#[test_case(Profile { crashing_jobs: 3, ..Profile::FAULT_FREE }; "crashing tasks")]
#[test_case(Profile { crashing_jobs: 3, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "crashing tasks while schedulers crash")]
#[test_case(Profile { crashing_jobs: 3, worker_crashes: 4, ..Profile::FAULT_FREE }; "crashing tasks beside workers that crash")]
#[test_case(Profile { crashing_jobs: 3, ..Profile::ALL_FAULTS }; "crashing tasks and everything at once")]
#[test_case(Profile { worker_restarts: 8, ..Profile::FAULT_FREE }; "worker restarts")]
#[test_case(Profile { worker_restarts: 6, scheduler_crashes: 6, ..Profile::FAULT_FREE }; "worker restarts while schedulers crash")]
#[test_case(Profile { worker_restarts: 6, ..Profile::ALL_FAULTS }; "worker restarts and everything at once")]
#[test_case(CAPS; "cap changes")]
#[test_case(Profile { scheduler_crashes: 6, partitions: 6, ..CAPS }; "cap changes while schedulers crash and workers are cut off")]
#[test_case(Profile { worker_restarts: 6, scheduler_crashes: 6, ..CAPS }; "cap changes while workers restart and schedulers crash")]
#[test_case(CAPS_AND_EVERYTHING; "cap changes and everything at once")]
#[test_case(DRAINS; "worker drains")]
#[test_case(DRAINS_WHILE_SCHEDULERS_CRASH; "worker drains while schedulers crash")]
#[test_case(DRAINS_AND_EVERYTHING; "worker drains and everything at once")]
#[ignore = "prints figures of many schedules"]
fn print_lost_worker_statistics(profile: Profile) {
    let mut workers = [0; 8];
    let (mut faults, mut unexpected) = (Vec::new(), Vec::new());
    let mut missing_runs = Vec::new();
    let results = search(|seed| {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        (
            simulation.faults(),
            simulation.unexpected_states(),
            simulation.missing_runs().to_vec(),
            simulation.crashed_workers_per_task(),
            simulation.given_up().clone(),
            simulation.unfounded_crashes().to_vec(),
        )
    });
    let (mut by_limit, mut unfounded) = (Vec::new(), Vec::new());
    let mut without_evidence = Vec::new();
    for (seed, result) in results {
        let (seed_faults, mut seed_unexpected, seed_missing, crashed_workers, given_up, named) =
            result;
        seed_unexpected.retain(|(job, _, stored)| {
            let is_by_limit = *stored == Some(JobState::Failed) && given_up.get(job) == Some(&true);
            if is_by_limit {
                by_limit.push((seed, *job));
            }
            !is_by_limit
        });
        let weak = given_up.iter().filter(|(_, is_enough)| !**is_enough);
        without_evidence.extend(weak.map(|(job, _)| (seed, *job)));
        unfounded.extend(named.into_iter().map(|crash| (seed, crash)));
        faults.extend(seed_faults.into_iter().map(|fault| (seed, fault)));
        unexpected.extend(seed_unexpected.into_iter().map(|end| (seed, end)));
        missing_runs.extend(seed_missing.into_iter().map(|note| (seed, note)));
        for count in crashed_workers {
            workers[usize::try_from(count).unwrap_or(7).min(7)] += 1;
        }
    }
    println!(
        "{profile:?}: faults {faults:?}, unexpected states {unexpected:?}, given up by the stated limit {by_limit:?}, given up without evidence {without_evidence:?}, unfounded crashes {unfounded:?}, missing runs {missing_runs:?}, crashing tasks by workers taken down {workers:?}"
    );
}

#[test]
fn checker_detects_too_many_starts_after_crashes() {
    let mut simulation = Simulation::new(
        1,
        Profile {
            crashing_jobs: 3,
            ..Profile::FAULT_FREE
        },
        Options::default(),
    );
    simulation.report_crashes_as_draining();
    simulation.run();
    let faults = simulation.faults();
    let mut beyond = faults
        .iter()
        .filter(|fault| matches!(fault, Violation::CrashLimitExceeded(_)));
    assert!(beyond.next().is_some(), "{faults:?}");
}

#[test]
fn checker_detects_jobs_failed_without_cause() {
    let mut simulation = Simulation::new(1, Profile::FAULT_FREE, Options::default());
    simulation.run();
    let mut checker = simulation.checker();
    let jobs: Vec<_> = simulation.completed().collect();
    for id in &jobs {
        checker.job_failed(*id);
    }
    let expected: Vec<_> = jobs.into_iter().map(Violation::FailedTooEarly).collect();
    assert_eq!(checker.violations(), expected);
}

/// Advice is deliberately withheld for so long that jobs which enough workers may run end too late.
#[test]
fn checker_detects_jobs_that_stand_still_although_workers_are_allowed() {
    let mut simulation = Simulation::new(1, Profile::FAULT_FREE, Options::default());
    simulation.withhold_advice_until(Millis(125_000));
    simulation.run();
    let stood_still = simulation.unexpected_states();
    assert!(!stood_still.is_empty(), "no job was reported");
    let completed: Vec<_> = simulation.completed().collect();
    for (job, expected, _) in stood_still {
        assert!(
            expected == JobState::Failed || completed.contains(&job),
            "{job} did not end at all"
        );
    }
}

/// The scheduler deliberately does not wait for leases to expire, which the checker must detect.
#[test_case(Profile { partitions: 10, ..Profile::FAULT_FREE }; "partitioned workers")]
#[test_case(Profile { resetting_workers: 10, ..Profile::FAULT_FREE }; "workers that accept no orders")]
fn checker_detects_ignored_leases(profile: Profile) {
    let options = Options {
        lease_bound_ms: 0,
        authority_ms: 0,
        late_call_ms: 0,
        ..Options::default()
    };
    let mut running_twice = 0;
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, profile, options);
        simulation.run();
        let faults = simulation.faults();
        running_twice += faults
            .iter()
            .filter(|fault| matches!(fault, Violation::ConcurrentRuns(_)))
            .count();
    }
    assert!(
        running_twice > 0,
        "the checker reported no task as running twice"
    );
}

/// The limits of a wave and of a step are deliberately hidden from the scheduler, so it exceeds them.
#[test]
fn checker_detects_too_many_unavailable_vms_and_tasks() {
    let profile = Profile {
        wave_concurrency: 1,
        hides_limits: true,
        ..Profile::FAULT_FREE
    };
    let (mut down, mut unavailable) = (0, 0);
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        for fault in simulation.faults() {
            down += u32::from(matches!(fault, Violation::TooManyDown(_)));
            unavailable += u32::from(matches!(fault, Violation::UnavailableLimitExceeded(_)));
        }
    }
    assert!(
        down > 0 && unavailable > 0,
        "{down} reports of VMs down, {unavailable} of unavailable tasks"
    );
}

/// Pace orders are deliberately not carried out.
#[test]
fn checker_detects_unpaced_backfill() {
    let profile = Profile {
        mixed_workload: true,
        ignores_pace: true,
        ..Profile::FAULT_FREE
    };
    let mut harmed = 0;
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        let faults = simulation.faults();
        let is_harmed = |fault: &&Violation| matches!(fault, Violation::TailLatencyExceeded(_));
        harmed += faults.iter().filter(is_harmed).count();
    }
    assert!(
        harmed > 0,
        "the checker reported no latency-bound task as harmed"
    );
}

#[test]
fn checker_detects_undercounted_jobs() {
    let mut checker = InvariantChecker::default();
    checker.check_waiting_count(1, &[JobId(1), JobId(2)]);
    let expected = Violation::Undercounted {
        reported: 1,
        waiting: 2,
    };
    assert_eq!(checker.violations(), [expected]);
}

/// Workers deliberately have less capacity than they report, which the checker must detect.
#[test]
fn checker_detects_overcommitted_workers() {
    let profile = Profile {
        overstates_capacity: true,
        ..Profile::FAULT_FREE
    };
    let mut over = 0;
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, profile, Options::default());
        simulation.run();
        let faults = simulation.faults();
        let is_over_capacity = |fault: &&Violation| matches!(fault, Violation::OverCapacity(_));
        over += faults.iter().filter(is_over_capacity).count();
    }
    assert!(over > 0, "the checker reported no overcommitted worker");
}

#[test]
fn failed_runs_of_a_task_are_all_counted() {
    let profile = Profile {
        crashing_jobs: 3,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(3090, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// A task takes six workers down while schedulers that started it are lost.
#[test]
fn crashes_under_starts_of_two_lost_schedulers_are_counted() {
    let profile = Profile {
        crashing_jobs: 3,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(142, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// Of a gang whose start no scheduler recorded, one member is found elsewhere, and the worker of the others has crashed.
#[test]
fn crash_under_the_missing_members_of_a_gang_is_counted() {
    let profile = Profile {
        crashing_jobs: 3,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(50_360, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
}

/// A task that was announced again during a takeover is written off with the unknown runs when the takeover ends, under the
/// number that it then starts with.
#[test]
fn task_announced_in_a_takeover_is_not_written_off_at_its_end() {
    let profile = Profile {
        crashing_jobs: 3,
        ..Profile::ALL_FAULTS
    };
    let mut simulation = Simulation::new(72_038, profile, Options::default());
    simulation.run();
    assert_eq!(simulation.faults(), []);
    assert_eq!(simulation.unexpected_states(), []);
    assert_eq!(simulation.missing_runs(), []);
}
