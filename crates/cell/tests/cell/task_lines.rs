//! Of which jobs the log has a line for each run, when there are thousands of runs a second.

use std::collections::BTreeMap;

use syc_cell::task_lines::TaskLines;
use syc_sched::JobId;
use syc_types::Millis;

/// Logs two lines about each of 20 runs of `jobs` jobs in each of a few seconds. Returns the lines of each job in the
/// last one.
fn lines_of_last_second(jobs: u64) -> BTreeMap<u64, u32> {
    let mut lines = TaskLines::default();
    let mut written = BTreeMap::new();
    for second in 1..=4 {
        written = (0..jobs).map(|job| (job, 0)).collect();
        for line in 0..40 {
            for job in 0..jobs {
                let now = Millis(second * 1_000 + line);
                if lines.admits(JobId(job), now) {
                    *written.entry(job).or_default() += 1;
                }
            }
        }
    }
    written
}

/// An operator of a small cell finds every run.
#[test]
fn all_runs_are_logged_at_a_low_rate() {
    let written = lines_of_last_second(20);
    assert!(written.values().all(|lines| *lines == 40));
}

/// Some lines of each job were written and others dropped, so that none could be followed.
#[test]
fn at_a_high_rate_a_share_of_the_jobs_is_logged_whole() {
    let written = lines_of_last_second(400);
    let whole = written.values().filter(|lines| **lines == 40).count();
    let none = written.values().filter(|lines| **lines == 0).count();
    assert_eq!(whole + none, 400);
    assert!((5..=40).contains(&whole), "{whole} jobs");
}
