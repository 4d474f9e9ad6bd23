//! Tests which schedulers a succession notice ends, and for how long it is repeated.

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_sched::PendingNotice;
use syc_sched::SuccessionNotice;
use syc_sched::Tenure;
use syc_types::Millis;
use test_case::test_case;

const PREDECESSOR: Tenure = Tenure {
    incarnation: 71,
    token: 5,
};
const SUCCESSOR: Tenure = Tenure {
    incarnation: 82,
    token: 9,
};
const OTHER_INCARNATION: u64 = 93;
const INTERVAL_MS: u64 = 150;

fn notice() -> SuccessionNotice {
    SuccessionNotice::to_predecessor(PREDECESSOR, SUCCESSOR, OTHER_INCARNATION).expect("a notice")
}

#[test]
fn notice_ends_the_predecessor() {
    assert!(notice().ends(PREDECESSOR));
}

/// A node that was elected again, or that now has the predecessor's address, keeps the role.
#[test_case(Tenure { token: 9, ..PREDECESSOR }; "same token")]
#[test_case(Tenure { token: 12, ..PREDECESSOR }; "elected again")]
#[test_case(SUCCESSOR; "successor itself")]
#[test_case(Tenure { incarnation: OTHER_INCARNATION, token: 2 }; "process of another cell")]
fn notice_ends_no_other_scheduler(receiver: Tenure) {
    assert!(!notice().ends(receiver));
}

#[test]
fn no_notice_is_sent_for_an_older_claim_or_to_the_own_process() {
    let older = SuccessionNotice::to_predecessor(SUCCESSOR, PREDECESSOR, OTHER_INCARNATION);
    assert_eq!(older, None);
    let own = PREDECESSOR.incarnation;
    let to_self = SuccessionNotice::to_predecessor(PREDECESSOR, SUCCESSOR, own);
    assert_eq!(to_self, None);
}

/// A predecessor of an earlier version answers the notice and keeps the role.
#[test]
fn reply_with_the_old_token_confirms_nothing() {
    let pending = pending_notice(0);
    assert!(!pending.is_confirmed_by(PREDECESSOR.token));
    assert!(pending.is_confirmed_by(0));
    assert!(pending.is_confirmed_by(SUCCESSOR.token));
}

const STARTED_AT: Millis = Millis(1_000);
/// Nodes of a large cell.
const NODES: u64 = 48;
/// A predecessor whose evidence is not refreshed stops within this time, and its successor waits that much longer.
const AUTHORITY_MS: u64 = 3_000;
const LIMIT_MS: u64 = 60_000;
/// Longest time that a call to a node takes, with its connection attempt.
const CALL_MS: u64 = 500;

/// Creates the notice of one of the nodes of a cell. Incarnations are random, so they differ in many bits.
fn pending_notice(node: u64) -> PendingNotice {
    let incarnation = SmallRng::seed_from_u64(node).random_range(1..=u64::from(u32::MAX));
    PendingNotice::new(PREDECESSOR, STARTED_AT, INTERVAL_MS, incarnation)
}

/// Returns the times, since its start, at which a node sends a notice that is never confirmed.
fn sending_times_ms(node: u64) -> Vec<u64> {
    let mut pending = pending_notice(node);
    let mut times_ms = vec![0];
    let mut now_ms = 0;
    while let Some(delay_ms) = pending.repeat_after_ms(STARTED_AT.plus(now_ms)) {
        now_ms += delay_ms;
        times_ms.push(now_ms);
    }
    times_ms
}

/// Returns the intervals between the notices of a node, and the time at which each began.
fn intervals_ms(node: u64) -> Vec<(u64, u64)> {
    let times_ms = sending_times_ms(node);
    let pairs = times_ms.windows(2);
    pairs.map(|pair| (pair[0], pair[1] - pair[0])).collect()
}

/// The predecessor's evidence would otherwise last for as long as its followers can read nothing.
#[test]
fn notice_is_repeated_often_while_the_takeover_waits() {
    for node in 0..NODES {
        for (began_ms, interval_ms) in intervals_ms(node) {
            let is_frequent = began_ms < AUTHORITY_MS;
            assert_eq!(is_frequent, interval_ms <= INTERVAL_MS, "at {began_ms} ms");
        }
    }
}

/// A predecessor that was cut off from all nodes would renew leases for longer than its successor waits.
#[test]
fn predecessor_that_becomes_reachable_is_told_within_its_authority() {
    for node in 0..NODES {
        for (began_ms, interval_ms) in intervals_ms(node) {
            let told_after_ms = interval_ms + CALL_MS;
            assert!(
                told_after_ms <= AUTHORITY_MS,
                "{told_after_ms} ms at {began_ms} ms"
            );
        }
    }
}

#[test]
fn notice_is_repeated_until_the_limit() {
    for node in 0..NODES {
        let last_ms = *sending_times_ms(node).last().expect("a notice");
        assert!(
            (LIMIT_MS..LIMIT_MS + AUTHORITY_MS).contains(&last_ms),
            "{last_ms} ms"
        );
    }
    let at_limit = pending_notice(0).repeat_after_ms(STARTED_AT.plus(LIMIT_MS));
    assert_eq!(at_limit, None);
}

/// Each node kept trying to connect to a predecessor that had ended, once a second.
#[test]
fn interval_between_notices_grows() {
    for node in 0..NODES {
        let intervals_ms = intervals_ms(node);
        let rare = intervals_ms
            .split_at(intervals_ms.partition_point(|(began_ms, _)| *began_ms < AUTHORITY_MS))
            .1;
        let (early, late) = rare.split_at(rare.len() / 2);
        assert!(early[0].1 <= 1_000, "the first is {} ms", early[0].1);
        assert!(
            late.iter().all(|(_, interval_ms)| *interval_ms > 1_000),
            "{late:?}"
        );
    }
}

/// The nodes read of the successor at the same time and repeated their notices in step.
#[test]
fn nodes_of_a_cell_do_not_repeat_their_notices_in_step() {
    let times_ms: Vec<_> = (0..NODES).map(sending_times_ms).collect();
    let repeats = times_ms.iter().map(Vec::len).min().expect("nodes");
    for repeat in 1..repeats {
        let distinct: BTreeSet<_> = times_ms.iter().map(|times_ms| times_ms[repeat]).collect();
        assert!(
            distinct.len() > times_ms.len() / 2,
            "repeat {repeat}: {distinct:?}"
        );
    }
}
