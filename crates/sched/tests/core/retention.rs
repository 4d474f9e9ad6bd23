//! Retention of ended jobs in simulated time: long enough whatever the clocks show, and bounded.
//!
//! A job that had ended four seconds before was forgotten and removed from the store, because the clock of the node
//! that wrote its end was 200 s behind its successor's. The age of a job was the difference of two wall clocks.

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

const CLOCK_OFFSETS_MS: [i64; 7] = [0, -2_000, 2_000, -200_000, 200_000, -86_400_000, 86_400_000];

const MINUTE_MS: u64 = 60_000;

/// Offsets of the steady clock of a process from the true time; they differ between processes.
const STEADY_OFFSETS_MS: [u64; 3] = [1_000, 7_000_000_000, 50_000];

/// The store and the current scheduler.
struct Simulation {
    /// True time.
    at_ms: u64,
    scheduler: Scheduler,
    /// Offsets of the scheduler's steady clock and of its wall clock from the true time.
    steady_offset_ms: u64,
    clock_offset_ms: i64,
    tenures: usize,
    stored: BTreeMap<JobId, JobProgress>,
    /// When each end first became visible, in true time.
    visible_at_ms: BTreeMap<JobId, u64>,
    next_job: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            at_ms: 0,
            scheduler: Scheduler::new(Options::default()),
            steady_offset_ms: STEADY_OFFSETS_MS[0],
            clock_offset_ms: 0,
            tenures: 0,
            stored: BTreeMap::new(),
            visible_at_ms: BTreeMap::new(),
            next_job: 1,
        }
    }

    fn now(&self) -> Millis {
        Millis(self.at_ms + self.steady_offset_ms)
    }

    fn day(&self) -> TimeOfDay {
        TimeOfDay((1_790_000_000_000 + self.at_ms).saturating_add_signed(self.clock_offset_ms))
    }

    /// Replaces the scheduler by one that restores the stored jobs.
    fn take_over(&mut self, shift_ms: i64) {
        self.tenures += 1;
        self.clock_offset_ms = shift_ms;
        self.steady_offset_ms = STEADY_OFFSETS_MS[self.tenures % STEADY_OFFSETS_MS.len()];
        self.scheduler = Scheduler::new(Options::default());
        let ended = self.stored.iter().map(|(id, progress)| EndedJob {
            id: *id,
            state: progress.state,
            workspace: progress.workspace.clone(),
            ended_at: progress.ended_at_cell_ms,
            starts_in_doubt: progress.starts_in_doubt.clone(),
        });
        let ended: Vec<_> = ended.collect();
        self.scheduler.restore_ended_jobs(&ended, self.now());
        for ended in ended {
            self.visible_at_ms.entry(ended.id).or_insert(self.at_ms);
        }
        self.scheduler.begin_recovery(self.now());
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        for action in self.scheduler.handle(event, now) {
            let Action::DeleteJob(id) = action else {
                continue;
            };
            let kept_ms = self.at_ms - self.visible_at_ms[&id];
            let status_ms = Options::default().ended_job_retention_ms;
            assert!(
                kept_ms >= status_ms,
                "{id} was retained for only {kept_ms} ms"
            );
            self.stored.remove(&id);
        }
    }

    /// Submits and cancels a job. Returns the record to store.
    fn end_job(&mut self) -> (JobId, u64, JobProgress) {
        let id = self.next_job;
        self.next_job += 1;
        let spec = Box::new(job(id, policy(0), vec![step(1, 1)], Schedule::default()));
        self.apply(Event::JobStored { spec, age_ms: 0 });
        self.apply(Event::JobCancelled(JobId(id).into()));
        let (now, day) = (self.now(), self.day());
        let mut records = self.scheduler.take_records(10, now, day);
        assert_eq!(records.len(), 1);
        records.remove(0)
    }

    /// Stores a record, and lets the scheduler learn of that and make the end visible.
    fn record(&mut self, (id, change, progress): (JobId, u64, JobProgress)) {
        self.stored.insert(id, progress);
        let jobs = vec![(id, change)];
        self.apply(Event::Recorded { jobs });
        self.visible_at_ms.insert(id, self.at_ms);
    }

    fn advance(&mut self, time_ms: u64) {
        self.at_ms += time_ms;
        self.apply(Event::Ticked);
    }

    fn knows(&self, id: JobId) -> bool {
        self.scheduler.state_of(id) == Some(JobState::Cancelled)
    }
}

