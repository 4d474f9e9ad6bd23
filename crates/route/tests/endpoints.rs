//! Choice, ejection and leaving of endpoints.

use std::collections::HashSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::format_smolstr;
use syc_route::AdaptiveLimit;
use syc_route::EndpointInfo;
use syc_route::EndpointKey;
use syc_route::Endpoints;
use syc_route::Finish;
use syc_route::HealthOptions;
use syc_types::EndpointId;
use syc_types::Millis;
use syc_types::Zone;
use test_case::test_case;

fn endpoints(number: usize) -> (Endpoints, Vec<EndpointKey>) {
    let options = HealthOptions::default();
    let mut all = Endpoints::new(AdaptiveLimit, options, Zone::new("a"));
    let mut keys = Vec::new();
    for index in 0..number {
        keys.push(all.upsert(EndpointInfo {
            id: EndpointId::new(format_smolstr!("e{index}")),
            address: "127.0.0.1:1".into(),
            zone: Zone::new(if index % 2 == 0 { "a" } else { "b" }),
            slots: 8,
        }));
    }
    (all, keys)
}

fn chosen(all: &mut Endpoints, now: u64, tries: usize) -> HashSet<EndpointKey> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut seen = HashSet::new();
    for _ in 0..tries {
        seen.extend(all.choose(&[], Millis(now), &mut random));
    }
    seen
}

#[test]
fn the_own_zone_goes_first_and_the_others_take_the_rest() {
    let (mut all, keys) = endpoints(4);
    assert_eq!(chosen(&mut all, 0, 50), HashSet::from([keys[0], keys[2]]));
    for key in [keys[0], keys[2]] {
        for _ in 0..8 {
            all.begin(key);
        }
    }
    assert_eq!(chosen(&mut all, 0, 50), HashSet::from([keys[1], keys[3]]));
}

#[test]
fn slots_are_never_exceeded_and_shares_go_before_borrowing() {
    let (mut all, keys) = endpoints(4);
    all.set_entry_vms(4);
    let mut random = SmallRng::seed_from_u64(2);
    let mut taken = 0;
    while let Some(key) = all.choose(&[], Millis(0), &mut random) {
        all.begin(key);
        taken += 1;
        if taken == 8 {
            for &key in &keys {
                assert_eq!(all.in_flight(key), 2);
            }
        }
    }
    assert_eq!(taken, 32);
}

#[test]
fn a_busy_refusal_lowers_the_limit_and_answers_raise_it_again() {
    let (mut all, keys) = endpoints(1);
    for _ in 0..4 {
        all.begin(keys[0]);
    }
    all.finish(keys[0], Finish::Busy, Millis(0));
    assert!(chosen(&mut all, 0, 5).is_empty());
    for _ in 0..20 {
        all.finish(keys[0], Finish::Answered { latency_us: 5 }, Millis(0));
        all.begin(keys[0]);
    }
    assert_eq!(chosen(&mut all, 0, 5).len(), 1);
}

#[test]
fn a_refused_endpoint_without_work_of_ours_rests_for_a_moment() {
    let (mut all, keys) = endpoints(1);
    all.begin(keys[0]);
    all.finish(keys[0], Finish::Busy, Millis(10));
    assert!(chosen(&mut all, 10, 5).is_empty());
    let back = all.next_return().expect("return");
    assert!(back <= Millis(60));
    assert_eq!(chosen(&mut all, back.0, 5).len(), 1);
}

#[test_case(Finish::Lost, 3; "lost answers")]
#[test_case(Finish::Failed, 3; "answers that say it failed")]
#[test_case(Finish::TimedOut { waited_ms: 1_000 }, 3; "hanging")]
#[test_case(Finish::NotSent, 1; "one refused connection")]
fn failures_eject_and_the_return_is_slow(finish: Finish, times: usize) {
    let (mut all, keys) = endpoints(4);
    for _ in 0..times {
        assert!(chosen(&mut all, 5, 50).contains(&keys[0]));
        all.begin(keys[0]);
        all.finish(keys[0], finish, Millis(5));
    }
    assert!(!chosen(&mut all, 1_004, 50).contains(&keys[0]));
    assert!(chosen(&mut all, 1_005, 50).contains(&keys[0]));
    all.begin(keys[0]);
    assert!(!chosen(&mut all, 1_005, 50).contains(&keys[0]));
    all.finish(keys[0], Finish::Answered { latency_us: 1 }, Millis(1_006));
    all.begin(keys[0]);
    assert!(chosen(&mut all, 1_006, 50).contains(&keys[0]));
    all.begin(keys[0]);
    assert!(!chosen(&mut all, 1_006, 50).contains(&keys[0]));
    all.finish(keys[0], Finish::Lost, Millis(1_007));
    assert!(!chosen(&mut all, 3_006, 50).contains(&keys[0]));
}

#[test]
fn a_timeout_that_the_caller_set_too_short_ejects_nobody() {
    let (mut all, keys) = endpoints(2);
    for _ in 0..20 {
        all.begin(keys[0]);
        all.finish(keys[0], Finish::TimedOut { waited_ms: 20 }, Millis(0));
    }
    assert!(chosen(&mut all, 0, 50).contains(&keys[0]));
}

#[test]
fn half_of_the_endpoints_stay_in_use_though_all_fail() {
    let (mut all, keys) = endpoints(10);
    for _ in 0..5 {
        for &key in &keys {
            all.begin(key);
            all.finish(key, Finish::Lost, Millis(0));
        }
    }
    let mut usable = 0;
    let mut random = SmallRng::seed_from_u64(3);
    let mut avoid = Vec::new();
    while let Some(key) = all.choose(&avoid, Millis(0), &mut random) {
        avoid.push(key);
        usable += 1;
    }
    assert_eq!(usable, 5);
}

#[test]
fn a_leaving_endpoint_gets_nothing_new_from_any_sign_on() {
    let (mut all, keys) = endpoints(2);
    let id = EndpointId::new("e0");
    all.begin(keys[0]);
    all.begin(keys[0]);
    all.finish(keys[0], Finish::Draining, Millis(0));
    assert!(!chosen(&mut all, 500_000, 50).contains(&keys[0]));
    all.set_leaving(&id, true);
    all.finish(keys[0], Finish::Answered { latency_us: 9 }, Millis(1));
    assert!(!chosen(&mut all, 500_000, 50).contains(&keys[0]));
    assert_eq!(all.staying(), 1);
    all.set_leaving(&id, false);
    assert!(chosen(&mut all, 500_000, 50).contains(&keys[0]));
}

#[test]
fn an_endpoint_that_left_the_inventory_is_forgotten() {
    let (mut all, keys) = endpoints(3);
    all.begin(keys[0]);
    all.retain(|id| id.as_str() != "e0");
    all.finish(keys[0], Finish::Answered { latency_us: 9 }, Millis(1));
    assert_eq!(chosen(&mut all, 1, 50), HashSet::from([keys[2]]));
}
