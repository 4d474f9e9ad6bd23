//! Ends patient work for urgent work, within a budget of lost work.

use syc_types::Class;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;

use crate::Action;
use crate::Owner;
use crate::Tier;
use crate::WorkerKey;
use crate::owner::Phase;
use crate::owner::Stopping;
use crate::owner::Task;
use crate::owner::UnitKey;

/// Share of the pool's processor time that may be lost where only waiting time has weight.
pub(super) const MOST_LOSS_PERMILLE: u64 = 20;

/// Time over which an unused budget adds up.
const BUDGET_WINDOW_MS: u64 = 600_000;

/// Pause before more work is ended for an offer that still waits.
const PREEMPT_PAUSE_MS: u64 = 1_000;

/// Work that may be lost, in thousandths of a core times milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LossBudget {
    share_permille: u64,
    spent: u128,
    since: Millis,
}

impl LossBudget {
    /// Sets the share of the pool that may be lost.
    pub(super) const fn set_share(&mut self, permille: u64) {
        self.share_permille = permille;
    }

    fn take(&mut self, lost: u128, pool_cpu_millis: u64, now: Millis) -> bool {
        let each_ms = u128::from(pool_cpu_millis) * u128::from(self.share_permille) / 1_000;
        let refilled = each_ms * u128::from(now.since(self.since));
        let spent = self.spent.saturating_sub(refilled);
        self.spent = spent;
        self.since = now;
        if spent + lost > each_ms * u128::from(BUDGET_WINDOW_MS) {
            return false;
        }
        self.spent = spent + lost;
        true
    }
}

/// Tasks of one worker whose end makes room, and the work that is lost by it.
struct Victims {
    worker: WorkerKey,
    tasks: Vec<TaskRef>,
    lost: u128,
}

impl Owner {
    /// Ends patient, idempotent tasks where that makes room for one waiting task of an urgent
    /// offer with the least work lost.
    pub(super) fn preempt_for(&mut self, key: UnitKey, now: Millis, actions: &mut Vec<Action>) {
        let unit = &self.units[key];
        if now < unit.preempt_after {
            return;
        }
        let need = unit.spec.resources;
        let mut least: Option<Victims> = None;
        for (worker, _) in self.ledger.workers() {
            let Some(victims) = self.victims_on(worker, &need, now) else {
                continue;
            };
            if least.as_ref().is_none_or(|least| victims.lost < least.lost) {
                least = Some(victims);
            }
        }
        self.units[key].preempt_after = now.plus(PREEMPT_PAUSE_MS);
        let Some(victims) = least else { return };
        let pool = self.shares.pool().cpu_millis;
        if !self.losses.take(victims.lost, pool, now) {
            return;
        }
        for task in victims.tasks {
            if let Some(state) = self.tasks.get_mut(&task) {
                state.stopping = Some((Stopping::Preempted, now));
                if let Some(worker) = self.workers.get_mut(state.worker) {
                    worker.watched = true;
                }
            }
            actions.push(Action::Stop {
                worker: victims.worker,
                task,
                checkpoint: true,
            });
        }
    }

    fn victims_on(&self, worker: WorkerKey, need: &Resources, now: Millis) -> Option<Victims> {
        if !self.is_usable(worker) {
            return None;
        }
        let mut room = self.ledger.room_for(worker, Tier::Urgent)?;
        let mut candidates = Vec::new();
        for task in &self.workers.get(worker)?.tasks {
            let Some(state) = self.tasks.get(task) else {
                continue;
            };
            if matches!(state.stopping, Some((Stopping::Preempted, _))) {
                // Its room is on the way already.
                room = room.checked_add(&state.resources).ok()?;
            } else if may_end(state) {
                candidates.push((lost_work(state, now), *task, state.resources));
            }
        }
        candidates.sort_unstable_by_key(|(lost, task, _)| (*lost, *task));
        let mut victims = Victims {
            worker,
            tasks: Vec::new(),
            lost: 0,
        };
        for (lost, task, freed) in candidates {
            if need.fits_in(&room) {
                break;
            }
            room = room.checked_add(&freed).ok()?;
            victims.tasks.push(task);
            victims.lost += lost;
        }
        need.fits_in(&room).then_some(victims)
    }
}

fn may_end(state: &Task) -> bool {
    let patient = state.spec.as_ref().map(|spec| spec.class) == Some(Class::Patient);
    let runs = matches!(state.phase, Phase::Running { .. });
    patient && runs && state.idempotent && state.stopping.is_none()
}

fn lost_work(state: &Task, now: Millis) -> u128 {
    u128::from(state.resources.cpu_millis) * u128::from(now.since(state.since))
}
