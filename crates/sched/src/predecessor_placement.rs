//! Where the members of a unit are: as it is written for a successor, and as a predecessor wrote it.

use syc_types::WorkerId;

use crate::Run;
use crate::UnitProgress;
use crate::WorkerKey;
use crate::job::Unit;
use crate::job::UnitState;

/// The latest start of a unit by predecessors.
#[derive(Debug, Clone)]
pub(crate) struct PredecessorPlacement {
    /// Its number.
    pub(crate) run: Run,
    /// Workers of the members that are not known to have ended, by name.
    pub(crate) workers: Vec<Option<WorkerId>>,
}

impl PredecessorPlacement {
    /// Stands for a unit that no predecessor started.
    pub(crate) const NONE: Self = Self {
        run: Run(0),
        workers: Vec::new(),
    };

    /// Returns what a predecessor wrote of a unit.
    pub(crate) fn restored(kept: &UnitProgress) -> Self {
        let names = kept.workers.iter();
        let workers = names.map(|name| (!name.as_str().is_empty()).then(|| name.clone()));
        Self {
            run: kept.last_started,
            workers: workers.collect(),
        }
    }

    /// Takes note that a member's run has ended.
    pub(crate) fn mark_ended(&mut self, member: usize, run: Run) {
        if run == self.run
            && let Some(worker) = self.workers.get_mut(member)
        {
            *worker = None;
        }
    }

    /// Takes note that a later start has ended.
    pub(crate) fn clear_if_older(&mut self, run: Run) {
        if run > self.run {
            self.workers.clear();
        }
    }
}

/// Returns the names of the workers of the members that have not ended, each at its position.
///
/// Of a gang that is being ended, the others count too: where one of their workers is lost, a successor has to know
/// which task may have taken it down.
pub(crate) fn member_worker_names<N>(unit: &Unit, name_of: &N) -> Vec<WorkerId>
where
    N: Fn(WorkerKey) -> Option<WorkerId>,
{
    let before = &unit.placed_before;
    let mut names: Vec<_> = match (&unit.state, &unit.reservation) {
        (UnitState::Placed { members, run } | UnitState::Stopping { members, run, .. }, _) => {
            // Of a predecessor's start, members that were not found may have taken their workers down.
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
