//! Which node relays the calls to which worker, and how failures change it.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::carriers::CarrierChange;
use syc_cell::carriers::Carriers;
use syc_cell::carriers::Route;
use syc_cell::remote_clock::RemoteClock;
use syc_types::Millis;
use syc_types::WorkerId;
use syc_types::Zone;

/// Descriptor limit with which 90 workers are relayed, at most 16 by one node.
const FILES_LIMIT: u64 = 128;

const ZONES: [&str; 3] = ["a", "b", "c"];

const NOW: Millis = Millis(10_000);

fn worker(index: usize) -> WorkerId {
    WorkerId::new(format_smolstr!("w-{index}"))
}

fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn hear(carriers: &mut Carriers, nodes: &[usize], files_limit: u64, now: Millis) {
    for node in nodes {
        let name = format_smolstr!("n-{node}");
        carriers.note_contact(&name, files_limit, zone_of(*node), now);
    }
}

/// Creates the state of a scheduler that has heard of these nodes, with `workers` workers.
fn carriers(nodes: &[usize], files_limit: u64, workers: usize) -> Carriers {
    let mut carriers = Carriers::new(FILES_LIMIT);
    hear(&mut carriers, nodes, files_limit, NOW);
    for index in 0..workers {
        carriers.add_worker(&worker(index), &Zone::new(zone_of(index)), NOW);
    }
    carriers
}

/// Returns the carrier of each worker that has one.
fn routes(carriers: &mut Carriers, workers: usize, now: Millis) -> BTreeMap<usize, SmolStr> {
    let mut routes = BTreeMap::new();
    for index in 0..workers {
        if let Route::Through(name) = carriers.route(&worker(index), now) {
            routes.insert(index, name);
        }
    }
    routes
}

fn through(node: &str) -> Route {
    Route::Through(SmolStr::new(node))
}

/// Cells of usual size must be served as before.
#[test]
fn nothing_is_relayed_while_half_of_the_descriptors_suffice() {
    let mut few = carriers(&[0, 1, 2], 4_096, 32);
    assert_eq!(routes(&mut few, 32, NOW), BTreeMap::new());
    let mut unknown_limit = Carriers::new(0);
    hear(&mut unknown_limit, &[0], 4_096, NOW);
    for index in 0..100 {
        unknown_limit.add_worker(&worker(index), &Zone::new("a"), NOW);
    }
    assert_eq!(routes(&mut unknown_limit, 100, NOW), BTreeMap::new());
    let mut many = carriers(&[0, 1, 2], 4_096, 33);
    assert_eq!(routes(&mut many, 33, NOW).len(), 33);
    assert_eq!(many.take_changes(), [CarrierChange::RelayingBegan]);
}

/// Nodes of earlier versions do not know the call.
#[test]
fn nodes_that_report_no_limit_relay_nothing() {
    let mut carriers = carriers(&[0, 1], 0, 90);
    assert_eq!(routes(&mut carriers, 90, NOW), BTreeMap::new());
}

/// A scheduler must not overload the nodes that it relays through.
#[test]
fn no_node_relays_for_more_workers_than_an_eighth_of_its_limit() {
    let nodes: Vec<_> = (0..4).collect();
    let mut carriers = carriers(&nodes, 80, 90);
    let routes = routes(&mut carriers, 90, NOW);
    assert_eq!(routes.len(), 40);
    for node in &nodes {
        let name = format_smolstr!("n-{node}");
        assert_eq!(
            routes.values().filter(|carrier| **carrier == name).count(),
            10
        );
    }
    assert_eq!(carriers.load().most_workers, 10);
}

/// A scheduler that was busy or frozen itself reads all contacts late. Taking all carriers for lost, it would connect to
/// all workers at once.
#[test]
fn carriers_stay_if_no_node_was_heard_of_for_a_while() {
    let mut carriers = carriers(&[0, 1], 4_096, 90);
    assert_eq!(routes(&mut carriers, 90, NOW).len(), 90);
    assert_eq!(routes(&mut carriers, 90, NOW.plus(2_000)).len(), 90);
    assert!(!carriers.take_lost());
    assert_eq!(routes(&mut carriers, 90, NOW.plus(2_001)).len(), 0);
    assert!(carriers.route(&worker(0), NOW.plus(2_300)) == Route::Direct);
    assert!(carriers.take_lost());
}

