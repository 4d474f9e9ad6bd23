//! Generated schedules of the decision core against models of the workers, in virtual time.
//!
//! Each seed makes jobs, faults and their order. A judge sees every start and end on the workers; a
//! naive version of the whole, which knows how each task goes, says how each job must end.

mod jobs;
mod world;

use syc_fleet::Fault;
use syc_fleet::Judge;
use syc_sched::JobId;
use syc_sched::Options;
use test_case::test_case;
use world::Profile;
use world::World;

/// Seeds of each profile: enough that each fault meets each phase of a job, few enough for CI.
const SEEDS: u64 = 40;

/// Seeds of each profile of those that are played by hand.
const MANY_SEEDS: u64 = 1_000;

#[test_case(Profile::CALM; "calm")]
#[test_case(Profile { scheduler_ends: 6, ..Profile::CALM }; "schedulers end")]
#[test_case(Profile { cuts: 6, ..Profile::CALM }; "workers are cut off")]
#[test_case(Profile { crashes: 4, ..Profile::CALM }; "workers crash")]
#[test_case(Profile { lost: 80, ..Profile::CALM }; "answers are lost")]
#[test_case(Profile { late: 60, ..Profile::CALM }; "orders are carried out late")]
#[test_case(Profile { shuts: 6, ..Profile::CALM }; "workers answer renewals and take no orders")]
#[test_case(Profile { shuts: 6, late: 60, ..Profile::CALM }; "workers take no orders and others are late")]
#[test_case(Profile { lost: 400, ..Profile::CALM }; "four answers of ten are lost")]
#[test_case(Profile { late: 400, ..Profile::CALM }; "four orders of ten are carried out late")]
#[test_case(Profile { shuts: 4, ..Profile::ALL }; "everything at once and workers that take no orders")]
#[test_case(Profile { store_pauses: 4, ..Profile::CALM }; "the store pauses")]
#[test_case(Profile::ALL; "everything at once")]
#[test_case(Profile { sharing: true, ..Profile::CALM }; "some serve and some fill")]
#[test_case(Profile { sharing: true, lost: 60, late: 60, ..Profile::CALM }; "orders to go slower are lost or late")]
#[test_case(Profile { wave_at_once: 1, ..Profile::CALM }; "a wave of upkeep, one at a time")]
#[test_case(Profile { wave_at_once: 2, lost: 40, late: 40, ..Profile::CALM }; "a wave of upkeep with orders lost and late")]
#[test_case(Profile { wave_at_once: 2, scheduler_ends: 4, ..Profile::CALM }; "a wave of upkeep while schedulers end")]
#[test_case(Profile { wave_at_once: 2, ..Profile::ALL }; "a wave of upkeep and everything at once")]
#[test_case(Profile { wave_at_once: 2, shuts: 6, ..Profile::CALM }; "a wave of upkeep while workers take no orders")]
#[test_case(Profile { rooms: 20, ..Profile::CALM }; "rooms shrink and grow")]
#[test_case(Profile { rooms: 20, cuts: 6, ..Profile::CALM }; "rooms shrink on workers that are cut off")]
#[test_case(Profile { rooms: 20, ..Profile::ALL }; "rooms shrink and everything at once")]
#[test_case(Profile { rebirths: 8, ..Profile::CALM }; "workers start again under their names")]
#[test_case(Profile { rebirths: 6, scheduler_ends: 6, ..Profile::CALM }; "workers start again while schedulers end")]
#[test_case(Profile { rebirths: 6, cuts: 6, ..Profile::CALM }; "workers start again behind a cut")]
#[test_case(Profile { rebirths: 6, lost: 80, ..Profile::CALM }; "workers start again and answers are lost")]
#[test_case(Profile { rebirths: 6, store_pauses: 4, ..Profile::CALM }; "workers start again while the store pauses")]
#[test_case(Profile { rebirths: 6, ..Profile::ALL }; "workers start again and everything at once")]
fn nothing_runs_twice_and_every_job_ends_as_it_must(profile: Profile) {
    for seed in 1..=SEEDS {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        assert_eq!(world.faults(), [], "seed {seed}");
        assert_eq!(world.wrong_ends(), [], "seed {seed}");
        assert!(world.waves_are_completed(), "seed {seed}");
    }
}

