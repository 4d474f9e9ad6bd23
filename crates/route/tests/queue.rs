//! The queue against a naive one, and its promises one by one.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use syc_route::Arrival;
use syc_route::Queue;
use syc_route::QueueKey;
use syc_route::QueueOptions;
use syc_route::ShedReason;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::Millis;
use syc_types::TeamId;

const OPTIONS: QueueOptions = QueueOptions {
    requests: 8,
    caller_requests: 4,
    team_requests: 6,
    normal_delay_ms: 20,
    patient_delay_ms: 200,
    retry_ms: (10, 500),
};

/// A list that is searched from end to end.
#[derive(Default)]
struct Naive {
    waiting: Vec<(u64, Arrival<u32>)>,
    interval_ms: f64,
    last: Option<u64>,
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
#[expect(clippy::cast_possible_truncation, reason = "small numbers")]
#[expect(clippy::cast_sign_loss, reason = "small numbers")]
impl Naive {
    fn rank(arrival: &Arrival<u32>) -> u64 {
        let delay_ms = match arrival.class {
            Class::Urgent => 0,
            Class::Normal => OPTIONS.normal_delay_ms,
            Class::Patient => OPTIONS.patient_delay_ms,
        };
        let left_ms = arrival.start_by.0.saturating_sub(arrival.arrived.0);
        arrival.arrived.0 + delay_ms.min(left_ms / 2)
    }

    fn late(&self, position: usize, arrival: &Arrival<u32>, now: u64) -> bool {
        let stalled = self.last.map_or(0, |last| now - last) as f64;
        let wait = position as f64 * self.interval_ms.max(stalled) + stalled;
        now + wait as u64 > arrival.start_by.0
    }

    fn push(&mut self, arrival: Arrival<u32>, now: u64) -> Result<Option<u32>, ShedReason> {
        let of_caller = |(_, other): &&(u64, Arrival<u32>)| other.caller == arrival.caller;
        let of_team = |(_, other): &&(u64, Arrival<u32>)| other.team == arrival.team;
        if self.waiting.iter().filter(of_caller).count() >= OPTIONS.caller_requests {
            return Err(ShedReason::CallerLimit);
        }
        if self.waiting.iter().filter(of_team).count() >= OPTIONS.team_requests {
            return Err(ShedReason::TeamLimit);
        }
        let rank = Self::rank(&arrival);
        let ahead = self.waiting.iter().filter(|(other, _)| *other <= rank);
        let ahead = ahead.count();
        if self.late(ahead, &arrival, now) {
            return Err(ShedReason::TooLate);
        }
        let mut evicted = None;
        if self.waiting.len() == OPTIONS.requests {
            if ahead == OPTIONS.requests {
                return Err(ShedReason::QueueFull);
            }
            evicted = self.waiting.pop().map(|(_, last)| last.item);
        }
        self.waiting.insert(ahead, (rank, arrival));
        self.last = self.last.or(Some(now));
        Ok(evicted)
    }

    fn pop(&mut self, now: u64) -> Option<u32> {
        if self.waiting.is_empty() {
            return None;
        }
        let (_, first) = self.waiting.remove(0);
        let last = self.last.expect("somebody waited");
        self.interval_ms += ((now - last) as f64 - self.interval_ms) * 0.1;
        self.last = (!self.waiting.is_empty()).then_some(now);
        Some(first.item)
    }

    fn review(&mut self, now: u64) -> Vec<u32> {
        let mut kept = Vec::new();
        let mut shed = Vec::new();
        for (rank, arrival) in std::mem::take(&mut self.waiting) {
            if self.late(kept.len(), &arrival, now) {
                shed.push(arrival.item);
            } else {
                kept.push((rank, arrival));
            }
        }
        self.waiting = kept;
        self.note_idle();
        shed
    }

    fn remove(&mut self, item: u32) -> Option<u32> {
        let place = self.waiting.iter().position(|(_, one)| one.item == item)?;
        self.waiting.remove(place);
        self.note_idle();
        Some(item)
    }