/// Calls across zones take longer and may be cut off together.
#[test]
fn workers_are_relayed_within_their_zone_while_it_has_room() {
    let nodes: Vec<_> = (0..9).collect();
    let mut carriers = carriers(&nodes, 4_096, 90);
    for (index, name) in routes(&mut carriers, 90, NOW) {
        let node: usize = name["n-".len()..].parse().expect("a number");
        assert_eq!(zone_of(node), zone_of(index));
    }
}

/// Each reassigned worker costs a new connection.
#[test]
fn the_loss_of_a_node_moves_only_its_workers() {
    let nodes: Vec<_> = (0..9).collect();
    let mut carriers = carriers(&nodes, 4_096, 90);
    let before = routes(&mut carriers, 90, NOW);
    let later = NOW.plus(1_100);
    hear(&mut carriers, &nodes[1..], 4_096, later);
    let after = routes(&mut carriers, 90, later);
    assert_eq!(after.len(), 90);
    for (index, name) in &before {
        if name != "n-0" {
            assert_eq!(after.get(index), Some(name));
        }
    }
    assert!(!after.values().any(|name| name == "n-0"));
}

/// The carriers' connections must stay in use when the scheduler changes.
#[test]
fn a_successor_computes_the_same_assignment() {
    let nodes: Vec<_> = (0..9).collect();
    let mut first = carriers(&nodes, 4_096, 90);
    let mut second = Carriers::new(2 * FILES_LIMIT);
    for index in (0..90).rev() {
        second.add_worker(&worker(index), &Zone::new(zone_of(index)), NOW);
    }
    hear(&mut second, &[5, 4, 8, 0, 1, 7, 2, 6, 3], 4_096, NOW);
    let expected = routes(&mut first, 90, NOW);
    assert_eq!(routes(&mut second, 90, NOW), expected);
}

/// A worker that registers between two assignments must not be called directly by then: thousands may.
#[test]
fn a_new_worker_has_a_carrier_at_once() {
    let mut carriers = carriers(&[0], 4_096, 90);
    assert_eq!(routes(&mut carriers, 90, NOW).len(), 90);
    carriers.add_worker(&worker(90), &Zone::new("a"), NOW);
    assert_eq!(carriers.route(&worker(90), NOW), through("n-0"));
}

/// Nodes that come and go must not cost an assignment at each call.
#[test]
fn nodes_are_assigned_over_at_most_every_250_ms() {
    let mut carriers = carriers(&[0], 4_096, 90);
    assert_eq!(carriers.route(&worker(0), NOW), through("n-0"));
    hear(&mut carriers, &[1, 2, 3], 4_096, NOW);
    let soon = routes(&mut carriers, 90, NOW.plus(249));
    assert!(soon.values().all(|name| name == "n-0"));
    let later = routes(&mut carriers, 90, NOW.plus(250));
    assert!(later.values().any(|name| name != "n-0"));
}

/// The next attempt must not depend on the carrier that may have failed.
#[test]
fn after_a_failed_call_a_worker_is_called_directly_once() {
    let mut carriers = carriers(&[0], 4_096, 90);
    assert_eq!(carriers.route(&worker(0), NOW), through("n-0"));
    let off = carriers.note_failure(&SmolStr::new("n-0"), &worker(0), NOW);
    assert!(!off);
    assert_eq!(carriers.route(&worker(0), NOW), Route::Direct);
    assert_eq!(carriers.route(&worker(0), NOW), through("n-0"));
    assert_eq!(carriers.route(&worker(1), NOW), through("n-0"));
}