#[test_case(Profile { guilty: 1, ..Profile::CALM }; "one job")]
#[test_case(Profile { guilty: 6, ..Profile::CALM }; "many jobs")]
#[test_case(Profile { guilty: 3, scheduler_ends: 6, ..Profile::CALM }; "while schedulers end")]
#[test_case(Profile { guilty: 3, store_pauses: 4, ..Profile::CALM }; "while the store pauses")]
#[test_case(Profile { guilty: 3, crashes: 4, cuts: 4, ..Profile::CALM }; "beside workers that are lost for other reasons")]
#[test_case(Profile { guilty: 3, rooms: 10, ..Profile::ALL }; "and everything at once")]
fn a_task_that_takes_its_workers_down_is_given_up_and_no_other_is(profile: Profile) {
    for seed in 1..=SEEDS {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        assert_eq!(world.faults(), [], "seed {seed}");
        assert_eq!(world.wrong_ends(), [], "seed {seed}");
    }
}

/// A gang whose other members are being ended, and workers that are gone before anything of it is written: the task was
/// started once too often.
#[test_case(301, Profile { guilty: 3, scheduler_ends: 6, ..Profile::CALM }; "while schedulers end, first")]
#[test_case(808, Profile { guilty: 3, scheduler_ends: 6, ..Profile::CALM }; "while schedulers end, second")]
#[test_case(732, Profile { guilty: 3, ..Profile::ALL }; "and everything at once, first")]
#[test_case(751, Profile { guilty: 3, ..Profile::ALL }; "and everything at once, second")]
fn a_crash_that_several_schedulers_in_a_row_miss_counts(seed: u64, profile: Profile) {
    let mut world = World::new(seed, profile, Options::default());
    world.play();
    assert_eq!(world.faults(), []);
}

/// The store takes nothing while two schedulers in a row start a task and are lost: nobody knows where it was.
#[test]
fn crashes_under_starts_that_were_never_written_count() {
    let profile = Profile {
        guilty: 3,
        ..Profile::ALL
    };
    let mut world = World::new(755, profile, Options::default());
    world.play();
    assert_eq!(world.faults(), []);
}

/// Its order was under way as the worker was lost, three times: it was there only once.
#[test]
fn a_job_is_not_given_up_for_starts_that_never_arrived() {
    let profile = Profile {
        rebirths: 6,
        ..Profile::ALL
    };
    let mut world = World::new(366, profile, Options::default());
    world.play();
    assert_eq!(world.faults(), []);
}

#[test]
fn a_job_is_not_given_up_for_one_crash_that_several_successors_learn_of() {
    let profile = Profile {
        guilty: 3,
        scheduler_ends: 6,
        ..Profile::CALM
    };
    let mut world = World::new(909, profile, Options::default());
    world.play();
    assert_eq!(world.faults(), []);
    assert_eq!(world.wrong_ends(), []);
}

/// Of many schedules, how many break a rule or end a job wrongly, and what tasks cost that take their workers down. Run
/// by hand.
#[test_case(Profile { guilty: 3, ..Profile::CALM }; "guilty tasks")]
#[test_case(Profile { guilty: 3, scheduler_ends: 6, ..Profile::CALM }; "guilty tasks while schedulers end")]
#[test_case(Profile { guilty: 3, crashes: 4, ..Profile::CALM }; "guilty tasks beside workers that crash")]
#[test_case(Profile { guilty: 3, ..Profile::ALL }; "guilty tasks and everything at once")]
#[test_case(Profile { rebirths: 8, ..Profile::CALM }; "rebirths")]
#[test_case(Profile { rebirths: 6, scheduler_ends: 6, ..Profile::CALM }; "rebirths while schedulers end")]
#[test_case(Profile { rebirths: 6, ..Profile::ALL }; "rebirths and everything at once")]
#[ignore = "prints figures of many schedules"]
fn figures_of_lost_workers(profile: Profile) {
    let mut workers = [0; 8];
    let (mut broken, mut wrong) = (Vec::new(), Vec::new());
    for seed in 1..=MANY_SEEDS {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        broken.extend(world.faults().into_iter().map(|fault| (seed, fault)));
        wrong.extend(world.wrong_ends().into_iter().map(|end| (seed, end)));
        for count in world.taken_down() {
            workers[usize::try_from(count).unwrap_or(7).min(7)] += 1;
        }
    }
    println!(
        "{profile:?}: {broken:?}, wrong ends {wrong:?}, guilty tasks by workers taken down {workers:?}"
    );
}

