//! Relative speeds of workers, learned from how long their runs took compared with the same work elsewhere.
//!
//! The estimate of a worker is the weighted median of the logarithms of its recent speed samples, so that one long run
//! or a few do not condemn it. Speeds are relative to the median worker: if every worker becomes slower, none counts as
//! slow. Nothing here is stored; a new scheduler learns again.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use slotmap::SecondaryMap;
use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::RackId;

use crate::WorkerKey;

/// Time after which a sample counts half.
const HALF_LIFE_MS: u64 = 30_000;

/// Maximum number of samples kept for each worker.
const SAMPLES_LIMIT: usize = 48;

/// Minimum weight of the samples for an estimate, after ageing. A run weighs at most 1, so a single one never decides.
const MIN_WEIGHT: f64 = 2.1;

/// Largest absolute value of a sample: the logarithm of a factor of about 8. Runs that take even longer say nothing
/// more about the worker.
const SAMPLE_LOG_LIMIT: f64 = 2.1;

/// A worker becomes slow below this share of the median speed, and is no longer slow above the other.
const SLOW_BELOW: f64 = 0.75;
const NOT_SLOW_ABOVE: f64 = 0.85;

/// Minimum number of slow workers for placement by speed. A single one is better served by `slowness`.
const MIN_SLOW_WORKERS: usize = 3;

/// Minimum number of workers with an estimate for a median to compare with.
const MIN_KNOWN_WORKERS: usize = 5;

/// Minimum number of members of a group with an estimate, their minimum share of all members in percent, and the
/// largest factor between any two of them, for a new member to start with the speed of the group.
const MIN_GROUP_MEMBERS: usize = 3;
const GROUP_KNOWN_PERCENT: usize = 90;
const GROUP_SPREAD: f64 = 1.25;

/// Time between two comparisons of all workers, each of which sorts the samples of every worker.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// Number of estimates in each comparison. Each estimate uses the speeds of the others, so the second one corrects what
/// the first derived from outdated speeds.
const PASSES: usize = 2;

/// Minimum number of workers of a step with known run times for its expected run time.
const MIN_TIMES: usize = 3;

/// Maximum number of run times kept for each step.
const TIMES_LIMIT: usize = 16;

/// Maximum number of comparisons of a run with others. Otherwise, one long run would count as often as the step has
/// other tasks.
const COMPARISONS_LIMIT: usize = 4;

/// Weight of the comparison of two runs, so that all those of a run weigh 1.
pub(crate) const PAIR_WEIGHT: f64 = 0.25;

/// Weight of a sample that compares a run with what its queue takes for its estimate. It is low, because the estimate
/// of a single job may be far off.
pub(crate) const QUEUE_WEIGHT: f64 = 0.25;

/// Whether a worker is permanently slower than most.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum SpeedClass {
    /// Nothing is known about it yet.
    #[default]
    Unknown,
    Normal,
    Slow,
}

/// How much faster a run was than the same work on another worker, as a logarithm.
///
/// The speed of the other worker is added only when speeds are compared. If it were part of the sample, a slow worker
/// that was compared with slow ones before their speeds were known would count as normal.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    log: f64,
    weight: f64,
    /// The other worker; none if the run was compared with what its queue takes for its estimate.
    peer: Option<WorkerKey>,
}

/// What has been learned about the speed of one worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerSpeed {
    samples: VecDeque<Sample>,
    /// Logarithm of the speed relative to the median worker, set when all workers are compared.
    relative_log: f64,
    class: SpeedClass,
    slow_since: Option<Millis>,
}

