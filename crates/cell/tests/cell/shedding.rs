//! The decision whether a submit is rejected because its job would end too late.

use std::collections::BTreeSet;

use syc_cell::shedding::Decision;
use syc_cell::shedding::MAX_VIEW_AGE_MS;
use syc_cell::shedding::Rejection;
use syc_cell::shedding::SLOW_APPEND_MS;
use syc_cell::shedding::ShedReason;
use syc_cell::shedding::ShedView;
use syc_cell::shedding::StoreTimes;
use syc_cell::shedding::decide;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::Schedule;
use syc_sched::ShedRow;
use syc_sched::StepSpec;
use syc_types::Millis;
use syc_wire::cell::ContactReply;
use syc_wire::cell::SHED_ROWS_LIMIT;
use test_case::test_case;

use crate::cluster::QUEUE;
use crate::cluster::job;
use crate::cluster::step;

/// When the view was computed.
const COMPUTED_AT: Millis = Millis(50_000);

/// Run time of the job. Its objective is 1,000 ms and twice this time.
const RUN_MS: u64 = 1_000;

/// Longest wait after which the job still ends within three objectives.
const USEFUL_WAIT_MS: u64 = 3 * (1_000 + 2 * RUN_MS) - RUN_MS;

const PROMPT: StoreTimes = StoreTimes {
    own_append_ms: Some(SLOW_APPEND_MS - 1),
    scheduler_append_ms: Some(SLOW_APPEND_MS - 1),
};

fn spec() -> JobSpec {
    JobSpec {
        workspace: Some("a".into()),
        ..job(7, vec![step(1, RUN_MS)])
    }
}

fn view(wait_ms: u64) -> ShedView {
    let row = ShedRow {
        workspace: "a".into(),
        queue: QUEUE.into(),
        wait_ms,
    };
    ShedView {
        computed_at: COMPUTED_AT,
        rows: vec![row],
    }
}

fn rejection(wait_ms: u64, spec: &JobSpec) -> Option<Rejection> {
    match decide(&view(wait_ms), PROMPT, spec, COMPUTED_AT) {
        Decision::Admit => None,
        Decision::Shed(rejection) => Some(rejection),
    }
}

/// Guards against rejecting jobs that would end in time, and against accepting those that would not.
#[test_case(0, None; "no wait")]
#[test_case(USEFUL_WAIT_MS, None; "at the limit")]
#[test_case(USEFUL_WAIT_MS + 1, Some(ShedReason::WaitAndRun); "beyond the limit")]
#[test_case(USEFUL_WAIT_MS + RUN_MS, Some(ShedReason::WaitAndRun); "wait of the limit")]
#[test_case(USEFUL_WAIT_MS + RUN_MS + 1, Some(ShedReason::Wait); "wait beyond the limit")]
#[test_case(u64::MAX, Some(ShedReason::Wait); "overflow")]
fn a_job_is_shed_only_if_it_would_end_after_three_objectives(
    wait_ms: u64,
    expected: Option<ShedReason>,
) {
    let shed = rejection(wait_ms, &spec());
    assert_eq!(shed.map(|shed| shed.reason), expected);
}

/// A node that is cut off from the scheduler must not act on what was true before.
#[test]
fn a_stale_view_sheds_nothing() {
    let view = view(60_000);
    let last = COMPUTED_AT.plus(MAX_VIEW_AGE_MS);
    let decision = decide(&view, PROMPT, &spec(), last);
    assert!(matches!(decision, Decision::Shed(_)), "{decision:?}");
    let decision = decide(&view, PROMPT, &spec(), last.plus(1));
    assert_eq!(decision, Decision::Admit);
}

/// A first attempt that a slow store has not answered yet would run after its retry was rejected.
#[test_case(Some(SLOW_APPEND_MS), Some(0); "slow here")]
#[test_case(Some(0), Some(SLOW_APPEND_MS); "slow at the scheduler")]
#[test_case(None, Some(0); "no answer here")]
#[test_case(Some(0), None; "no answer at the scheduler")]
fn a_slow_store_sheds_nothing(own_append_ms: Option<u64>, scheduler_append_ms: Option<u64>) {
    let store = StoreTimes {
        own_append_ms,
        scheduler_append_ms,
    };
    let decision = decide(&view(60_000), store, &spec(), COMPUTED_AT);
    assert_eq!(decision, Decision::Admit);
}

