//! Load close to the capacity of the workers in virtual time, steady or with a disruption in the middle.
//!
//! The backlog of a disruption has to be worked off, and a load within capacity must not be delayed by its own calls
//! for advice. The load consists of three kinds of request whose calls for advice, cores and urgency differ by orders
//! of magnitude.

mod replay;
mod setup;
mod uneven;

use replay::Replay;
use setup::BATCH;
use setup::Disruption;
use setup::GANGS;
use setup::LOOKUPS;
use setup::Setup;
use test_case::test_case;

/// For five seconds there are no scheduling passes, a third of the nodes that ask for advice are absent, and the
/// urgent load nearly doubles.
const OUTAGE: Disruption = Disruption {
    from_ms: 15_000,
    until_ms: 20_000,
    absent_advice_nodes: 10,
    urgent_load_factor: 1.9,
};

/// Load without disruption, in percent of the capacity.
const STEADY_PERCENT: u32 = 87;

/// The workers have reached their steady utilization by then.
const STEADY_FROM_MS: u64 = 8_000;

/// Ten seconds after the disruption, each kind has to be served as before it.
const SERVED_FROM_MS: u64 = 30_000;

#[test_case(1, None; "steady")]
#[test_case(2, None; "steady, other jobs")]
#[test_case(1, Some(OUTAGE); "after an outage")]
#[test_case(2, Some(OUTAGE); "after an outage, other jobs")]
fn each_kind_meets_its_objective_near_capacity(seed: u64, disruption: Option<Disruption>) {
    let setup = Setup::large();
    let until_ms = setup.load_until_ms;
    let mut replay = Replay::new(seed, setup, disruption);
    replay.run();
    assert_eq!(replay.faults(), []);
    let served = [GANGS, BATCH, LOOKUPS].map(|kind| replay.served(kind, SERVED_FROM_MS, until_ms));
    let [gangs, batch, lookups] = served;
    let worst = gangs.min(batch).min(lookups);
    assert!(worst > 0.7, "gangs, batch, lookups: {served:.2?}");
    assert!(lookups > 0.98, "gangs, batch, lookups: {served:.2?}");
}

/// A pass that selected workers to ask about for every waiting step would hold up the scheduler.
#[test]
fn a_pass_selects_workers_for_advice_only_while_calls_are_available() {
    let setup = Setup {
        load_until_ms: OUTAGE.until_ms,
        ..Setup::large()
    };
    let workers = setup.workers;
    let mut replay = Replay::new(1, setup, Some(OUTAGE));
    replay.run_until(OUTAGE.until_ms);
    let waiting = replay.waiting_tasks();
    assert!(waiting > 4_000, "{waiting} tasks are waiting");
    let before = replay.examined_workers();
    replay.schedule();
    let examined = replay.examined_workers() - before;
    let calls = 100;
    assert!(
        examined < calls * workers,
        "{examined} workers examined for {waiting} tasks"
    );
}

/// Wide gangs need advice about more workers than one call may name. Guards against asking one call after another,
/// which let the first tickets expire before the last arrived, so that the widest gangs waited forever.
#[test_case(1; "some jobs")]
#[test_case(2; "other jobs")]
fn the_largest_gangs_meet_their_objective_like_the_others(seed: u64) {
    let setup = Setup::wide(STEADY_PERCENT);
    let until_ms = setup.load_until_ms;
    let mut replay = Replay::new(seed, setup, None);
    replay.run();
    assert_eq!(replay.faults(), []);
    let all = replay.served(GANGS, STEADY_FROM_MS, until_ms);
    let largest = replay.served_of_largest(GANGS, STEADY_FROM_MS, until_ms);
    assert!(
        all >= 0.93 && largest >= 0.9 * all,
        "{all:.2}, largest {largest:.2}"
    );
}

/// A workspace that sends several times what all workers can do for 12 s must not delay what the others send within
/// their rates, even if its requests are more urgent. With priority before rates, more than half of the patient
/// requests missed their objectives.
#[test_case(1; "some jobs")]
#[test_case(2; "other jobs")]
fn a_flood_of_one_workspace_leaves_the_guaranteed_work_of_others_in_time(seed: u64) {
    const FLOODING: usize = 0;
    const URGENT: usize = 1;
    const PATIENT: usize = 2;
    let setup = Setup::flooded();
    let flood = setup.flood.clone().expect("a flood");
    let (from_ms, until_ms) = (1_000, setup.load_until_ms);
    let mut replay = Replay::new(seed, setup, None);
    replay.run_until(flood.from_ms);
    let before = replay.shedding();
    replay.run_until(flood.until_ms);
    let during = replay.shedding();
    replay.run();
    assert_eq!(replay.faults(), []);
    let served = [URGENT, PATIENT].map(|kind| replay.served(kind, from_ms, until_ms));
    assert!(served[0] >= 0.9 && served[1] >= 0.9, "{served:.2?}");
    assert!(before.is_empty());
    assert!(!during.is_empty() && during.iter().all(|name| name == "flooding"));
    assert!(replay.shedding().is_empty());
    assert_eq!(replay.unended(FLOODING), 0, "accepted work ends");
}

/// Prints how each kind is served at loads above the capacity, and how many runs are preempted.
/// For a profiler: `cargo test --release -p syc-sched --test overload -- --ignored play_a_large_cell`.
#[test]
#[ignore = "prints the starts of a large cell, whose decisions are to be profiled"]
fn play_a_large_cell() {
    let mut replay = Replay::new(1, Setup::fleet(), None);
    replay.run();
    println!("{} runs", replay.preemptions().starts);
}

#[test]
#[ignore = "prints a table, and takes minutes"]
fn print_service_by_load() {
    for load_percent in [STEADY_PERCENT, 100, 113, 130, 150] {
        let setup = Setup::wide(load_percent);
        let until_ms = setup.load_until_ms;
        let mut replay = Replay::new(1, setup, None);
        replay.run();
        let kinds = [GANGS, BATCH, LOOKUPS];
        let served = kinds.map(|kind| replay.served(kind, STEADY_FROM_MS, until_ms));
        let largest = kinds.map(|kind| replay.served_of_largest(kind, STEADY_FROM_MS, until_ms));
        let preemptions = replay.preemptions();
        println!(
            "{load_percent}%: gangs, batch, lookups {served:.2?}, largest {largest:.2?}, \
             {} of {} runs preempted, at most {} of one task",
            preemptions.stops, preemptions.starts, preemptions.max_per_task
        );
    }
}