impl WorkerSpeed {
    /// Adds how much faster a run was than on another worker, or than expected, as a logarithm. Values that are not
    /// finite are ignored.
    pub(crate) fn add(&mut self, peer: Option<WorkerKey>, log: f64, weight: f64, now: Millis) {
        if !log.is_finite() {
            return;
        }
        if self.samples.len() >= SAMPLES_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            log: log.clamp(-SAMPLE_LOG_LIMIT, SAMPLE_LOG_LIMIT),
            weight,
            peer,
        });
    }

    /// Returns the weighted median of its samples, given the speeds of the other workers, or `None` without enough
    /// evidence. Samples of workers that are gone are left out.
    fn estimate(&self, logs: &SecondaryMap<WorkerKey, f64>, now: Millis) -> Option<f64> {
        let mut weighted = Vec::with_capacity(self.samples.len());
        let mut total = 0.0;
        for sample in &self.samples {
            let peer_log = sample
                .peer
                .map_or(Some(0.0), |peer| logs.get(peer).copied());
            let Some(peer_log) = peer_log else {
                continue;
            };
            let weight = sample.weight * remaining_weight(now.since(sample.at));
            total += weight;
            weighted.push((sample.log + peer_log, weight));
        }
        if total < MIN_WEIGHT {
            return None;
        }
        weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut below = 0.0;
        for (log, weight) in weighted {
            below += weight;
            if below * 2.0 >= total {
                return Some(log);
            }
        }
        None
    }

    /// Returns the logarithm of its speed relative to the median worker; 0 if nothing is known.
    pub(crate) const fn relative_log(&self) -> f64 {
        self.relative_log
    }

    /// Returns its speed relative to the median worker, or `None` if nothing is known.
    pub(crate) fn relative(&self) -> Option<f64> {
        (self.class != SpeedClass::Unknown).then(|| self.relative_log.exp())
    }

    /// Returns whether it is permanently slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.class == SpeedClass::Slow
    }

    /// Returns its class.
    pub(crate) const fn class(&self) -> SpeedClass {
        self.class
    }

    /// Returns since when it has been slow, if it is.
    pub(crate) const fn slow_since(&self) -> Option<Millis> {
        self.slow_since
    }

    /// Sets its speed relative to the median worker.
    fn set_relative(&mut self, log: Option<f64>, now: Millis) {
        let was_slow = self.is_slow();
        let limit = if was_slow { NOT_SLOW_ABOVE } else { SLOW_BELOW };
        self.relative_log = log.unwrap_or(0.0);
        self.class = match log {
            None => SpeedClass::Unknown,
            Some(log) if log < limit.ln() => SpeedClass::Slow,
            Some(_) => SpeedClass::Normal,
        };
        if !self.is_slow() {
            self.slow_since = None;
        } else if !was_slow {
            self.slow_since = Some(now);
        }
    }
}

/// Workers that are likely to be alike: those of a rack with the same labels.
pub(crate) type Group = (RackId, Vec<SmolStr>);

/// Comparison of all workers, made at intervals.
#[derive(Debug, Clone, Default)]
pub(crate) struct SpeedComparison {
    compared_at: Option<Millis>,
    is_uneven: bool,
    slow_log: f64,
}

impl SpeedComparison {
    /// Returns whether workers differ so clearly that placement regards their speeds.
    pub(crate) const fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Returns the logarithm of the speed of the median slow worker.
    pub(crate) const fn slow_log(&self) -> f64 {
        self.slow_log
    }

    /// Returns whether a comparison is due, and counts it as made.
    pub(crate) fn begin_if_due(&mut self, now: Millis) -> bool {
        let compared_at = self.compared_at;
        let is_due = compared_at.is_none_or(|at| now.since(at) >= COMPARE_INTERVAL_MS);
        if is_due {
            self.compared_at = Some(now);
        }
        is_due
    }

    /// Compares workers with each other. Returns those that became slow or are no longer slow.
    pub(crate) fn compare(
        &mut self,
        mut workers: Vec<(WorkerKey, Group, &mut WorkerSpeed)>,
        now: Millis,
    ) -> Vec<WorkerKey> {
        let were_slow: Vec<_> = workers
            .iter()
            .map(|(_, _, speed)| speed.is_slow())
            .collect();
        for _ in 0..PASSES {
            let mut logs = SecondaryMap::new();
            for (key, _, speed) in &workers {
                logs.insert(*key, speed.relative_log);
            }
            set_relative_speeds(&mut workers, &logs, now);
        }
        let mut changed = Vec::new();
        for ((key, _, speed), was_slow) in workers.iter().zip(were_slow) {
            if speed.is_slow() != was_slow {
                changed.push(*key);
            }
        }
        let speeds = workers.iter().map(|(_, _, speed)| speed);
        let slow = speeds.filter(|speed| speed.is_slow());
        let mut slow: Vec<_> = slow.map(|speed| speed.relative_log).collect();
        self.is_uneven = slow.len() >= MIN_SLOW_WORKERS;
        self.slow_log = median(&mut slow).unwrap_or(0.0);
        changed
    }
}

