//! Tests the agreed wall-clock time in virtual time. A step of a minority of clocks, or one that does not last, must be
//! ignored.

use syc_cell::clock_agreement::ClockAgreement;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::TimeOfDay;
use test_case::test_case;

const SECOND_MS: u64 = 1_000;
const START_MS: u64 = 1_790_000_000_000;

/// Simulated nodes with clock offsets. The first node is the scheduler.
struct Nodes {
    at_ms: u64,
    offsets_ms: Vec<i64>,
    day: ClockAgreement,
}

impl Nodes {
    fn new(count: usize) -> Self {
        Self {
            at_ms: 5_000,
            offsets_ms: vec![0; count],
            day: ClockAgreement::default(),
        }
    }

    /// Advances the time while all nodes report their clocks. Returns the error of the agreed time.
    fn advance(&mut self, time_ms: u64) -> i64 {
        let mut error_ms = 0;
        for _ in 0..time_ms / SECOND_MS {
            self.at_ms += SECOND_MS;
            error_ms = self.update();
        }
        error_ms
    }

    fn update(&mut self) -> i64 {
        let at = Millis(self.at_ms);
        let right = TimeOfDay(START_MS + self.at_ms);
        let shown = |offset_ms: i64| DayAnchor {
            at,
            day: TimeOfDay(right.0.saturating_add_signed(offset_ms)),
        };
        for (node, offset_ms) in self.offsets_ms.iter().enumerate().skip(1) {
            self.day
                .report(format!("node-{node}").into(), shown(*offset_ms));
        }
        let agreed = self.day.update(shown(self.offsets_ms[0])).anchor.day_at(at);
        let ahead = i64::try_from(agreed.ahead_of(right)).expect("the difference fits");
        let behind = i64::try_from(right.ahead_of(agreed)).expect("the difference fits");
        ahead - behind
    }
}

#[test_case(-2_000; "back by 2 s")]
#[test_case(2_000; "ahead by 2 s")]
#[test_case(-200_000; "back by 200 s")]
#[test_case(200_000; "ahead by 200 s")]
#[test_case(-86_400_000; "back by a day")]
#[test_case(86_400_000; "ahead by a day")]
fn a_step_of_a_third_of_the_clocks_is_ignored(offset_ms: i64) {
    let mut nodes = Nodes::new(9);
    nodes.advance(10_000);
    nodes.offsets_ms[..3].fill(offset_ms);
    assert_eq!(nodes.advance(600_000), 0);
    nodes.offsets_ms.fill(0);
    assert_eq!(nodes.advance(600_000), 0);
}

#[test_case(-2_000; "back by 2 s")]
#[test_case(2_000; "ahead by 2 s")]
#[test_case(-86_400_000; "back by a day")]
#[test_case(86_400_000; "ahead by a day")]
fn a_step_of_all_clocks_is_followed_only_once_it_has_lasted(offset_ms: i64) {
    let mut nodes = Nodes::new(3);
    nodes.advance(10_000);
    nodes.offsets_ms.fill(offset_ms);
    assert_eq!(
        nodes.advance(20_000),
        0,
        "the step has not lasted long enough"
    );
    nodes.offsets_ms.fill(0);
    assert_eq!(nodes.advance(20_000), 0);
    nodes.offsets_ms.fill(offset_ms);
    assert_eq!(
        nodes.advance(20_000),
        0,
        "the earlier step does not count towards this one"
    );
    assert_eq!(
        nodes.advance(20_000),
        offset_ms,
        "the step has lasted long enough"
    );
}

#[test]
fn clock_drift_is_followed() {
    let mut nodes = Nodes::new(3);
    for _ in 0..1_000 {
        for offset_ms in &mut nodes.offsets_ms {
            *offset_ms += 2;
        }
        nodes.advance(SECOND_MS);
    }
    assert_eq!(nodes.update(), 2_000);
}

#[test]
fn a_successor_resumes_from_the_reported_time() {
    let mut first = Nodes::new(3);
    first.advance(10_000);
    let at = Millis(first.at_ms);
    let agreed = first.day.update(DayAnchor {
        at,
        day: TimeOfDay(START_MS + first.at_ms),
    });
    assert_eq!(agreed.clocks, 3);
    let mut second = Nodes {
        at_ms: first.at_ms,
        offsets_ms: vec![86_400_000],
        day: ClockAgreement::resume(Some(agreed)),
    };
    assert_eq!(second.advance(SECOND_MS), 0, "only its own clock reports");
    second.offsets_ms = vec![86_400_000, 0, 0];
    assert_eq!(second.advance(600_000), 0, "all clocks report");
}

#[test]
fn the_earlier_of_two_clocks_is_used() {
    let mut nodes = Nodes::new(2);
    nodes.offsets_ms = vec![86_400_000, 0];
    assert_eq!(nodes.advance(10_000), 0);
}
