//! Schedulers that no longer hear most of their workers.

use syc_sched::Reach;
use syc_sched::WorkerCounts;
use syc_sched::WorkerIsolation;
use syc_types::Millis;
use test_case::test_case;

const SLACK_MS: u64 = 400;

/// Length of the step in which the rule is applied.
const TICK_MS: u64 = 100;

fn counts(answering: usize, silent: usize) -> WorkerCounts {
    WorkerCounts { answering, silent }
}

/// Applies the rule until `until_ms`, with more than half of the workers silent from the start, and returns the times of the
/// comparisons.
fn comparisons(isolation: &mut WorkerIsolation, counts: WorkerCounts, until_ms: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for now in (0..until_ms).step_by(usize::try_from(TICK_MS).expect("a short tick")) {
        if isolation.is_comparison_due(counts, || SLACK_MS, Millis(now)) {
            times.push(now);
        }
    }
    times
}

/// Guards against handing over the role because of lost workers, which no other node reaches either, and against keeping
/// it while this node is the one that is cut off.
#[test_case(counts(22, 26), 0, 8, false; "most workers lost")]
#[test_case(counts(0, 48), 0, 8, false; "all workers lost")]
#[test_case(counts(0, 48), 8, 8, true; "cut off from all workers")]
#[test_case(counts(20, 28), 8, 8, true; "cut off from most workers")]
#[test_case(counts(20, 28), 3, 8, false; "the others reach fewer")]
#[test_case(counts(5, 43), 1, 8, true; "most workers lost and cut off from others")]
#[test_case(counts(0, 48), 0, 0, false; "no other node replies")]
#[test_case(counts(0, 1), 1, 1, true; "cut off from the only worker")]
fn the_role_is_handed_over_only_to_a_node_that_reaches_more_workers(
    counts: WorkerCounts,
    reached: usize,
    asked: usize,
    hands_over: bool,
) {
    let reach = Reach { asked, reached };
    assert_eq!(reach.exceeds(counts), hands_over);
}

/// Guards against asking other nodes without end about workers that stay silent for good.
#[test]
fn comparisons_become_rarer_while_nothing_changes() {
    let mut isolation = WorkerIsolation::new(Millis(0));
    let times = comparisons(&mut isolation, counts(22, 26), 20_000);
    assert_eq!(times, [2_000, 3_000, 5_000, 9_000, 13_000, 17_000]);
}

/// Guards against a scheduler that stays cut off for long, because it had found before that other workers were lost.
#[test]
fn losing_further_workers_leads_to_a_comparison_at_once() {
    let mut isolation = WorkerIsolation::new(Millis(0));
    comparisons(&mut isolation, counts(22, 26), 20_000);
    let later = Millis(20_000);
    assert!(!isolation.is_comparison_due(counts(22, 26), || SLACK_MS, later));
    assert!(isolation.is_comparison_due(counts(10, 38), || SLACK_MS, later));
}

/// Guards against a scheduler that stays cut off for long, because the other nodes were too busy to reply.
#[test]
fn a_comparison_without_a_reply_is_repeated_soon() {
    let mut isolation = WorkerIsolation::new(Millis(0));
    comparisons(&mut isolation, counts(0, 48), 13_100);
    isolation.note_unanswered(Millis(13_100));
    assert!(!isolation.is_comparison_due(counts(0, 48), || SLACK_MS, Millis(14_000)));
    assert!(isolation.is_comparison_due(counts(0, 48), || SLACK_MS, Millis(14_100)));
}

/// Guards against comparisons while workers are only slow: they are given longer to answer.
#[test]
fn workers_that_are_given_longer_are_compared_later() {
    let mut isolation = WorkerIsolation::new(Millis(0));
    assert!(!isolation.is_comparison_due(counts(0, 4), || 3_000, Millis(4_400)));
    assert!(isolation.is_comparison_due(counts(0, 4), || 3_000, Millis(4_600)));
}

/// Guards against a silence that is counted from before the workers last answered.
#[test]
fn workers_that_answer_begin_the_wait_anew() {
    let mut isolation = WorkerIsolation::new(Millis(0));
    assert!(!isolation.is_comparison_due(counts(0, 4), || SLACK_MS, Millis(1_800)));
    assert!(!isolation.is_comparison_due(counts(2, 2), || SLACK_MS, Millis(1_900)));
    assert!(!isolation.is_comparison_due(counts(0, 4), || SLACK_MS, Millis(3_700)));
    assert!(isolation.is_comparison_due(counts(0, 4), || SLACK_MS, Millis(3_900)));
}

/// Guards against following a node that did not reply, or that reaches a smaller share.
#[test]
fn the_node_that_reaches_the_largest_share_is_the_best() {
    let none = Reach::default();
    let half = Reach {
        asked: 8,
        reached: 4,
    };
    let most = Reach {
        asked: 3,
        reached: 2,
    };
    assert!(half.is_better_than(none));
    assert!(!none.is_better_than(half));
    assert!(most.is_better_than(half));
    assert!(!half.is_better_than(most));
}
