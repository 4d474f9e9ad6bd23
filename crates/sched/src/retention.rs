//! Retention of ended jobs, measured in cell time rather than by the time of day.
//!
//! Cell time is the time for which the cell's schedulers have been active, and the record of a job's end holds
//! the cell time at which it was written. After a takeover, cell time continues from the latest such record; the
//! time since then is not counted. An ended job is therefore retained for at least the retention time whatever
//! the wall clocks show, and the number of retained jobs is bounded by what schedulers can write in that time,
//! however often they change.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::CellTime;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkspaceName;

use crate::Action;
use crate::JobId;
use crate::JobSpec;
use crate::JobState;
use crate::QueuePolicy;
use crate::Schedule;
use crate::Scheduler;
use crate::StartInDoubtProgress;
use crate::job::Job;

/// A job that had ended before this scheduler took over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob {
    /// Identifier of the job.
    pub id: JobId,
    /// Final state.
    pub state: JobState,
    /// The workspace that it belonged to.
    pub workspace: Option<WorkspaceName>,
    /// When it ended, in cell time; none if an earlier version wrote the record.
    pub ended_at: Option<CellTime>,
    /// Start orders that may still be carried out.
    pub starts_in_doubt: Vec<StartInDoubtProgress>,
}

/// When the end of a job was first written to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndStamp {
    pub(crate) cell_time: CellTime,
    /// For display.
    pub(crate) wall_time: TimeOfDay,
}

/// Clock for cell time: the value that predecessors reached, and when this scheduler started counting.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CellClock {
    base: CellTime,
    started_at: Millis,
}

impl CellClock {
    pub(crate) fn read(self, now: Millis) -> CellTime {
        self.base.plus(now.since(self.started_at))
    }

    /// Converts a cell time to the scheduler's steady clock, saturating at the clock's origin.
    fn steady_at(self, at: CellTime, now: Millis) -> Millis {
        Millis(now.0.saturating_sub(self.read(now).since(at)))
    }
}

impl Scheduler {
    /// Restores the cell time and all ended jobs, so that their state can be queried.
    ///
    /// Everything that predecessors wrote must have been read before `now`, and predecessors must not be able to
    /// write any more.
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
            self.restore_starts_in_doubt(job.id, &job.starts_in_doubt, now);
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
            workspace: ended.workspace.clone(),
        };
        let mut job = Job::new(spec, now, self.wall_clock);
        let workspace = job.spec.workspace.as_ref();
        job.workspace = workspace.map(|name| self.workspaces.key_of(name));
        job.state = ended.state;
        job.visible_state = ended.state;
        job.ended_at = Some(self.cell_clock.steady_at(shown_at, now));
        job.end_visible_at = Some(shown_at);
        let key = self.jobs.insert(job);
        self.job_keys.insert(ended.id, key);
    }

    /// Removes jobs whose retention time is over.
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
            self.write_offs.forget_job(job.id());
            self.actions.push(Action::DeleteJob(job.id()));
        }
        self.early_cancellations
            .retain(|_, at| now.since(*at) <= keep_ms);
    }
}

/// Returns a cell time by which an end was certainly visible. An end becomes visible after its record is
/// written and before the next one is. Without a later record, its own time is returned, which is the cell time
/// at which a successor takes over.
fn visible_by(stamps: &BTreeSet<CellTime>, written_at: CellTime) -> CellTime {
    let later = CellTime(written_at.0.saturating_add(1))..;
    stamps.range(later).next().copied().unwrap_or(written_at)
}