/// Where only the link from carrier to worker is cut, every second call would fail.
#[test]
fn a_worker_that_its_carrier_does_not_reach_repeatedly_is_called_directly_for_a_while() {
    let mut carriers = carriers(&[0], 4_096, 90);
    for _ in 0..2 {
        carriers.note_answer("n-0", &worker(0), false, NOW);
    }
    for _ in 0..2 {
        assert_eq!(carriers.route(&worker(0), NOW.plus(1_499)), Route::Direct);
    }
    assert_eq!(carriers.route(&worker(1), NOW), through("n-0"));
    hear(&mut carriers, &[0], 4_096, NOW.plus(1_500));
    let later = carriers.route(&worker(0), NOW.plus(1_500));
    assert_eq!(later, through("n-0"));
}

/// A node that is frozen or slow would fail the calls to all of its workers.
#[test]
fn a_node_is_taken_off_after_three_failed_calls_in_a_row() {
    let mut carriers = carriers(&[0, 1], 4_096, 90);
    let bad = SmolStr::new("n-0");
    routes(&mut carriers, 90, NOW);
    let _began = carriers.take_changes();
    for index in 0..2 {
        assert!(!carriers.note_failure(&bad, &worker(index), NOW));
    }
    carriers.note_answer("n-0", &worker(2), true, NOW);
    for index in 3..5 {
        assert!(!carriers.note_failure(&bad, &worker(index), NOW));
    }
    assert!(carriers.note_failure(&bad, &worker(5), NOW));
    assert!(!carriers.note_failure(&bad, &worker(6), NOW));
    assert_eq!(
        carriers.take_changes(),
        [CarrierChange::TakenOff(bad.clone())]
    );
    assert!(
        !routes(&mut carriers, 90, NOW)
            .values()
            .any(|name| *name == bad)
    );
    let later = NOW.plus(1_500);
    hear(&mut carriers, &[0, 1], 4_096, later);
    assert!(
        routes(&mut carriers, 90, later)
            .values()
            .any(|name| *name == bad)
    );
    assert_eq!(carriers.take_changes(), [CarrierChange::Back(bad)]);
}

/// A call that waited while its carrier was frozen must be recognized also if the reply to a contact waited with it.
#[test]
fn a_reply_that_was_read_late_does_not_set_the_scheduler_s_clock_back() {
    let mut clock = RemoteClock::default();
    assert_eq!(clock.earliest(NOW), None);
    clock.record(Millis(50_000), NOW);
    clock.record(Millis(50_100), NOW.plus(5_000));
    let earliest = clock.earliest(NOW.plus(5_000)).expect("a reading");
    assert!(earliest >= Millis(54_750) && earliest <= Millis(55_000));
}

/// With a clock that runs 2% slower than the carrier's, calls in time must not be dropped.
#[test]
fn a_slow_clock_of_the_scheduler_is_not_read_as_later_than_it_is() {
    let mut clock = RemoteClock::default();
    for step in 0..1_000 {
        let now = NOW.plus(step * 150);
        let remote = Millis(50_000 + step * 147);
        clock.record(remote, now);
        let earliest = clock.earliest(now).expect("a reading");
        assert!(earliest <= remote);
    }
}

/// In a large cell some node comes or goes all the time. Assigning every worker anew each time took the scheduler's
/// processor time.
#[test]
fn a_change_of_one_node_costs_no_assignment_of_all_workers() {
    let nodes: Vec<_> = (0..300).collect();
    let workers = 3_000;
    let mut carriers = carriers(&nodes, 4_096, workers);
    let before = routes(&mut carriers, workers, NOW);
    let all = carriers.comparisons();
    let later = NOW.plus(1_100);
    hear(&mut carriers, &nodes[1..], 4_096, later);
    let _without = routes(&mut carriers, workers, later);
    let loss = carriers.comparisons() - all;
    assert!(
        loss < all / 20,
        "{loss} comparisons for a loss, {all} for all"
    );
    let returned = later.plus(250);
    hear(&mut carriers, &nodes, 4_096, returned);
    let after = routes(&mut carriers, workers, returned);
    let both = carriers.comparisons() - all;
    assert!(
        both < all / 20,
        "{both} comparisons for a loss and a return"
    );
    assert_eq!(before, after);
}
