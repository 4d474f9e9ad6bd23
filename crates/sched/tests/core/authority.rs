//! Until when a scheduler may give orders, and from when the leases count that it sets.

use smol_str::SmolStr;
use syc_sched::Authority;
use syc_types::Millis;

const AUTHORITY_MS: u64 = 3_000;

fn node(number: u64) -> SmolStr {
    SmolStr::from(format!("n-{number}"))
}

/// Returns what is known once the store took an append at a time, with so many nodes that follow.
fn in_touch(others: u64, at: Millis) -> Authority {
    let mut authority = Authority::new(AUTHORITY_MS);
    for number in 0..others {
        authority.note_follower(&node(number), at);
    }
    authority.note_taken(at);
    authority
}

#[test]
fn a_lease_counts_from_its_decision_while_the_evidence_is_fresh() {
    let authority = in_touch(0, Millis(10_000));
    let from = authority.lease_from(Millis(10_500), Millis(10_600));
    assert_eq!(from, Some(Millis(10_500)));
}

/// Its order waited all the while, or it stood still with it.
#[test]
fn a_lease_that_is_sent_late_counts_from_its_decision() {
    let mut authority = in_touch(0, Millis(10_000));
    authority.note_taken(Millis(14_000));
    let from = authority.lease_from(Millis(10_500), Millis(14_500));
    assert_eq!(from, Some(Millis(10_500)));
}

#[test]
fn no_lease_is_set_once_the_evidence_is_too_old() {
    let authority = in_touch(0, Millis(10_000));
    assert!(!authority.is_over(Millis(12_999)));
    assert!(authority.is_over(Millis(13_000)));
    let now = Millis(13_000);
    assert_eq!(authority.lease_from(now, now), None);
}

#[test]
fn without_any_evidence_no_lease_is_set_and_the_role_goes_on() {
    let authority = Authority::new(AUTHORITY_MS);
    assert_eq!(authority.lease_from(Millis(10), Millis(10)), None);
    assert!(!authority.is_over(Millis(60_000)));
}

/// The store is away for all: what was accepted goes on.
#[test]
fn nodes_that_follow_are_evidence_while_the_store_takes_nothing() {
    let mut authority = in_touch(4, Millis(10_000));
    for at_ms in (10_000..30_000).step_by(500) {
        for number in 0..2 {
            authority.note_follower(&node(number), Millis(at_ms));
        }
        let now = Millis(at_ms + 500);
        assert_eq!(authority.lease_from(now, now), Some(now));
    }
}

/// Cut off from the store together, they can't know of a successor.
#[test]
fn less_than_half_of_the_nodes_are_none() {
    let mut authority = in_touch(4, Millis(10_000));
    for at_ms in (10_000..13_000).step_by(500) {
        authority.note_follower(&node(0), Millis(at_ms));
    }
    assert!(authority.is_over(Millis(13_000)));
}

/// It was under way, or lay in a buffer, while this node stood still.
#[test]
fn what_a_node_tells_is_as_old_as_the_answer_that_it_had() {
    let mut authority = in_touch(1, Millis(10_000));
    let waking = Millis(16_000);
    authority.note_follower(&node(0), Millis(10_200));
    assert_eq!(authority.lease_from(waking, waking), None);
}

#[test]
fn nodes_that_left_before_are_not_counted() {
    let mut authority = in_touch(3, Millis(10_000));
    for at_ms in (10_000..=30_000).step_by(500) {
        authority.note_follower(&node(0), Millis(at_ms));
        authority.note_taken(Millis(at_ms));
    }
    authority.note_follower(&node(0), Millis(33_000));
    let now = Millis(34_000);
    assert_eq!(authority.lease_from(now, now), Some(now));
}