/// Estimates the speed of each worker from those of the others.
fn set_relative_speeds(
    workers: &mut [(WorkerKey, Group, &mut WorkerSpeed)],
    logs: &SecondaryMap<WorkerKey, f64>,
    now: Millis,
) {
    let mut known = Vec::new();
    let mut estimates = Vec::with_capacity(workers.len());
    let mut groups: BTreeMap<&Group, GroupSpeeds> = BTreeMap::new();
    for (_, group, speed) in workers.iter() {
        let estimate = speed.estimate(logs, now);
        let of_group = groups.entry(group).or_default();
        of_group.members += 1;
        if let Some(log) = estimate {
            known.push(log);
            of_group.logs.push(log);
        }
        estimates.push(estimate);
    }
    for (estimate, (_, group, _)) in estimates.iter_mut().zip(workers.iter()) {
        if estimate.is_none() {
            *estimate = groups.get_mut(group).and_then(GroupSpeeds::agreed);
        }
    }
    let median = median(&mut known).filter(|_| known.len() >= MIN_KNOWN_WORKERS);
    for (estimate, (_, _, speed)) in estimates.into_iter().zip(workers) {
        let relative = estimate.zip(median).map(|(log, median)| log - median);
        speed.set_relative(relative, now);
    }
}

/// A run time on a worker, as a logarithm.
#[derive(Debug, Clone, Copy)]
struct RunTime {
    worker: WorkerKey,
    log: f64,
    /// Number of further comparisons that say something about its worker.
    comparisons_left: usize,
}

/// A run that another one is compared with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    pub(crate) worker: WorkerKey,
    pub(crate) log: f64,
    /// Whether the comparison counts for this run, too.
    pub(crate) counts: bool,
}

/// Run times of a step's tasks, one on each of a few workers.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepTimes {
    times: Vec<RunTime>,
    /// Number of run times added, which determines the one that is replaced.
    added: usize,
}

impl StepTimes {
    /// Adds the run time of a task on a worker, and returns the runs on other workers to compare it with.
    ///
    /// They are spread over all known ones: the runs that ended last tend to be those on slow workers, which would only
    /// be compared with each other.
    pub(crate) fn add(&mut self, worker: WorkerKey, log: f64) -> Vec<Peer> {
        self.times.retain(|time| time.worker != worker);
        let known = self.times.len();
        let count = known.min(COMPARISONS_LIMIT);
        let mut peers = Vec::with_capacity(count);
        for number in 0..count {
            let time = &mut self.times[number * known / count];
            peers.push(Peer {
                worker: time.worker,
                log: time.log,
                counts: time.comparisons_left > 0,
            });
            time.comparisons_left = time.comparisons_left.saturating_sub(1);
        }
        let time = RunTime {
            worker,
            log,
            comparisons_left: COMPARISONS_LIMIT - count,
        };
        if known < TIMES_LIMIT {
            self.times.push(time);
        } else {
            // 7 and the limit have no common divisor, so the replaced ones are spread.
            self.times[self.added * 7 % TIMES_LIMIT] = time;
        }
        self.added = self.added.wrapping_add(1);
        peers
    }

    /// Returns the median run time as a logarithm, given the speeds of the workers, or `None` if too few are known.
    pub(crate) fn median<F>(&self, speed_log: F) -> Option<f64>
    where
        F: Fn(WorkerKey) -> Option<f64>,
    {
        let normalized = self
            .times
            .iter()
            .filter_map(|time| Some(time.log + speed_log(time.worker)?));
        let mut logs: Vec<_> = normalized.collect();
        median(&mut logs).filter(|_| logs.len() >= MIN_TIMES)
    }
}

/// The known speeds of a group.
#[derive(Debug, Default)]
struct GroupSpeeds {
    members: usize,
    logs: Vec<f64>,
}

impl GroupSpeeds {
    /// Returns the median speed if nearly all members are known and agree.
    fn agreed(&mut self) -> Option<f64> {
        let known = self.logs.len();
        if known < MIN_GROUP_MEMBERS || known * 100 < self.members * GROUP_KNOWN_PERCENT {
            return None;
        }
        let middle = median(&mut self.logs)?;
        let spread = self.logs.last()? - self.logs.first()?;
        (spread <= GROUP_SPREAD.ln()).then_some(middle)
    }
}

/// Sorts values and returns their median.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the share of its weight that a sample of this age has left.
fn remaining_weight(age_ms: u64) -> f64 {
    (-to_f64(age_ms) / to_f64(HALF_LIFE_MS)).exp2()
}

/// Converts a time to a float.
#[expect(
    clippy::cast_precision_loss,
    reason = "times of runs are far below what a float holds exactly"
)]
pub(crate) const fn to_f64(time_ms: u64) -> f64 {
    time_ms as f64
}
