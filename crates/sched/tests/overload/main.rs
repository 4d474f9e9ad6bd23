//! A load near what the workers hold, calm or with a disruption in the midst of it, in virtual time.
//!
//! What a disruption leaves behind must be worked off, and a load that can be served must not choke on the
//! calls that it makes for advice. The load is that of three kinds of request whose calls for advice, cores
//! and urgency differ by orders of magnitude.

mod replay;
mod setup;

use replay::Replay;
use setup::BATCH;
use setup::Disruption;
use setup::GANGS;
use setup::LOOKUPS;
use setup::Setup;
use test_case::test_case;

/// No look at the waiting tasks, a third of the nodes that ask for advice away, and nearly twice the urgent
/// load, for five seconds.
const OUTAGE: Disruption = Disruption {
    from_ms: 15_000,
    until_ms: 20_000,
    absent_advisers: 10,
    urgent_load_factor: 1.9,
};

/// Load of the calm days, in hundredths of what the workers hold.
const CALM_PERCENT: u32 = 87;

/// By then the workers are as full as they get at that load.
const CALM_FROM_MS: u64 = 8_000;

/// From ten seconds after the disruption on, each kind is served as before it.
const SERVED_FROM_MS: u64 = 30_000;

#[test_case(1, None; "calm")]
#[test_case(2, None; "calm, other jobs")]
#[test_case(1, Some(OUTAGE); "after a standstill")]
#[test_case(2, Some(OUTAGE); "after a standstill, other jobs")]
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

/// A look that worked out whom to ask about each waiting step would hold up the scheduler.
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
    assert!(waiting > 4_000, "{waiting} tasks wait");
    let before = replay.examined_workers();
    replay.schedule();
    let examined = replay.examined_workers() - before;
    let calls = 100;
    assert!(
        examined < calls * workers,
        "{examined} workers examined for {waiting} tasks"
    );
}

/// Wide gangs need advice about more workers than one call may name. Asked one after the other, the first tickets were
/// too old when the last came, and the widest gangs waited for ever.
#[test_case(1; "some jobs")]
#[test_case(2; "other jobs")]
fn the_largest_gangs_meet_their_objective_like_the_others(seed: u64) {
    let setup = Setup::wide(CALM_PERCENT);
    let until_ms = setup.load_until_ms;
    let mut replay = Replay::new(seed, setup, None);
    replay.run();
    assert_eq!(replay.faults(), []);
    let all = replay.served(GANGS, CALM_FROM_MS, until_ms);
    let largest = replay.served_of_largest(GANGS, CALM_FROM_MS, until_ms);
    assert!(
        all >= 0.93 && largest >= 0.9 * all,
        "{all:.2}, largest {largest:.2}"
    );
}

/// How each kind is served at more load than room, and what is stopped for it.
#[test]
#[ignore = "prints a curve, and takes minutes"]
fn print_service_by_load() {
    for load_percent in [CALM_PERCENT, 100, 113, 130, 150] {
        let setup = Setup::wide(load_percent);
        let until_ms = setup.load_until_ms;
        let mut replay = Replay::new(1, setup, None);
        replay.run();
        let kinds = [GANGS, BATCH, LOOKUPS];
        let served = kinds.map(|kind| replay.served(kind, CALM_FROM_MS, until_ms));
        let largest = kinds.map(|kind| replay.served_of_largest(kind, CALM_FROM_MS, until_ms));
        let preemptions = replay.preemptions();
        println!(
            "{load_percent}%: gangs, batch, lookups {served:.2?}, largest {largest:.2?}, \
             {} of {} runs stopped, {} of one task",
            preemptions.stops, preemptions.starts, preemptions.max_per_task
        );
    }
}
