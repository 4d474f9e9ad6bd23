//! Run times and failures of earlier tasks, by team and job name.

use std::collections::HashMap;

use smol_str::SmolStr;
use syc_types::TeamId;
use syc_types::WorkerId;

/// Kinds of jobs that are remembered.
const KINDS_LIMIT: usize = 8_192;

/// Ended tasks of a kind before its learned run time counts.
const SAMPLES_NEEDED: u32 = 3;

/// Weight of the latest run time, as a divisor.
const SMOOTHING: u64 = 4;

/// Workers on which a kind of job has failed that are remembered.
const FAILED_ON_LIMIT: usize = 4;

/// A kind of job: its team and its name.
pub(crate) type Kind = (TeamId, SmolStr);

#[derive(Debug, Clone, Default)]
struct Record {
    samples: u32,
    mean_ms: u64,
    deviation_ms: u64,
    failed_on: Vec<WorkerId>,
}

/// What is learned from ended tasks. It guides the order of placing, never the size of a grant.
#[derive(Debug, Clone, Default)]
pub struct History {
    records: HashMap<Kind, Record>,
    ignored: bool,
}

impl History {
    /// Makes a history that learns nothing, for comparison.
    #[must_use]
    pub fn ignoring() -> Self {
        Self {
            ignored: true,
            ..Self::default()
        }
    }

    /// Learns that a task of a kind ran for a time.
    pub fn ran(&mut self, team: &TeamId, name: &SmolStr, ran_ms: u64) {
        if self.ignored {
            return;
        }
        let record = self.record(team, name);
        record.failed_on.clear();
        record.samples = record.samples.saturating_add(1);
        if record.samples == 1 {
            record.mean_ms = ran_ms;
            record.deviation_ms = ran_ms / SMOOTHING;
            return;
        }
        let apart_ms = ran_ms.abs_diff(record.mean_ms);
        record.deviation_ms = smooth(record.deviation_ms, apart_ms);
        record.mean_ms = smooth(record.mean_ms, ran_ms);
    }

    /// Notes a failure; returns whether the worker may be to blame, which it is not where the same
    /// kind of job has failed on several others.
    pub fn failed(&mut self, team: &TeamId, name: &SmolStr, worker: &WorkerId) -> bool {
        let record = self.record(team, name);
        let elsewhere = record.failed_on.iter().filter(|other| *other != worker);
        let blamed = elsewhere.count() < 2;
        if !record.failed_on.contains(worker) && record.failed_on.len() < FAILED_ON_LIMIT {
            record.failed_on.push(worker.clone());
        }
        blamed
    }

    /// Returns the time that a task will likely need at most, learned or else as declared.
    #[must_use]
    pub fn run_time_ms(&self, team: &TeamId, name: &SmolStr, declared_ms: u64) -> u64 {
        let key = (team.clone(), name.clone());
        let known = self.records.get(&key);
        match known.filter(|record| record.samples >= SAMPLES_NEEDED) {
            Some(record) => record.mean_ms.saturating_add(2 * record.deviation_ms),
            None => declared_ms,
        }
    }

    fn record(&mut self, team: &TeamId, name: &SmolStr) -> &mut Record {
        let key = (team.clone(), name.clone());
        if self.records.len() >= KINDS_LIMIT && !self.records.contains_key(&key) {
            // Names that are used once would fill it; what still runs is learned anew.
            self.records.clear();
        }
        self.records.entry(key).or_default()
    }
}

const fn smooth(old: u64, new: u64) -> u64 {
    (old / SMOOTHING)
        .saturating_mul(SMOOTHING - 1)
        .saturating_add(new / SMOOTHING)
}
