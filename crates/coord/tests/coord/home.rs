//! The home under generated schedules: owners that die, answers that are lost, a log that is down,
//! homes that change. What must hold is checked against the world that the schedules run in.

use proptest::prelude::*;
use syc_coord::Home;
use syc_coord::HomeOptions;
use syc_coord::Job;
use syc_coord::Jobs;
use syc_coord::home::Action;
use syc_coord::home::OwnerRoom;
use syc_coord::home::Placement;
use syc_coord::home::Quota;
use syc_coord::home::StartOutcome;
use syc_coord::home::split;
use syc_types::Class;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TeamId;
use test_case::test_case;
use uuid::Uuid;

use crate::home_world::Fate;
use crate::home_world::Op;
use crate::home_world::World;
use crate::runner::runner;

const SCHEDULES: u32 = 2_000;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Arrives),
        1 => Just(Fate::CallLost),
        1 => Just(Fate::ReplyLost),
        1 => Just(Fate::ReplyLate),
        1 => Just(Fate::Refused),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (any::<bool>(), 0..3_u8, 1..4_u32).prop_map(|(idempotent, kind, tasks)| Op::Accept {
            idempotent,
            kind,
            tasks
        }),
        6 => Just(Op::Decide),
        12 => (any::<u8>(), fate()).prop_map(|(which, fate)| Op::Deliver { which, fate }),
        2 => any::<u8>().prop_map(Op::LateReply),
        4 => (any::<u8>(), 0..3_u8).prop_map(|(which, outcome)| Op::TaskEnds { which, outcome }),
        5 => (any::<u8>(), any::<bool>()).prop_map(|(which, answered)| Op::Report {
            which,
            answered
        }),
        1 => any::<u8>().prop_map(Op::WorkerDies),
        1 => (0..3_u8).prop_map(Op::OwnerRestarts),
        2 => (0..3_u8).prop_map(Op::OwnerSettles),
        1 => Just(Op::HomeRestarts),
        1 => any::<bool>().prop_map(Op::Log),
        1 => any::<u8>().prop_map(Op::Cancel),
        2 => (1..3_000_u64).prop_map(Op::Time),
    ]
}

#[test]
fn nothing_is_lost_or_doubled_under_any_schedule() {
    let mut runner = runner(SCHEDULES);
    let schedule = proptest::collection::vec(op(), 0..120);
    let checked = runner.run(&schedule, |schedule| {
        let mut world = World::new();
        for op in &schedule {
            world.step(op).map_err(TestCaseError::fail)?;
        }
        world.calm_down().map_err(TestCaseError::fail)?;
        Ok(())
    });
    checked.expect("every schedule keeps the rules");
}

fn member(number: usize) -> MemberId {
    MemberId::new(format!("entry-{number}"))
}

fn spec(team: &str, class: Class, tasks: u32) -> JobSpec {
    JobSpec {
        team: TeamId::new(team),
        class,
        tasks,
        resources: Resources {
            cpu_millis: 1_000,
            memory_bytes: 1,
            accelerators: 0,
        },
        ..JobSpec::default()
    }
}

fn entered(options: HomeOptions) -> (Home, Jobs) {
    let mut home = Home::new(options);
    let jobs = Jobs::default();
    let members = vec![member(0), member(1), member(2)];
    home.enter(Epoch(1), members, |_| true, &jobs, Millis(0));
    (home, jobs)
}

fn accept(home: &mut Home, jobs: &mut Jobs, id: u128, spec: &JobSpec) {
    let id = JobId(Uuid::from_u128(id));
    home.accepting(id);
    jobs.accept(id, spec);
    home.learn(jobs.get(id).expect("job"), true, Millis(0));
}

fn placed_teams(home: &mut Home, jobs: &Jobs) -> Vec<String> {
    let mut teams = Vec::new();
    for action in home.actions(|_| true, jobs, &[], true, Millis(0)) {
        let Action::Place(placement) = action else {
            continue;
        };
        let job = jobs.get(placement.job_id).expect("job");
        teams.push(format!("{}/{:?}", job.spec.team, job.spec.class));
    }
    teams
}

#[test]
fn classes_go_in_order_and_teams_take_turns() {
    let (mut home, mut jobs) = entered(HomeOptions {
        offers: 6,
        ..HomeOptions::default()
    });
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, 100));
    accept(&mut home, &mut jobs, 2, &spec("b", Class::Normal, 100));
    accept(&mut home, &mut jobs, 3, &spec("c", Class::Urgent, 2));
    let placed = placed_teams(&mut home, &jobs);
    let expected = [
        "c/Urgent", "c/Urgent", "a/Normal", "b/Normal", "a/Normal", "b/Normal", "a/Normal",
        "b/Normal",
    ];
    assert_eq!(placed, expected);
    // Urgent work still gets through while everything else is held up.
    accept(&mut home, &mut jobs, 4, &spec("d", Class::Urgent, 1));
    assert_eq!(placed_teams(&mut home, &jobs), ["d/Urgent"]);
}