#[test]
fn the_judge_notices_a_task_that_is_started_too_often_after_its_workers_crashed() {
    let mut world = World::new(
        1,
        Profile {
            guilty: 3,
            ..Profile::CALM
        },
        Options::default(),
    );
    world.forgive_crashes();
    world.play();
    let faults = world.faults();
    let mut beyond = faults
        .iter()
        .filter(|fault| matches!(fault, Fault::BeyondCrashes(_)));
    assert!(beyond.next().is_some(), "{faults:?}");
}

#[test]
fn the_judge_notices_a_job_that_is_given_up_without_cause() {
    let mut world = World::new(1, Profile::CALM, Options::default());
    world.play();
    let mut judge = world.judge();
    let jobs: Vec<_> = world.completed().collect();
    for id in &jobs {
        judge.given_up(*id);
    }
    let expected: Vec<_> = jobs.into_iter().map(Fault::GivenUpEarly).collect();
    assert_eq!(judge.faults(), expected);
}

/// The rule that a worker's lease has to lapse is broken on purpose: the judge must see it.
#[test_case(Profile { cuts: 10, ..Profile::CALM }; "of workers that are cut off")]
#[test_case(Profile { shuts: 10, ..Profile::CALM }; "of workers that take no orders")]
fn the_judge_notices_a_scheduler_that_does_not_wait_for_leases(profile: Profile) {
    let options = Options {
        lease_bound_ms: 0,
        authority_ms: 0,
        ..Options::default()
    };
    let mut twice = 0;
    for seed in 1..=SEEDS {
        let mut world = World::new(seed, profile, options);
        world.play();
        let faults = world.faults();
        twice += faults
            .iter()
            .filter(|fault| matches!(fault, Fault::Twice(_)))
            .count();
    }
    assert!(twice > 0, "no task was seen to run twice");
}

/// The bounds of a wave and of a step are kept from the scheduler, on purpose.
#[test]
fn the_judge_notices_too_many_vms_down_and_too_many_tasks_away() {
    let profile = Profile {
        wave_at_once: 1,
        reckless: true,
        ..Profile::CALM
    };
    let (mut down, mut away) = (0, 0);
    for seed in 1..=10 {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        for fault in world.faults() {
            down += u32::from(matches!(fault, Fault::TooManyDown(_)));
            away += u32::from(matches!(fault, Fault::TooManyAway(_)));
        }
    }
    assert!(down > 0 && away > 0, "{down} and {away}");
}

/// Orders to go slower are not carried out, on purpose.
#[test]
fn the_judge_notices_what_fills_at_full_speed() {
    let profile = Profile {
        sharing: true,
        unpaced: true,
        ..Profile::CALM
    };
    let mut harmed = 0;
    for seed in 1..=10 {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        let faults = world.faults();
        let of_users = |fault: &&Fault| matches!(fault, Fault::Harmed(_));
        harmed += faults.iter().filter(of_users).count();
    }
    assert!(harmed > 0, "no task's users were seen to wait too long");
}

#[test]
fn the_judge_notices_a_count_that_is_too_small() {
    let mut judge = Judge::default();
    judge.counted(1, &[JobId(1), JobId(2)]);
    let expected = Fault::Undercounted {
        said: 1,
        waiting: 2,
    };
    assert_eq!(judge.faults(), [expected]);
}

/// The rule that a worker's room counts until an end is listed is broken on purpose.
#[test]
fn the_judge_notices_a_worker_that_is_given_too_much() {
    let profile = Profile {
        understated: true,
        ..Profile::CALM
    };
    let mut over = 0;
    for seed in 1..=10 {
        let mut world = World::new(seed, profile, Options::default());
        world.play();
        let faults = world.faults();
        let of_room = |fault: &&Fault| matches!(fault, Fault::OverCapacity(_));
        over += faults.iter().filter(of_room).count();
    }
    assert!(over > 0, "no worker was seen with too much");
}
