//! Tests which reports about an elected scheduler a node accepts.

use syc_sched::ElectionReport;
use syc_sched::KnownScheduler;
use syc_sched::ReportOrigin;
use syc_sched::Tenure;
use test_case::test_case;

const FIRST: Tenure = Tenure {
    incarnation: 71,
    token: 5,
};
const SECOND: Tenure = Tenure {
    incarnation: 82,
    token: 9,
};
const THIRD: Tenure = Tenure {
    incarnation: 93,
    token: 12,
};
const FOLLOWER_INCARNATION: u64 = 104;
const OTHER_CELL_INCARNATION: u64 = 115;

/// Node that follows a scheduler.
fn follower_of(followed: Tenure) -> KnownScheduler {
    KnownScheduler {
        own_incarnation: FOLLOWER_INCARNATION,
        followed: Some(followed),
    }
}

/// Node that was the scheduler last.
fn former(tenure: Tenure) -> KnownScheduler {
    KnownScheduler {
        own_incarnation: tenure.incarnation,
        followed: Some(tenure),
    }
}

fn notice(addressee_incarnation: u64, elected: Tenure) -> ElectionReport {
    let origin = ReportOrigin::Notice {
        addressee_incarnation,
    };
    ElectionReport { origin, elected }
}

fn reply(sender_incarnation: u64, elected: Tenure) -> ElectionReport {
    let origin = ReportOrigin::Reply { sender_incarnation };
    ElectionReport { origin, elected }
}

/// Passes reports to a node in this order and returns the scheduler that it follows in the end.
fn replay(mut node: KnownScheduler, reports: &[ElectionReport]) -> Option<Tenure> {
    for report in reports {
        if node.accepts(*report) {
            node.followed = Some(report.elected);
        }
    }
    node.followed
}

/// A refused node followed the replaced scheduler until it could read the store again.
#[test]
fn refused_node_follows_each_scheduler_that_the_one_before_names() {
    let reports = [
        reply(FIRST.incarnation, SECOND),
        reply(SECOND.incarnation, THIRD),
    ];
    assert_eq!(replay(follower_of(FIRST), &reports), Some(THIRD));
}

/// Another process is no condition: the same one may have been elected again.
#[test]
fn refused_node_follows_a_scheduler_that_was_elected_again() {
    let again = Tenure { token: 12, ..FIRST };
    let reports = [reply(FIRST.incarnation, again)];
    assert_eq!(replay(follower_of(FIRST), &reports), Some(again));
}

/// The replaced scheduler itself passes on only what it has been told.
#[test]
fn replaced_scheduler_follows_the_one_that_a_notice_names() {
    let reports = [notice(FIRST.incarnation, SECOND)];
    assert_eq!(replay(former(FIRST), &reports), Some(SECOND));
}

/// Replies and notices can arrive late and in any order.
#[test]
fn late_reports_of_older_schedulers_change_nothing() {
    let node = former(FIRST);
    let reports = [
        notice(FIRST.incarnation, THIRD),
        notice(FIRST.incarnation, SECOND),
        reply(FIRST.incarnation, SECOND),
        reply(THIRD.incarnation, SECOND),
    ];
    assert_eq!(replay(node, &reports), Some(THIRD));
}

/// Another cell's tokens may be greater. Earlier versions tell no incarnation.
#[test_case(reply(OTHER_CELL_INCARNATION, SECOND); "reply of another cell")]
#[test_case(reply(0, SECOND); "reply of an earlier version")]
#[test_case(notice(OTHER_CELL_INCARNATION, SECOND); "notice for another process")]
#[test_case(notice(0, SECOND); "contact that is no notice")]
#[test_case(reply(FIRST.incarnation, Tenure { incarnation: 0, ..SECOND }); "scheduler without an incarnation")]
#[test_case(reply(FIRST.incarnation, Tenure { token: FIRST.token, ..SECOND }); "same token")]
#[test_case(reply(FIRST.incarnation, Tenure { token: 4, ..SECOND }); "lower token")]
fn report_that_cannot_be_trusted_changes_nothing(report: ElectionReport) {
    assert_eq!(replay(follower_of(FIRST), &[report]), Some(FIRST));
}

/// Orders without the claim in the store would be sent by two schedulers.
#[test]
fn node_does_not_become_the_scheduler_by_a_report() {
    let own = Tenure {
        incarnation: FOLLOWER_INCARNATION,
        token: 20,
    };
    let reports = [
        reply(FIRST.incarnation, own),
        notice(FOLLOWER_INCARNATION, own),
    ];
    assert_eq!(replay(follower_of(FIRST), &reports), Some(FIRST));
}