const fn resources(quota: Resources) -> Quota {
    Quota {
        resources: Some(quota),
        tasks: None,
    }
}

#[test]
fn a_limit_on_tasks_bounds_what_may_run() {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    let quota = Quota {
        resources: None,
        tasks: Some(2),
    };
    home.set_quota(&TeamId::new("a"), quota);
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, 5));
    assert_eq!(placed_teams(&mut home, &jobs).len(), 2);
}

// What a former home may have started counts until the owners have settled: no overshoot.
#[test]
fn a_new_home_starts_nothing_beyond_the_quota() {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    let team = TeamId::new("a");
    let quota = Resources {
        cpu_millis: 3_000,
        memory_bytes: 100,
        accelerators: 0,
    };
    home.set_quota(&team, resources(quota));
    let former = JobId(Uuid::from_u128(7));
    jobs.accept(former, &spec("a", Class::Normal, 2));
    home.learn(jobs.get(former).expect("job"), true, Millis(0));
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, 5));
    assert_eq!(placed_teams(&mut home, &jobs).len(), 1);
    assert_eq!(home.used(&team).cpu_millis, 3_000);
}

#[test_case(2, 5, 2; "a quota bounds what is offered")]
#[test_case(5, 3, 3; "a large quota does not")]
#[test_case(0, 3, 0; "nothing starts under a quota of nothing")]
fn a_quota_bounds_what_may_run(quota: u64, tasks: u32, offered: usize) {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    let team = TeamId::new("a");
    let quota = Resources {
        cpu_millis: quota * 1_000,
        memory_bytes: 100,
        accelerators: 0,
    };
    home.set_quota(&team, resources(quota));
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, tasks));
    assert_eq!(placed_teams(&mut home, &jobs).len(), offered);
    assert!(home.used(&team).fits_in(&quota));
    home.set_quota(&team, Quota::default());
    assert_eq!(
        placed_teams(&mut home, &jobs).len(),
        tasks as usize - offered
    );
}

#[test]
fn what_an_end_gives_back_lets_the_next_task_start() {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    let team = TeamId::new("a");
    let quota = Resources {
        cpu_millis: 1_000,
        memory_bytes: 1,
        accelerators: 0,
    };
    home.set_quota(&team, resources(quota));
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, 3));
    for _ in 0..3 {
        let actions = home.actions(|_| true, &jobs, &[], true, Millis(0));
        let [Action::Place(placement)] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        let index = placement.parts[0].indexes[0];
        let started = StartOutcome::Started {
            owner: member(0),
            worker: "w".into(),
        };
        home.placed(placement, &[(index, started)], &jobs, Millis(0));
        let task = syc_types::TaskRef {
            job_id: placement.job_id,
            index,
        };
        let done = TaskOutcome::Done("r".into());
        home.done(task, placement.attempt, &done, &jobs, Millis(0));
        jobs.set(task, syc_coord::TaskState::Ended(done));
        home.recorded(task, &jobs, Millis(0));
    }
    assert_eq!(home.task_count(), 0);
    assert!(jobs.iter().all(Job::ended));
}

#[test]
fn ten_thousand_cancels_hold_up_nobody() {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    for id in 0..10_000 {
        accept(&mut home, &mut jobs, id + 1, &spec("a", Class::Normal, 1));
    }
    for id in 0..10_000 {
        let id = JobId(Uuid::from_u128(id + 1));
        for index in jobs.cancel(id) {
            let task = syc_types::TaskRef { job_id: id, index };
            home.recorded(task, &jobs, Millis(0));
        }
    }
    accept(&mut home, &mut jobs, 90_000, &spec("b", Class::Normal, 1));
    assert_eq!(placed_teams(&mut home, &jobs), ["b/Normal"]);
    assert_eq!(home.task_count(), 1);
}

fn room(owner: usize, cores: u64) -> OwnerRoom {
    OwnerRoom {
        owner: member(owner),
        free: Resources {
            cpu_millis: cores * 1_000,
            memory_bytes: 1_000,
            accelerators: 0,
        },
        queued_tasks: 0,
    }
}

