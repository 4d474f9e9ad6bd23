//! For how long a job that has ended is kept: measured by the cell's own time, never by the time of day.
//!
//! A record of an end says when it was written, in the time for which schedulers of the cell have worked. That
//! time goes on across takeovers from the latest record, and stands still while no end is written. So what has
//! ended is kept for its time at least, whatever any clock of the day shows, and at most so many ends are kept
//! as schedulers can write in that time, however often they change.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::CellTime;
use syc_types::Millis;
use syc_types::TimeOfDay;

use crate::Action;
use crate::JobId;
use crate::JobSpec;
use crate::JobState;
use crate::QueuePolicy;
use crate::Schedule;
use crate::Scheduler;
use crate::job::Job;

/// A job that had ended when this scheduler began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedJob {
    /// The job.
    pub id: JobId,
    /// How it ended.
    pub state: JobState,
    /// When, by the cell's time; none where an earlier version wrote the record.
    pub ended_at: Option<CellTime>,
}

/// When the end of a job was first written down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndStamp {
    pub(crate) cell_time: CellTime,
    /// For people.
    pub(crate) wall_time: TimeOfDay,
}

/// The cell's time: where predecessors left it, and since when this scheduler counts on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CellClock {
    base: CellTime,
    started_at: Millis,
}

impl CellClock {
    pub(crate) fn read(self, now: Millis) -> CellTime {
        self.base.plus(now.since(self.started_at))
    }

    /// Returns the point of the steady clock at a time of the cell, as far as its origin.
    fn steady_at(self, at: CellTime, now: Millis) -> Millis {
        Millis(now.0.saturating_sub(self.read(now).since(at)))
    }
}

impl Scheduler {
    /// Takes over the cell's time, and all jobs that have ended, so that their state can be asked.
    ///
    /// Everything that predecessors wrote must have been read before `now`, and nothing of them can follow.
    pub fn restore_ended_jobs(&mut self, ended: &[EndedJob], now: Millis) {
        let stamps: BTreeSet<CellTime> = ended.iter().filter_map(|job| job.ended_at).collect();
        let latest = stamps.last().copied().unwrap_or_default();
        self.cell_clock = CellClock {
            base: latest,
            started_at: now,
        };
        for job in ended {
            if self.job_keys.contains_key(&job.id) {
                continue;
            }
            let shown_at = job.ended_at.map_or(latest, |at| visible_by(&stamps, at));
            self.insert_ended_job(job, shown_at, now);
        }
    }

    fn insert_ended_job(&mut self, ended: &EndedJob, shown_at: CellTime, now: Millis) {
        let spec = JobSpec {
            id: ended.id,
            payload: SmolStr::default(),
            steps: Vec::new(),
            policy: QueuePolicy::default(),
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay::default(),
        };
        let mut job = Job::new(spec, now, self.wall_clock);
        job.state = ended.state;
        job.visible_state = ended.state;
        job.ended_at = Some(self.cell_clock.steady_at(shown_at, now));
        job.end_visible_at = Some(shown_at);
        let key = self.jobs.insert(job);
        self.job_keys.insert(ended.id, key);
    }

    /// Removes what is kept of jobs that ended long ago.
    pub(crate) fn forget_expired_jobs(&mut self, now: Millis) {
        let keep_ms = self.options.ended_job_retention_ms;
        let cell_now = self.cell_clock.read(now);
        let mut old = Vec::new();
        for (key, job) in &self.jobs {
            if job
                .end_visible_at
                .is_some_and(|at| cell_now.since(at) > keep_ms)
            {
                old.push(key);
            }
        }
        for key in old {
            let Some(job) = self.jobs.remove(key) else {
                continue;
            };
            self.job_keys.remove(&job.id());
            self.actions.push(Action::Forget(job.id()));
        }
        self.early_cancellations
            .retain(|_, at| now.since(*at) <= keep_ms);
    }
}

/// Returns by when an end was surely shown. A record is made before the store has it, and the next one after
/// that: until it is there, the end counts as shown only now.
fn visible_by(stamps: &BTreeSet<CellTime>, written_at: CellTime) -> CellTime {
    let later = CellTime(written_at.0.saturating_add(1))..;
    stamps.range(later).next().copied().unwrap_or(written_at)
}
