//! Ends of runs: by completion, an expired lease, a stop, or the end of their gang.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StepId;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::WorkerId;

use super::FleetModel;
use crate::worker::LiveRun;

impl FleetModel {
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let mut broken = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.lease_until_ms > worker.clock_ms(now) {
                continue;
            }
            worker.last_void_end = worker.last_end;
            let at = worker.lease_end().min(now);
            let expired: Vec<_> = worker
                .runs
                .iter()
                .map(|(task, live)| (*task, live.run))
                .collect();
            for (task, run) in expired {
                worker.end(task, RunEnd::Lapsed, at, &mut self.checker);
                broken.push((task.step, run));
            }
        }
        for (step, run) in broken {
            self.break_gang(step, run, now);
        }
    }

    /// Ends the runs whose stop has completed.
    pub(super) fn end_stopped(&mut self, now: Millis) {
        let is_stopped = |_: &TaskId, live: &LiveRun| live.stop_done_at.is_some_and(|at| at <= now);
        self.end_matching(RunEnd::Stopped, now, is_stopped);
    }

    /// Ends gang members that have waited too long for the other members.
    pub(super) fn end_incomplete_gangs(&mut self, now: Millis) {
        let wait_ms = self.limits.gang_wait_ms;
        if wait_ms == u64::MAX {
            return;
        }
        let complete = self.complete_gangs();
        let has_timed_out = |task: &TaskId, live: &LiveRun| {
            let waits = live.gang && !complete.contains(&(task.step, live.run));
            waits && now.since(live.started_at) >= wait_ms
        };
        self.end_matching(RunEnd::Alone, now, has_timed_out);
    }

    /// Ends the runs that match a predicate, and the gangs that they belong to.
    fn end_matching<F>(&mut self, end: RunEnd, now: Millis, is_match: F)
    where
        F: Fn(&TaskId, &LiveRun) -> bool,
    {
        let mut broken = Vec::new();
        for worker in self.workers.values_mut() {
            let ended: Vec<_> = worker
                .runs
                .iter()
                .filter(|(task, live)| is_match(task, live))
                .map(|(task, live)| (*task, live.run))
                .collect();
            for (task, run) in ended {
                worker.end(task, end, now, &mut self.checker);
                broken.push((task.step, run));
            }
        }
        for (step, run) in broken {
            self.break_gang(step, run, now);
        }
    }

    /// Returns the gangs whose members are all running.
    pub(super) fn complete_gangs(&self) -> BTreeSet<(StepId, Run)> {
        let mut present: BTreeMap<(StepId, Run), BTreeSet<u32>> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, live) in &worker.runs {
                let members = present.entry((task.step, live.run)).or_default();
                members.insert(task.index);
            }
        }
        let mut complete = BTreeSet::new();
        for ((step, run), members) in present {
            let first = TaskId { step, index: 0 };
            let spec = self.checker.step_of(first);
            let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
            if spec.is_some_and(|spec| spec.tasks == count) {
                complete.insert((step, run));
            }
        }
        complete
    }

    /// Returns the speed in percent and the index of the slowest member of each gang whose members are all running.
    pub(super) fn slowest_members(&self) -> BTreeMap<(StepId, Run), (u64, u32)> {
        let complete = self.complete_gangs();
        let mut slowest = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, live) in worker.runs.iter().filter(|(_, live)| live.gang) {
                let gang = (task.step, live.run);
                if !complete.contains(&gang) {
                    continue;
                }
                let member = (worker.speed_percent, task.index);
                let so_far = slowest.entry(gang).or_insert(member);
                *so_far = member.min(*so_far);
            }
        }
        slowest
    }

    /// Returns the workers of each running gang that has members on several workers.
    #[must_use]
    pub fn spread_gangs(&self) -> Vec<BTreeSet<WorkerId>> {
        let mut places: BTreeMap<(StepId, Run), BTreeSet<WorkerId>> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, live) in worker.runs.iter().filter(|(_, live)| live.gang) {
                let place = places.entry((task.step, live.run)).or_default();
                place.insert(worker.id.clone());
            }
        }
        let spread = places.into_values().filter(|place| place.len() > 1);
        spread.collect()
    }

    pub(super) fn finish_run(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        run: Run,
        gang: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(live) = worker.runs.get(&task).filter(|live| live.run == run) else {
            return;
        };
        let failed = self.failed_runs.entry(task).or_default();
        let fails = *failed < live.plan.failing_runs;
        *failed += u32::from(fails);
        let end = if fails { RunEnd::Failed } else { RunEnd::Done };
        worker.end(task, end, now, &mut self.checker);
        if !gang {
            return;
        }
        if fails {
            self.break_gang(task.step, run, now);
        } else {
            self.finish_gang(task.step, run, now);
        }
    }

    /// Ends the other members of a gang after one member has ended without success.
    fn break_gang(&mut self, step: StepId, run: Run, now: Millis) {
        self.end_members(step, run, RunEnd::Broken, now);
    }

    /// Ends the other members of a gang that has completed.
    fn finish_gang(&mut self, step: StepId, run: Run, now: Millis) {
        self.end_members(step, run, RunEnd::Done, now);
    }

    fn end_members(&mut self, step: StepId, run: Run, end: RunEnd, now: Millis) {
        for worker in self.workers.values_mut() {
            let members: Vec<_> = worker
                .runs
                .iter()
                .filter(|(task, live)| task.step == step && live.run == run && live.gang)
                .map(|(task, _)| *task)
                .collect();
            for task in members {
                worker.end(task, end, now, &mut self.checker);
            }
        }
    }
}
