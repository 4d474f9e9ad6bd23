//! Tests until when a scheduler may send orders, and when the leases that it sets start.

use smol_str::SmolStr;
use syc_sched::Authority;
use syc_types::Millis;

const AUTHORITY_MS: u64 = 3_000;

fn node(number: u64) -> SmolStr {
    SmolStr::from(format!("n-{number}"))
}

/// Returns an authority with evidence from an append and from `others` followers, all dated `at`.
fn authority_with_followers(others: u64, at: Millis) -> Authority {
    let mut authority = Authority::new(AUTHORITY_MS);
    for number in 0..others {
        authority.note_follower(&node(number), at);
    }
    authority.note_append(at);
    authority
}

#[test]
fn lease_starts_at_its_decision_while_evidence_is_fresh() {
    let authority = authority_with_followers(0, Millis(10_000));
    let from = authority.lease_start(Millis(10_500), Millis(10_600));
    assert_eq!(from, Some(Millis(10_500)));
}

/// The order was delayed, or the scheduler was paused between the decision and sending it.
#[test]
fn delayed_lease_starts_at_its_decision() {
    let mut authority = authority_with_followers(0, Millis(10_000));
    authority.note_append(Millis(14_000));
    let from = authority.lease_start(Millis(10_500), Millis(14_500));
    assert_eq!(from, Some(Millis(10_500)));
}

#[test]
fn stale_evidence_grants_no_lease() {
    let authority = authority_with_followers(0, Millis(10_000));
    assert!(!authority.is_expired(Millis(12_999)));
    assert!(authority.is_expired(Millis(13_000)));
    let now = Millis(13_000);
    assert_eq!(authority.lease_start(now, now), None);
}

#[test]
fn missing_evidence_grants_no_lease_but_does_not_expire() {
    let authority = Authority::new(AUTHORITY_MS);
    assert_eq!(authority.lease_start(Millis(10), Millis(10)), None);
    assert!(!authority.is_expired(Millis(60_000)));
}

/// The store is unavailable to all nodes, and accepted jobs keep running.
#[test]
fn followers_are_evidence_while_the_store_is_unavailable() {
    let mut authority = authority_with_followers(4, Millis(10_000));
    for at_ms in (10_000..30_000).step_by(500) {
        for number in 0..2 {
            authority.note_follower(&node(number), Millis(at_ms));
        }
        let now = Millis(at_ms + 500);
        assert_eq!(authority.lease_start(now, now), Some(now));
    }
}

/// Nodes that are cut off from the store together cannot know of a successor.
#[test]
fn a_minority_of_followers_is_not_evidence() {
    let mut authority = authority_with_followers(4, Millis(10_000));
    for at_ms in (10_000..13_000).step_by(500) {
        authority.note_follower(&node(0), Millis(at_ms));
    }
    assert!(authority.is_expired(Millis(13_000)));
}

/// The report was in transit or buffered while this node was paused.
#[test]
fn follower_evidence_is_dated_by_the_acknowledged_answer() {
    let mut authority = authority_with_followers(1, Millis(10_000));
    let resumed_at = Millis(16_000);
    authority.note_follower(&node(0), Millis(10_200));
    assert_eq!(authority.lease_start(resumed_at, resumed_at), None);
}

#[test]
fn departed_followers_are_not_counted() {
    let mut authority = authority_with_followers(3, Millis(10_000));
    for at_ms in (10_000..=30_000).step_by(500) {
        authority.note_follower(&node(0), Millis(at_ms));
        authority.note_append(Millis(at_ms));
    }
    authority.note_follower(&node(0), Millis(33_000));
    let now = Millis(34_000);
    assert_eq!(authority.lease_start(now, now), Some(now));
}

/// Nodes that learn of successors from this scheduler alone would keep it in office beside its successor.
#[test]
fn nodes_that_rely_on_the_scheduler_are_no_evidence() {
    let mut authority = authority_with_followers(4, Millis(10_000));
    for number in 0..4 {
        authority.note_informed_follower(&node(number), Millis(12_000));
    }
    assert!(authority.is_expired(Millis(13_000)));
}

/// The others may follow a successor, or be unable to know of one.
#[test]
fn nodes_that_rely_on_the_scheduler_count_among_its_followers() {
    let mut authority = authority_with_followers(2, Millis(10_000));
    for number in 2..6 {
        authority.note_informed_follower(&node(number), Millis(10_000));
    }
    for number in 0..2 {
        authority.note_follower(&node(number), Millis(12_000));
    }
    assert!(authority.is_expired(Millis(13_000)));
    authority.note_follower(&node(2), Millis(12_000));
    assert!(!authority.is_expired(Millis(14_999)));
}