/// The clock is wrong on the scheduler that writes the end, on its successor, or on both, and it is stepped in
/// between.
#[test]
fn clock_steps_never_shorten_retention() {
    let status_ms = Options::default().ended_job_retention_ms;
    for first in CLOCK_OFFSETS_MS {
        for second in CLOCK_OFFSETS_MS {
            for third in CLOCK_OFFSETS_MS {
                let mut simulation = Simulation::new();
                simulation.take_over(first);
                let end = simulation.end_job();
                let id = end.0;
                simulation.clock_offset_ms = second;
                simulation.record(end);
                simulation.advance(2_000);
                assert!(simulation.knows(id));
                simulation.take_over(second);
                simulation.advance(100);
                simulation.clock_offset_ms = third;
                simulation.advance(status_ms / 2);
                assert!(simulation.knows(id), "{first}, {second}, {third}");
                simulation.take_over(third);
                simulation.advance(status_ms - status_ms / 2 - 2_000 - 200);
                assert!(simulation.knows(id), "{first}, {second}, {third}");
                assert!(simulation.stored.contains_key(&id));
                simulation.advance(status_ms);
                assert!(!simulation.knows(id), "it is eventually forgotten");
                assert!(simulation.stored.is_empty());
            }
        }
    }
}

/// The store accepts an end late, or its answer is lost and a successor is the first to make the end visible.
#[test_case(true; "the scheduler receives the answer")]
#[test_case(false; "a successor finds it")]
fn retention_of_late_write_starts_when_the_end_is_visible(heard: bool) {
    let status_ms = Options::default().ended_job_retention_ms;
    let mut simulation = Simulation::new();
    simulation.take_over(0);
    let end = simulation.end_job();
    let id = end.0;
    simulation.advance(status_ms * 2);
    if heard {
        simulation.record(end);
    } else {
        simulation.stored.insert(end.0, end.2);
    }
    let next = simulation.end_job();
    simulation.record(next);
    simulation.take_over(0);
    simulation.advance(status_ms);
    assert!(simulation.knows(id));
}

/// Records written by an earlier version hold no cell time.
#[test]
fn end_without_cell_time_is_retained_from_takeover() {
    let status_ms = Options::default().ended_job_retention_ms;
    let mut simulation = Simulation::new();
    let progress = JobProgress {
        state: JobState::Cancelled,
        ended_at_ms: TimeOfDay(1),
        ..JobProgress::default()
    };
    simulation.stored.insert(JobId(1), progress);
    simulation.take_over(0);
    simulation.advance(status_ms);
    assert!(simulation.knows(JobId(1)));
    simulation.advance(1);
    assert!(!simulation.knows(JobId(1)));
}

/// A new scheduler takes over each minute for two days; each tenure is shorter than the retention time.
#[test]
fn retained_jobs_stay_bounded_with_takeovers_every_minute() {
    const TENURES: u64 = 2 * 24 * 60;
    const ENDS_A_TENURE: u64 = 12;
    let status_ms = Options::default().ended_job_retention_ms;
    let mut simulation = Simulation::new();
    let mut most = 0;
    for tenure in 0..TENURES {
        let shift = usize::try_from(tenure).unwrap_or(0) % CLOCK_OFFSETS_MS.len();
        simulation.take_over(CLOCK_OFFSETS_MS[shift]);
        for _ in 0..ENDS_A_TENURE {
            simulation.advance(MINUTE_MS / ENDS_A_TENURE);
            let end = simulation.end_job();
            simulation.record(end);
        }
        most = most.max(simulation.stored.len());
    }
    // As many jobs as end within the retention time and one more tenure.
    let bound = ENDS_A_TENURE * (status_ms / MINUTE_MS + 1) + 1;
    let most = u64::try_from(most).unwrap_or(u64::MAX);
    assert!(
        most <= bound,
        "{most} jobs were retained, expected at most {bound}"
    );
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn random_takeovers_and_clock_steps_never_shorten_retention(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    simulation.take_over(0);
    for _ in 0..5_000 {
        match rng.random_range(0..10) {
            0 => {
                let shift_ms = CLOCK_OFFSETS_MS[rng.random_range(0..CLOCK_OFFSETS_MS.len())];
                simulation.take_over(shift_ms);
            }
            1 => {
                simulation.clock_offset_ms =
                    CLOCK_OFFSETS_MS[rng.random_range(0..CLOCK_OFFSETS_MS.len())];
            }
            2..=4 => {
                let end = simulation.end_job();
                let late_ms = rng.random_range(0..20_000);
                simulation.advance(late_ms);
                if rng.random_bool(0.8) {
                    simulation.record(end);
                } else {
                    // The store's answer is lost with the scheduler.
                    simulation.stored.insert(end.0, end.2);
                    simulation.take_over(0);
                }
            }
            _ => simulation.advance(rng.random_range(0..30_000)),
        }
    }
    assert!(simulation.next_job > 1_000);
    let kept: Vec<_> = simulation.stored.keys().copied().collect();
    assert!(kept.into_iter().all(|id| simulation.knows(id)));
}

/// Otherwise its record, and with it the job's progress, would stay in the store forever.
#[test]
fn cancellation_after_the_end_is_removed() {
    let mut simulation = Simulation::new();
    simulation.take_over(0);
    let end = simulation.end_job();
    let id = end.0;
    simulation.record(end);
    let now = simulation.now();
    let actions = simulation
        .scheduler
        .handle(Event::JobCancelled(id.into()), now);
    assert_eq!(actions, [Action::DeleteSpec(id)]);
}
