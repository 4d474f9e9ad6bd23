//! How long a job that has ended is kept, in virtual time: long enough whatever clocks show, and not for ever.
//!
//! What had ended four seconds before was forgotten, and removed from the store, because the clock of the node
//! that wrote its end was 200 s behind that of its successor. An age was the difference of two clocks of the day.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_sched::Action;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Schedule;
use syc_sched::Scheduler;
use syc_types::Millis;
use syc_types::TimeOfDay;
use test_case::test_case;

use crate::driver::job;
use crate::driver::policy;
use crate::driver::step;

const STEPS_MS: [i64; 7] = [0, -2_000, 2_000, -200_000, 200_000, -86_400_000, 86_400_000];

const MINUTE_MS: u64 = 60_000;

/// Where the steady clock of a process may stand when it begins: no two are alike.
const ORIGINS_MS: [u64; 3] = [1_000, 7_000_000_000, 50_000];

/// The store, and the scheduler of the moment.
struct World {
    /// True time.
    at_ms: u64,
    scheduler: Scheduler,
    /// What the scheduler's steady clock shows beyond the true time, and by how much its time of day is off.
    origin_ms: u64,
    shift_ms: i64,
    tenures: usize,
    kept: BTreeMap<JobId, JobProgress>,
    /// When each end was first shown, in true time.
    shown_at_ms: BTreeMap<JobId, u64>,
    next_job: u64,
}

impl World {
    fn new() -> Self {
        Self {
            at_ms: 0,
            scheduler: Scheduler::new(Options::default()),
            origin_ms: ORIGINS_MS[0],
            shift_ms: 0,
            tenures: 0,
            kept: BTreeMap::new(),
            shown_at_ms: BTreeMap::new(),
            next_job: 1,
        }
    }

    fn now(&self) -> Millis {
        Millis(self.at_ms + self.origin_ms)
    }

    fn day(&self) -> TimeOfDay {
        TimeOfDay((1_790_000_000_000 + self.at_ms).saturating_add_signed(self.shift_ms))
    }

    /// Another scheduler reads what the store has.
    fn take_over(&mut self, shift_ms: i64) {
        self.tenures += 1;
        self.shift_ms = shift_ms;
        self.origin_ms = ORIGINS_MS[self.tenures % ORIGINS_MS.len()];
        self.scheduler = Scheduler::new(Options::default());
        let ended = self.kept.iter().map(|(id, progress)| EndedJob {
            id: *id,
            state: progress.state,
            ended_at: progress.ended_at_cell_ms,
        });
        let ended: Vec<_> = ended.collect();
        self.scheduler.restore_ended(&ended, self.now());
        for ended in ended {
            self.shown_at_ms.entry(ended.id).or_insert(self.at_ms);
        }
        self.scheduler.begin_recovery(self.now());
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        for action in self.scheduler.handle(event, now) {
            let Action::Forget(id) = action else {
                continue;
            };
            let kept_ms = self.at_ms - self.shown_at_ms[&id];
            let status_ms = Options::default().ended_job_retention_ms;
            assert!(kept_ms >= status_ms, "{id} was kept for {kept_ms} ms");
            self.kept.remove(&id);
        }
    }

    /// A job comes and ends. Returns the change that the store is to take.
    fn end_job(&mut self) -> (JobId, u64, JobProgress) {
        let id = self.next_job;
        self.next_job += 1;
        let spec = Box::new(job(id, policy(0), vec![step(1, 1)], Schedule::default()));
        self.apply(Event::JobStored { spec, age_ms: 0 });
        self.apply(Event::JobCancelled(JobId(id)));
        let (now, day) = (self.now(), self.day());
        let mut records = self.scheduler.take_records(10, now, day);
        assert_eq!(records.len(), 1);
        records.remove(0)
    }

    /// The store takes it, and the scheduler hears so and shows it.
    fn record(&mut self, (id, change, progress): (JobId, u64, JobProgress)) {
        self.kept.insert(id, progress);
        let jobs = vec![(id, change)];
        self.apply(Event::Recorded { jobs });
        self.shown_at_ms.insert(id, self.at_ms);
    }

    fn pass(&mut self, time_ms: u64) {
        self.at_ms += time_ms;
        self.apply(Event::Ticked);
    }

    fn knows(&self, id: JobId) -> bool {
        self.scheduler.state_of(id) == Some(JobState::Cancelled)
    }
}