#[test_case(&[4, 0, 0], Some(&[4]); "one owner has room")]
#[test_case(&[1, 3, 0], Some(&[3, 1]); "two have it together")]
#[test_case(&[1, 1, 1], None; "they have not enough")]
fn a_gang_is_split_by_room(cores: &[u64], counts: Option<&[usize]>) {
    let rooms: Vec<_> = cores
        .iter()
        .enumerate()
        .map(|(owner, cores)| room(owner, *cores))
        .collect();
    let size = spec("a", Class::Normal, 4).resources;
    let parts = split(&[0, 1, 2, 3], &size, &rooms);
    let lengths = parts.map(|parts| {
        parts
            .iter()
            .map(|part| part.indexes.len())
            .collect::<Vec<_>>()
    });
    assert_eq!(lengths.as_deref(), counts);
}

#[test]
fn a_gang_that_fits_at_no_single_owner_is_reserved_at_several() {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    let gang = JobSpec {
        kind: JobKind::Gang,
        ..spec("a", Class::Normal, 4)
    };
    accept(&mut home, &mut jobs, 1, &gang);
    let rooms = [room(0, 2), room(1, 2), room(2, 0)];
    let actions = home.actions(|_| true, &jobs, &rooms, true, Millis(0));
    let [Action::Place(first)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(first.parts.len(), 1);
    let refused: Vec<_> = (0..4)
        .map(|index| (index, StartOutcome::NotStarted))
        .collect();
    home.placed(first, &refused, &jobs, Millis(0));
    let actions = home.actions(|_| true, &jobs, &rooms, true, Millis(0));
    let [Action::Place(second)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(second.parts.len(), 2);
}

fn only_placement(home: &mut Home, jobs: &Jobs, rooms: &[OwnerRoom], now: Millis) -> Placement {
    let mut actions = home.actions(|_| true, jobs, rooms, true, now);
    assert_eq!(actions.len(), 1, "{actions:?}");
    match actions.pop() {
        Some(Action::Place(placement)) => placement,
        other => panic!("{other:?}"),
    }
}

// Offers once, to an owner that refuses all; returns which one it was.
fn offer_in_vain(home: &mut Home, jobs: &Jobs, rooms: &[OwnerRoom], now: Millis) -> usize {
    let placement = only_placement(home, jobs, rooms, now);
    let [part] = placement.parts.as_slice() else {
        panic!("{placement:?}");
    };
    let refused: Vec<_> = part
        .indexes
        .iter()
        .map(|index| (*index, StartOutcome::NotStarted))
        .collect();
    home.placed(&placement, &refused, jobs, now);
    let asked = (0..3).find(|number| member(*number) == part.owner);
    asked.expect("member")
}

#[test_case(1; "one of the others")]
#[test_case(2; "the other of them")]
fn what_found_no_room_goes_next_to_the_owner_that_has_some(step: usize) {
    let (mut home, mut jobs) = entered(HomeOptions::default());
    accept(&mut home, &mut jobs, 1, &spec("a", Class::Normal, 1));
    let mut rooms = [room(0, 0), room(1, 0), room(2, 0)];
    let full = offer_in_vain(&mut home, &jobs, &rooms, Millis(0));
    let free = (full + step) % 3;
    rooms[free] = room(free, 4);
    let next = offer_in_vain(&mut home, &jobs, &rooms, Millis(0));
    assert_eq!(next, free);
}

// What an owner has over all its workers may be on no single one, and is as old as its last word.
#[test_case(JobKind::Batch, 1; "a task")]
#[test_case(JobKind::Gang, 4; "a gang")]
fn each_owner_is_asked_once_in_a_turn_whatever_it_says(kind: JobKind, tasks: u32) {
    for id in 1..=16 {
        let (mut home, mut jobs) = entered(HomeOptions::default());
        let job = JobSpec {
            kind,
            ..spec("a", Class::Normal, tasks)
        };
        accept(&mut home, &mut jobs, id, &job);
        let mut rooms = [room(0, 0), room(1, 0), room(2, 0)];
        for turn in 0..2 {
            let mut asked = Vec::new();
            for offer in 0..3 {
                // Later than the longest pause between two offers.
                let now = Millis((turn * 3 + offer) * 10_000);
                let owner = offer_in_vain(&mut home, &jobs, &rooms, now);
                asked.push(owner);
                rooms = [room(0, 0), room(1, 0), room(2, 0)];
                rooms[owner] = room(owner, 4);
            }
            asked.sort_unstable();
            assert_eq!(asked, [0, 1, 2], "job {id}, turn {turn}");
        }
    }
}
