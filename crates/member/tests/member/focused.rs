//! One fault each, on injected clocks.

use syc_member::Event;
use syc_member::Options;
use syc_member::incarnation;
use syc_member::vm_name;

use crate::cluster::Cluster;
use crate::cluster::Run;

/// Longest that anything here may take.
const LIMIT_MS: u64 = 30_000;

fn started(members: usize) -> Cluster {
    let mut cluster = Cluster::start(members, members, 7, Options::default());
    let all = |cluster: &Cluster| cluster.all_held() && cluster.members(0).len() == members;
    assert!(cluster.run_until(LIMIT_MS, all).is_some());
    cluster
}

fn holder(cluster: &Cluster) -> usize {
    let slot = (0..5).find(|slot| !cluster.racks_of(*slot).is_empty());
    slot.expect("a holder")
}

fn settle(cluster: &mut Cluster) {
    assert!(cluster.run_until(LIMIT_MS, Cluster::all_held).is_some());
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn members_that_start_together_agree_on_one_first_view() {
    let cluster = started(5);
    assert_eq!(cluster.epoch(0), 1);
    assert!(cluster.now < 2_000, "{}", cluster.now);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn a_later_incarnation_has_a_greater_id() {
    let first = incarnation("entry-1", 1_790_000_000_000, 900);
    let later = incarnation("entry-1", 1_790_000_000_001, 3);
    assert!(later > first);
    assert_eq!(vm_name(&later), "entry-1");
}

#[test]
fn a_dead_member_is_replaced_within_five_seconds() {
    let mut cluster = started(5);
    cluster.crash(2);
    let without = |cluster: &Cluster| cluster.all_held() && cluster.members(0).len() == 4;
    let took = cluster.run_until(5_000, without);
    assert!(took.is_some());
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn a_paused_member_comes_back_and_does_not_act() {
    let mut cluster = started(5);
    let slot = holder(&cluster);
    cluster.halt(slot, Run::Paused);
    cluster.run(10_000);
    settle(&mut cluster);
    cluster.resume(slot);
    assert_eq!(cluster.racks_of(slot), []);
    cluster.run(10_000);
    settle(&mut cluster);
    assert_eq!(cluster.members(0).len(), 5);
}

#[test]
fn a_member_that_one_other_does_not_hear_stays() {
    let mut cluster = started(5);
    cluster.cuts.insert((0, 1));
    cluster.run(20_000);
    assert!(cluster.all_held());
    assert_eq!(cluster.epoch(2), 1);
}

#[test]
fn a_member_that_nobody_hears_is_replaced_though_it_hears_all() {
    let mut cluster = started(5);
    for other in 1..5 {
        cluster.cuts.insert((0, other));
    }
    cluster.run(10_000);
    settle(&mut cluster);
    assert_eq!(cluster.racks_of(0), []);
    assert_eq!(cluster.members(1).len(), 4);
}

#[test]
fn a_zone_that_is_cut_off_stops_and_the_majority_takes_over() {
    let mut cluster = started(5);
    for inside in 0..2 {
        for outside in 2..5 {
            cluster.cuts.insert((inside, outside));
            cluster.cuts.insert((outside, inside));
        }
    }
    // The log is in reach of both sides.
    cluster.run(10_000);
    settle(&mut cluster);
    assert_eq!(cluster.racks_of(0), []);
    assert_eq!(cluster.members(3).len(), 3);
    cluster.cuts.clear();
    cluster.run(10_000);
    settle(&mut cluster);
    assert_eq!(cluster.members(3).len(), 5);
}

#[test]
fn a_majority_without_the_log_goes_on_and_the_minority_waits() {
    let mut cluster = started(5);
    for inside in 0..3 {
        cluster.nodes[inside].log = false;
        for outside in 3..5 {
            cluster.cuts.insert((inside, outside));
            cluster.cuts.insert((outside, inside));
        }
    }
    cluster.run(20_000);
    assert_eq!(cluster.racks_of(3), []);
    assert_eq!(cluster.racks_of(4), []);
    let held = (0..3)
        .map(|slot| cluster.racks_of(slot).len())
        .sum::<usize>();
    assert!(held > 0);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn a_clock_jump_counts_as_a_lapse() {
    let mut cluster = started(5);
    let slot = holder(&cluster);
    cluster.jump(slot, 1);
    assert_eq!(cluster.racks_of(slot), []);
    settle(&mut cluster);
    assert_eq!(cluster.epoch(slot), 1);
}

#[test]
fn a_log_outage_stops_no_member_and_no_view_changes() {
    let mut cluster = started(5);
    cluster.log_up = false;
    cluster.run(30_000);
    assert!(cluster.all_held());
    cluster.crash(4);
    cluster.run(30_000);
    assert_eq!(cluster.epoch(0), 1);
    assert!(!cluster.racks_of(0).is_empty() || !cluster.racks_of(1).is_empty());
    cluster.log_up = true;
    settle(&mut cluster);
    assert_eq!(cluster.epoch(0), 2);
}

#[test]
fn racing_proposals_make_one_view() {
    let mut cluster = started(3);
    let members = cluster.nodes[0].member.view().members.clone();
    let base = cluster.nodes[0].member.view().epoch;
    cluster.log.push((base, members[..2].to_vec()));
    cluster.log.push((base, members[1..].to_vec()));
    cluster.step();
    assert!((0..3).all(|slot| cluster.epoch(slot) == 2));
    let ids = |slot: usize| {
        let all = &cluster.nodes[slot].member.view().members;
        all.iter()
            .map(|member| member.id.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(0), ids(1));
    assert_eq!(ids(1), ids(2));
    settle(&mut cluster);
}

#[test]
fn a_leaver_hands_over_without_a_gap() {
    let mut cluster = started(5);
    let slot = holder(&cluster);
    cluster.tell(slot, Event::Leave);
    let left = |cluster: &Cluster| cluster.nodes[slot].member.retired();
    let took = cluster.run_until(LIMIT_MS, left);
    assert!(took.is_some());
    let took = cluster.run_until(LIMIT_MS, Cluster::all_held);
    assert!(took.is_some_and(|took_ms| took_ms <= 200), "{took:?}");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn a_leaver_that_can_not_leave_by_the_log_retires() {
    let mut cluster = started(3);
    cluster.log_up = false;
    cluster.tell(0, Event::Leave);
    cluster.run(5_000);
    assert!(!cluster.nodes[0].member.retired());
    cluster.tell(0, Event::Retire);
    assert_eq!(cluster.racks_of(0), []);
    cluster.log_up = true;
    cluster.run(1_000);
    cluster.crash(0);
    settle(&mut cluster);
    assert_eq!(cluster.members(1).len(), 2);
}

#[test]
fn half_a_view_goes_on_when_the_other_half_is_off_the_list() {
    let mut cluster = started(4);
    for slot in [0, 2] {
        cluster.cuts.insert((slot, 1));
        cluster.cuts.insert((slot, 3));
        cluster.cuts.insert((1, slot));
        cluster.cuts.insert((3, slot));
    }
    cluster.run(10_000);
    assert_eq!(cluster.racks_of(1), []);
    cluster.lose_vm(0);
    cluster.lose_vm(2);
    settle(&mut cluster);
    assert_eq!(cluster.members(1).len(), 2);
}

#[test]
fn the_last_to_leave_closes_the_view_so_that_others_can_begin() {
    let mut cluster = Cluster::start(2, 1, 7, Options::default());
    settle(&mut cluster);
    cluster.tell(0, Event::Leave);
    cluster.tell(0, Event::Retire);
    assert_eq!(cluster.racks_of(0), []);
    cluster.run(1_000);
    assert_eq!(cluster.members(0), Vec::<&str>::new());
    cluster.crash(0);
    cluster.restart(1);
    settle(&mut cluster);
    assert_eq!(cluster.members(1).len(), 1);
}

#[test]
fn all_that_restart_at_once_find_a_view_again() {
    let mut cluster = started(5);
    for slot in 0..5 {
        cluster.crash(slot);
    }
    cluster.run(1_000);
    for slot in 0..5 {
        cluster.restart(slot);
    }
    cluster.run(1_000);
    settle(&mut cluster);
    assert!(cluster.epoch(0) > 1);
    assert_eq!(cluster.members(0).len(), 5);
}

#[test]
fn new_vms_take_over_from_a_majority_that_is_off_the_list() {
    let mut cluster = started(5);
    for slot in 0..4 {
        cluster.lose_vm(slot);
    }
    cluster.run(2_000);
    for slot in 0..4 {
        cluster.restart(slot);
    }
    let done = |cluster: &Cluster| cluster.all_held() && cluster.members(4).len() == 5;
    assert!(cluster.run_until(100_000, done).is_some());
    assert_eq!(cluster.violations, Vec::<String>::new());
}