/// The clock is off on the scheduler that writes the end, on its successor, or on both; and it is set in between.
#[test]
fn a_step_of_any_size_on_any_scheduler_forgets_nothing_early() {
    let status_ms = Options::default().ended_job_retention_ms;
    for first in STEPS_MS {
        for second in STEPS_MS {
            for third in STEPS_MS {
                let mut world = World::new();
                world.take_over(first);
                let end = world.end_job();
                let id = end.0;
                world.shift_ms = second;
                world.record(end);
                world.pass(2_000);
                assert!(world.knows(id));
                world.take_over(second);
                world.pass(100);
                world.shift_ms = third;
                world.pass(status_ms / 2);
                assert!(world.knows(id), "{first}, {second}, {third}");
                world.take_over(third);
                world.pass(status_ms - status_ms / 2 - 2_000 - 200);
                assert!(world.knows(id), "{first}, {second}, {third}");
                assert!(world.kept.contains_key(&id));
                world.pass(status_ms);
                assert!(!world.knows(id), "it is forgotten in the end");
                assert!(world.kept.is_empty());
            }
        }
    }
}

/// The store took an end late, or the answer was lost and a successor is the first to show it.
#[test_case(true; "the scheduler hears of it")]
#[test_case(false; "a successor finds it")]
fn what_was_written_late_is_kept_from_when_it_was_shown(heard: bool) {
    let status_ms = Options::default().ended_job_retention_ms;
    let mut world = World::new();
    world.take_over(0);
    let end = world.end_job();
    let id = end.0;
    world.pass(status_ms * 2);
    if heard {
        world.record(end);
    } else {
        world.kept.insert(end.0, end.2);
    }
    let next = world.end_job();
    world.record(next);
    world.take_over(0);
    world.pass(status_ms);
    assert!(world.knows(id));
}

/// What an earlier version wrote says nothing of the cell's time.
#[test]
fn an_end_without_the_cells_time_is_kept_from_the_takeover_on() {
    let status_ms = Options::default().ended_job_retention_ms;
    let mut world = World::new();
    let progress = JobProgress {
        state: JobState::Cancelled,
        ended_at_ms: TimeOfDay(1),
        ..JobProgress::default()
    };
    world.kept.insert(JobId(1), progress);
    world.take_over(0);
    world.pass(status_ms);
    assert!(world.knows(JobId(1)));
    world.pass(1);
    assert!(!world.knows(JobId(1)));
}

/// A scheduler a minute, for two days: less than it takes to forget anything.
#[test]
fn what_is_kept_stays_bounded_while_schedulers_change_each_minute() {
    const TENURES: u64 = 2 * 24 * 60;
    const ENDS_A_TENURE: u64 = 12;
    let status_ms = Options::default().ended_job_retention_ms;
    let mut world = World::new();
    let mut most = 0;
    for tenure in 0..TENURES {
        let shift = usize::try_from(tenure).unwrap_or(0) % STEPS_MS.len();
        world.take_over(STEPS_MS[shift]);
        for _ in 0..ENDS_A_TENURE {
            world.pass(MINUTE_MS / ENDS_A_TENURE);
            let end = world.end_job();
            world.record(end);
        }
        most = most.max(world.kept.len());
    }
    // As many as end in the time for which they are kept, and in one more tenure.
    let bound = ENDS_A_TENURE * (status_ms / MINUTE_MS + 1) + 1;
    let most = u64::try_from(most).unwrap_or(u64::MAX);
    assert!(most <= bound, "{most} were kept, {bound} at most should be");
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn generated_takeovers_and_steps_forget_nothing_early(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new();
    world.take_over(0);
    for _ in 0..5_000 {
        match rng.random_range(0..10) {
            0 => {
                let shift_ms = STEPS_MS[rng.random_range(0..STEPS_MS.len())];
                world.take_over(shift_ms);
            }
            1 => world.shift_ms = STEPS_MS[rng.random_range(0..STEPS_MS.len())],
            2..=4 => {
                let end = world.end_job();
                let late_ms = rng.random_range(0..20_000);
                world.pass(late_ms);
                if rng.random_bool(0.8) {
                    world.record(end);
                } else {
                    // The answer was lost with the scheduler.
                    world.kept.insert(end.0, end.2);
                    world.take_over(0);
                }
            }
            _ => world.pass(rng.random_range(0..30_000)),
        }
    }
    assert!(world.next_job > 1_000);
    let kept: Vec<_> = world.kept.keys().copied().collect();
    assert!(kept.into_iter().all(|id| world.knows(id)));
}

/// Its record would stay in the store for good, and with it the job's progress.
#[test]
fn a_cancelling_after_the_end_is_removed() {
    let mut world = World::new();
    world.take_over(0);
    let end = world.end_job();
    let id = end.0;
    world.record(end);
    let now = world.now();
    let actions = world.scheduler.handle(Event::JobCancelled(id), now);
    assert_eq!(actions, [Action::DropSpec(id)]);
}