fn timed() -> JobSpec {
    let schedule = Schedule {
        occurrences: 1,
        ..Schedule::default()
    };
    JobSpec { schedule, ..spec() }
}

fn lasting() -> JobSpec {
    let lasting = StepSpec {
        long_running: true,
        ..step(1, RUN_MS)
    };
    JobSpec {
        steps: vec![lasting],
        ..spec()
    }
}

fn without_objective() -> JobSpec {
    let mut spec = spec();
    spec.policy.objective_ms = 0;
    spec.policy.stretch = 0.0;
    spec
}

fn of_other_queue() -> JobSpec {
    let mut spec = spec();
    spec.policy.queue = "other".into();
    spec
}

fn of_workspace(workspace: Option<&str>) -> JobSpec {
    JobSpec {
        workspace: workspace.map(Into::into),
        ..spec()
    }
}

/// Guards against rejecting jobs that the view does not apply to.
#[test_case(&of_workspace(None); "no workspace")]
#[test_case(&of_workspace(Some("b")); "workspace within its rate")]
#[test_case(&of_other_queue(); "queue without a wait")]
#[test_case(&timed(); "set time")]
#[test_case(&lasting(); "no end")]
#[test_case(&without_objective(); "no objective")]
fn other_jobs_are_admitted(spec: &JobSpec) {
    assert_eq!(rejection(60_000, spec), None);
}

fn retry_seconds(late_ms: u64) -> BTreeSet<u64> {
    let ids = 0..1_000;
    let retries = ids.map(|id| {
        let spec = JobSpec {
            id: JobId(id),
            ..spec()
        };
        let shed = rejection(USEFUL_WAIT_MS + late_ms, &spec).expect("a late job");
        assert_eq!(
            rejection(USEFUL_WAIT_MS + late_ms, &spec),
            Some(shed),
            "the same ID hears the same"
        );
        assert_eq!(shed.retry_after_ms % 1_000, 0, "whole seconds");
        shed.retry_after_ms / 1_000
    });
    retries.collect()
}

/// Callers that were rejected together must not return together.
#[test_case(1, 1, 2; "least")]
#[test_case(2_500, 3, 6; "growing")]
#[test_case(600_000, 5, 10; "most")]
fn retries_are_spread_over_twice_the_time_until_the_wait_can_be_short_enough(
    late_ms: u64,
    first_s: u64,
    last_s: u64,
) {
    let expected: BTreeSet<_> = (first_s..=last_s).collect();
    assert_eq!(retry_seconds(late_ms), expected);
}

/// Guards against a view that seems newer to a node than it is.
#[test]
fn a_view_survives_its_message_with_its_age() {
    let mut reply = ContactReply::default();
    view(9_000).write_to(&mut reply, COMPUTED_AT.plus(80));
    let sent_at = Millis(700);
    let received = ShedView::from_reply(&reply, sent_at);
    assert_eq!(received.rows, view(9_000).rows);
    assert_eq!(received.computed_at, Millis(620));
    reply.shed_rows_age_ms = u64::MAX;
    let old = ShedView::from_reply(&reply, sent_at);
    assert_eq!(old.computed_at, Millis(0));
}

/// The rows come from the network, and each submit looks through them.
#[test]
fn a_view_is_bounded_when_written_and_when_read() {
    let long = ShedView {
        rows: vec![view(1).rows.remove(0); SHED_ROWS_LIMIT + 1],
        ..view(1)
    };
    let mut reply = ContactReply::default();
    long.write_to(&mut reply, COMPUTED_AT);
    assert_eq!(reply.shed_rows.len(), SHED_ROWS_LIMIT);
    let row = reply.shed_rows[0].clone();
    reply.shed_rows.push(row);
    let received = ShedView::from_reply(&reply, COMPUTED_AT);
    assert_eq!(received.rows.len(), SHED_ROWS_LIMIT);
}
