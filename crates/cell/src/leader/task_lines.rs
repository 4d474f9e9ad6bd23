//! Decides of which jobs the log has a line for each run. Pure: no clock, no I/O.
//!
//! The load that this handles: thousands of runs a second, of which the log's budget takes some at random, so that no job
//! could be followed from its submit to its end. Beyond a rate, all lines of a share of the jobs are written instead, and
//! none of single runs of the others. What goes wrong is always logged.

use syc_sched::JobId;
use syc_types::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Lines about single runs in a second up to which those of all jobs are written. It leaves most of the log's budget to
/// lines about jobs, workers and nodes.
const FULL_LINES_PER_S: u64 = 800;

/// Whole, in thousandths.
const ALL_PER_MILLE: u64 = 1_000;

/// Which share of the jobs has lines about single runs.
#[derive(Debug)]
pub struct TaskLines {
    second: u64,
    /// Lines about single runs in this second, written or not.
    lines: u64,
    share_per_mille: u64,
}

impl Default for TaskLines {
    fn default() -> Self {
        Self {
            second: 0,
            lines: 0,
            share_per_mille: ALL_PER_MILLE,
        }
    }
}

impl TaskLines {
    /// Counts a line about a run of a job. Returns whether it is written.
    pub fn admits(&mut self, job: JobId, now: Millis) -> bool {
        let second = now.0 / 1_000;
        if second != self.second {
            self.second = second;
            self.share_per_mille = FULL_LINES_PER_S * ALL_PER_MILLE / self.lines.max(1);
            self.lines = 0;
        }
        self.lines += 1;
        xxh3_64(&job.0.to_le_bytes()) % ALL_PER_MILLE < self.share_per_mille
    }
}
