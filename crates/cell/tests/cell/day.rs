//! The time of day that nodes agree on, in virtual time: a step of a few clocks, or one that does not last,
//! moves nothing.

use syc_cell::day::CellDay;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::TimeOfDay;
use test_case::test_case;

const SECOND_MS: u64 = 1_000;
const START_MS: u64 = 1_790_000_000_000;

/// Nodes, each with a clock that is off by so much; the first is the scheduler.
struct Nodes {
    at_ms: u64,
    shifts_ms: Vec<i64>,
    day: CellDay,
}

impl Nodes {
    fn new(count: usize) -> Self {
        Self {
            at_ms: 5_000,
            shifts_ms: vec![0; count],
            day: CellDay::default(),
        }
    }

    /// Time passes, and the scheduler hears everyone. Returns by how much the agreed time of day is off.
    fn pass(&mut self, time_ms: u64) -> i64 {
        let mut off_ms = 0;
        for _ in 0..time_ms / SECOND_MS {
            self.at_ms += SECOND_MS;
            off_ms = self.look();
        }
        off_ms
    }

    fn look(&mut self) -> i64 {
        let at = Millis(self.at_ms);
        let right = TimeOfDay(START_MS + self.at_ms);
        let shown = |shift_ms: i64| DayAnchor {
            at,
            day: TimeOfDay(right.0.saturating_add_signed(shift_ms)),
        };
        for (node, shift_ms) in self.shifts_ms.iter().enumerate().skip(1) {
            self.day
                .note(format!("node-{node}").into(), shown(*shift_ms));
        }
        let agreed = self.day.look(shown(self.shifts_ms[0])).day.day_at(at);
        let ahead = i64::try_from(agreed.ahead_of(right)).expect("no centuries");
        let behind = i64::try_from(right.ahead_of(agreed)).expect("no centuries");
        ahead - behind
    }
}

#[test_case(-2_000; "back by 2 s")]
#[test_case(2_000; "ahead by 2 s")]
#[test_case(-200_000; "back by 200 s")]
#[test_case(200_000; "ahead by 200 s")]
#[test_case(-86_400_000; "back by a day")]
#[test_case(86_400_000; "ahead by a day")]
fn a_step_of_a_third_of_the_nodes_moves_nothing(shift_ms: i64) {
    let mut nodes = Nodes::new(9);
    nodes.pass(10_000);
    nodes.shifts_ms[..3].fill(shift_ms);
    assert_eq!(nodes.pass(600_000), 0);
    nodes.shifts_ms.fill(0);
    assert_eq!(nodes.pass(600_000), 0);
}

#[test_case(-2_000; "back by 2 s")]
#[test_case(2_000; "ahead by 2 s")]
#[test_case(-86_400_000; "back by a day")]
#[test_case(86_400_000; "ahead by a day")]
fn a_step_of_all_nodes_counts_only_once_it_has_lasted(shift_ms: i64) {
    let mut nodes = Nodes::new(3);
    nodes.pass(10_000);
    nodes.shifts_ms.fill(shift_ms);
    assert_eq!(nodes.pass(20_000), 0, "it may be taken back");
    nodes.shifts_ms.fill(0);
    assert_eq!(nodes.pass(20_000), 0);
    nodes.shifts_ms.fill(shift_ms);
    assert_eq!(nodes.pass(20_000), 0, "the first one does not count for it");
    assert_eq!(nodes.pass(20_000), shift_ms, "the clocks were set");
}

#[test]
fn clocks_that_run_at_other_speeds_are_followed() {
    let mut nodes = Nodes::new(3);
    for _ in 0..1_000 {
        for shift_ms in &mut nodes.shifts_ms {
            *shift_ms += 2;
        }
        nodes.pass(SECOND_MS);
    }
    assert_eq!(nodes.look(), 2_000);
}

#[test]
fn a_successor_goes_on_from_what_it_was_told() {
    let mut first = Nodes::new(3);
    first.pass(10_000);
    let at = Millis(first.at_ms);
    let agreed = first.day.look(DayAnchor {
        at,
        day: TimeOfDay(START_MS + first.at_ms),
    });
    assert_eq!(agreed.clocks, 3);
    let mut second = Nodes {
        at_ms: first.at_ms,
        shifts_ms: vec![86_400_000],
        day: CellDay::after(Some(agreed)),
    };
    assert_eq!(second.pass(SECOND_MS), 0, "its own clock alone");
    second.shifts_ms = vec![86_400_000, 0, 0];
    assert_eq!(second.pass(600_000), 0, "with the others'");
}

#[test]
fn of_two_clocks_the_earlier_counts() {
    let mut nodes = Nodes::new(2);
    nodes.shifts_ms = vec![86_400_000, 0];
    assert_eq!(nodes.pass(10_000), 0);
}
