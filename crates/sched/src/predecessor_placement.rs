//! The workers on which the members of a unit are placed, as recorded for a successor and as restored from a
//! predecessor.

use syc_types::CellTime;
use syc_types::WorkerId;

use crate::Run;
use crate::UnitProgress;
use crate::WorkerKey;
use crate::unit::Unit;
use crate::unit::UnitState;

/// The latest start of a unit by a previous scheduler.
#[derive(Debug, Clone)]
pub(crate) struct PredecessorPlacement {
    /// The number of that start.
    pub(crate) run: Run,
    /// Number of the latest start whose end that scheduler had stored. It gave no start order beyond the next number.
    pub(crate) accounted: Run,
    /// Names of the workers whose members are not known to have ended, by member.
    pub(crate) workers: Vec<Option<WorkerId>>,
    /// Until when that start may be carried out, in cell time; none if it had an answer.
    pub(crate) unanswered_until: Option<CellTime>,
}

impl PredecessorPlacement {
    /// The value for a unit that no predecessor started.
    pub(crate) const NONE: Self = Self {
        run: Run(0),
        accounted: Run(0),
        workers: Vec::new(),
        unanswered_until: None,
    };

    /// Restores what a predecessor recorded about a unit.
    pub(crate) fn restored(kept: &UnitProgress) -> Self {
        let names = kept.workers.iter();
        let workers = names.map(|name| (!name.as_str().is_empty()).then(|| name.clone()));
        Self {
            run: kept.last_started,
            accounted: kept.last_accounted,
            workers: workers.collect(),
            unanswered_until: kept.unanswered_until_cell_ms,
        }
    }

    /// Returns whether that scheduler may have ordered a start of which the end is not stored on a worker.
    ///
    /// A recorded start was ordered on the recorded workers only, any other one on any worker but those of which all runs
    /// are recorded.
    pub(crate) fn may_include(&self, worker: &WorkerId, all_runs_recorded: bool) -> bool {
        let is_recorded = self.run > self.accounted && !self.workers.is_empty();
        !is_recorded && !all_runs_recorded || self.member_at(worker).is_some()
    }

    /// Returns the first member that is recorded on a worker and is not known to have ended.
    pub(crate) fn member_at(&self, worker: &WorkerId) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|at| at.as_ref() == Some(worker))
    }

    /// Records that a member's run has ended. Returns whether its worker was named until now.
    pub(crate) fn mark_ended(&mut self, member: usize, run: Run) -> bool {
        if run != self.run {
            return false;
        }
        let worker = self.workers.get_mut(member);
        worker.is_some_and(|worker| worker.take().is_some())
    }

    /// Drops the recorded workers once a later start has ended.
    pub(crate) fn clear_if_older(&mut self, run: Run) {
        if run > self.run {
            self.workers.clear();
        }
    }
}

/// Returns the names of the workers whose members have not ended, by member.
///
/// While a gang is closing, the remaining members are included: if one of their workers is lost, a successor has to
/// know which task may have crashed it.
pub(crate) fn member_worker_names<N>(unit: &Unit, name_of: &N) -> Vec<WorkerId>
where
    N: Fn(WorkerKey) -> Option<WorkerId>,
{
    let before = &unit.predecessor_placement;
    let mut names: Vec<_> = match (&unit.state, &unit.reservation) {
        (UnitState::Placed { members, run } | UnitState::Stopping { members, run, .. }, _) => {
            // Members of a predecessor's start that were not found may have crashed their workers.
            let not_found = |member| {
                let workers = before.workers.get(member).filter(|_| *run == before.run);
                workers.cloned().flatten()
            };
            let members = members.iter().enumerate();
            let name = |(member, worker): (usize, &Option<WorkerKey>)| {
                worker.and_then(name_of).or_else(|| not_found(member))
            };
            members.map(name).collect()
        }
        (_, Some(reservation)) if unit.start_intent.is_some() => {
            reservation.members().map(name_of).collect()
        }
        _ => before.workers.clone(),
    };
    while names.last().is_some_and(Option::is_none) {
        names.pop();
    }
    let no_name = || WorkerId::new("");
    names
        .into_iter()
        .map(|name| name.unwrap_or_else(no_name))
        .collect()
}