    fn note_idle(&mut self) {
        if self.waiting.is_empty() {
            self.last = None;
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push(Class, u8, u8, u64),
    Pop,
    Review,
    Remove(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let class = prop_oneof![
        Just(Class::Urgent),
        Just(Class::Normal),
        Just(Class::Patient)
    ];
    let push = (class, 0..4_u8, 0..3_u8, 0..1_000_u64);
    let step = prop_oneof![
        6 => push.prop_map(|(class, caller, team, left)| Step::Push(class, caller, team, left)),
        3 => Just(Step::Pop),
        1 => Just(Step::Review),
        1 => (0..40_usize).prop_map(Step::Remove),
        4 => (0..60_u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..200)
}

fn arrival(class: Class, caller: u8, team: u8, now: u64, left: u64, item: u32) -> Arrival<u32> {
    Arrival {
        class,
        caller: CallerId::new(format!("caller-{caller}")),
        team: TeamId::new(format!("team-{team}")),
        arrived: Millis(now),
        start_by: Millis(now + left),
        item,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn it_does_as_a_naive_list(steps in steps()) {
        let mut queue = Queue::new(OPTIONS);
        let mut naive = Naive::default();
        let mut keys = Vec::<(QueueKey, u32)>::new();
        let mut now = 0;
        for (item, step) in (0_u32..).zip(steps) {
            match step {
                Step::Push(class, caller, team, left) => {
                    let arrival = arrival(class, caller, team, now, left, item);
                    let expected = naive.push(arrival.clone(), now);
                    let pushed = queue.push(arrival, Millis(now));
                    match pushed {
                        Ok((key, evicted)) => {
                            keys.push((key, item));
                            prop_assert_eq!(Ok(evicted.map(|shed| shed.item)), expected);
                        }
                        Err(shed) => prop_assert_eq!(Err(shed.reason), expected),
                    }
                }
                Step::Pop => {
                    let popped = queue.pop(Millis(now)).map(|arrival| arrival.item);
                    prop_assert_eq!(popped, naive.pop(now));
                }
                Step::Review => {
                    let shed = queue.review(Millis(now));
                    let shed = shed.into_iter().map(|shed| shed.item).collect::<Vec<_>>();
                    prop_assert_eq!(shed, naive.review(now));
                }
                Step::Remove(index) => {
                    let Some(&(key, item)) = keys.get(index) else { continue };
                    prop_assert_eq!(queue.remove(key), naive.remove(item));
                }
                Step::Pass(passed) => now += passed,
            }
            prop_assert_eq!(queue.len(), naive.waiting.len());
            prop_assert!(queue.len() <= OPTIONS.requests);
        }
    }
}

#[test]
fn a_patient_request_is_served_though_urgent_ones_keep_coming() {
    let mut queue = Queue::new(OPTIONS);
    let patient = arrival(Class::Patient, 0, 0, 0, 60_000, 0);
    queue.push(patient, Millis(0)).expect("patient");
    for now in 1..1_000 {
        let urgent = arrival(Class::Urgent, 1, 1, now, 60_000, 1);
        queue.push(urgent, Millis(now)).expect("urgent");
        if queue.pop(Millis(now)).expect("next").item == 0 {
            assert_eq!(now, OPTIONS.patient_delay_ms);
            return;
        }
    }
    panic!("the patient request starves");
}

#[test]
fn a_stalled_queue_gives_up_well_before_the_deadlines() {
    let mut queue = Queue::new(OPTIONS);
    for item in 0..4 {
        let waiting = arrival(Class::Normal, 0, 0, 0, 1_000, item);
        queue.push(waiting, Millis(0)).expect("waits");
    }
    assert!(queue.review(Millis(100)).is_empty());
    assert_eq!(queue.review(Millis(300)).len(), 2);
    assert_eq!(queue.review(Millis(501)).len(), 2);
}

#[test]
fn a_refusal_names_a_time_and_spreads_it() {
    let mut queue = Queue::new(OPTIONS);
    let mut times = std::collections::HashSet::new();
    for item in 0..20 {
        let pushed = queue.push(arrival(Class::Normal, 0, 0, 0, 1_000, item), Millis(0));
        if let Err(shed) = pushed {
            assert!(shed.retry_after_ms >= OPTIONS.retry_ms.0);
            assert!(shed.retry_after_ms <= 2 * OPTIONS.retry_ms.1);
            times.insert(shed.retry_after_ms);
        }
    }
    assert!(times.len() > 3);
}
