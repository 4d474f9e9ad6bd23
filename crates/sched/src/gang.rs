//! Gangs: all members start at once, or none does.

use syc_types::Millis;

use crate::Scheduler;
use crate::StopReason;
use crate::WorkerKey;
use crate::ids::JobKey;
use crate::placement::find_victims;
use crate::units::Place;
use crate::worker::fit_count;

/// A ticket that is good for less than this is asked for anew while room is being made.
const FRESH_MS: u64 = 300;

/// A gang asks about more workers until those that may run it could hold it so many times: with no bound,
/// gangs that lack room take all calls for advice.
pub(crate) const CHOICE: u32 = 3;

/// Workers for the members of a gang, and how many of them each takes.
#[derive(Debug)]
struct Plan {
    workers: Vec<(WorkerKey, u32)>,
    /// Whether running work has to stop first.
    preempts: bool,
}

/// What a worker can take of a gang.
#[derive(Debug)]
struct Offer {
    worker: WorkerKey,
    free: u32,
    with_preemption: u32,
}

impl Scheduler {
    /// Starts a gang if all members have room and tickets, and else works towards that.
    pub(crate) fn serve_gang(&mut self, job: JobKey, step: usize, now: Millis) {
        if self.jobs[job].steps[step].units[0].reservation.is_some() {
            self.serve_reserved_gang(job, step, now);
            return;
        }
        let needs_advice = self.jobs[job].spec.policy.advice.is_some();
        if needs_advice && self.jobs[job].steps[step].advice.calls == 0 {
            self.request_gang_advice(job, step, now);
            return;
        }
        let candidates = self.gang_candidates(job, step, now);
        let Some(plan) = self.plan_gang(job, step, &candidates) else {
            // More room comes as runs end; more workers are asked about only where it can't be enough.
            if !self.could_hold_gang(job, step, &candidates) {
                self.request_gang_advice(job, step, now);
            }
            return;
        };
        if plan.preempts {
            self.preempt_for_gang(job, step, &plan, now);
        }
        self.reserve(job, step, 0, plan.workers, now);
        self.serve_reserved_gang(job, step, now);
    }

    fn serve_reserved_gang(&mut self, job: JobKey, step: usize, now: Millis) {
        let of_step = &self.jobs[job].steps[step];
        let need = of_step.spec.room();
        let Some(reservation) = of_step.units[0].reservation.clone() else {
            return;
        };
        let mut has_room = true;
        let mut stale = Vec::new();
        for (key, count) in &reservation.workers {
            if !self.may_use_reserved(*key, reservation.isolated, now) {
                self.release_reservation(job, step, 0);
                return;
            }
            let worker = &self.workers[*key];
            has_room &= !reservation.isolated || !worker.has_run_on_probation();
            has_room &= need.saturating_mul(*count).fits_in(&worker.free());
            if !self.has_ticket(job, step, *key, now) {
                stale.push(*key);
            }
        }
        if !stale.is_empty() || (!has_room && !self.is_fresh(job, step, &reservation.workers, now))
        {
            let workers: Vec<_> = reservation.workers.iter().map(|(key, _)| *key).collect();
            self.renew_tickets(job, step, &workers, now);
        }
        if has_room && stale.is_empty() {
            let unit = 0;
            if self.ensure_announced(Place { job, step, unit }) {
                let members: Vec<_> = reservation.members().collect();
                self.drop_reservation(job, step, unit);
                self.start_unit(job, step, unit, &members, now);
                return;
            }
        }
        if reservation.until <= now {
            self.release_reservation(job, step, 0);
        }
    }

    fn is_fresh(
        &self,
        job: JobKey,
        step: usize,
        workers: &[(WorkerKey, u32)],
        now: Millis,
    ) -> bool {
        let later = now.plus(FRESH_MS);
        workers
            .iter()
            .all(|(key, _)| self.has_ticket(job, step, *key, later))
    }

    /// Says whether the workers that may run a gang have what it takes some times over, if others left.
    fn could_hold_gang(&self, job: JobKey, step: usize, candidates: &[WorkerKey]) -> bool {
        let spec = &self.jobs[job].steps[step].spec;
        let limit = spec.limit_on_a_worker();
        let mut held = 0;
        for key in candidates {
            held += fit_count(&self.workers[*key].spec.capacity, &spec.room(), limit);
        }
        held >= spec.tasks.saturating_mul(CHOICE)
    }

    /// Returns the workers that may run a gang, whether or not their tickets are still good.
    fn gang_candidates(&self, job: JobKey, step: usize, now: Millis) -> Vec<WorkerKey> {
        let of_job = &self.jobs[job];
        let of_step = &of_job.steps[step];
        let mut candidates =
            self.eligible_workers(of_step.spec.required_label.as_ref(), of_job, now);
        if of_job.spec.policy.advice.is_some() {
            candidates.retain(|key| of_step.advice.tickets.contains_key(key));
        }
        let avoid = self.avoided_workers(job, step, 0, now);
        candidates.retain(|key| !avoid.contains(key));
        if of_step.units[0].crashes() > 0 {
            candidates.retain(|key| !self.workers[*key].has_suspect());
        }
        candidates
    }

    fn plan_gang(&self, job: JobKey, step: usize, candidates: &[WorkerKey]) -> Option<Plan> {
        if self.jobs[job].steps[step].spec.same_rack
            && let Some(plan) = self.plan_in_one_rack(job, step, candidates)
        {
            return Some(plan);
        }
        self.plan_among(job, step, candidates)
    }

    fn plan_in_one_rack(&self, job: JobKey, step: usize, candidates: &[WorkerKey]) -> Option<Plan> {
        let mut racks: Vec<_> = candidates
            .iter()
            .map(|key| &self.workers[*key].spec.rack)
            .collect();
        racks.sort();
        racks.dedup();
        for rack in racks {
            let inside: Vec<_> = candidates
                .iter()
                .copied()
                .filter(|key| self.workers[*key].spec.rack == *rack)
                .collect();
            let plan = self.plan_among(job, step, &inside);
            if plan.is_some() {
                return plan;
            }
        }
        None
    }

    fn plan_among(&self, job: JobKey, step: usize, candidates: &[WorkerKey]) -> Option<Plan> {
        let tasks = self.jobs[job].steps[step].spec.tasks;
        let mut offers = self.offers(job, step, candidates);
        let free: u32 = offers.iter().map(|offer| offer.free).sum();
        let all: u32 = offers.iter().map(|offer| offer.with_preemption).sum();
        if all < tasks {
            return None;
        }
        // Few workers with much room keep the gang's risk of losing one small.
        offers.sort_by_key(|offer| std::cmp::Reverse((offer.free, offer.with_preemption)));
        let preempts = free < tasks;
        let mut left = tasks;
        let mut workers = Vec::new();
        for offer in &offers {
            let count = offer.free.min(left);
            left -= count;
            workers.push((offer.worker, count));
        }
        for (offer, (_, count)) in offers.iter().zip(&mut workers) {
            let more = (offer.with_preemption - offer.free).min(left);
            left -= more;
            *count += more;
        }
        workers.retain(|(_, count)| *count > 0);
        Some(Plan { workers, preempts })
    }

    fn offers(&self, job: JobKey, step: usize, candidates: &[WorkerKey]) -> Vec<Offer> {
        let of_job = &self.jobs[job];
        let spec = &of_job.steps[step].spec;
        let priority = of_job.spec.policy.priority;
        let limit = spec.limit_on_a_worker();
        let id = self.step_id(job, step);
        let mut offers = Vec::new();
        for key in candidates {
            let worker = &self.workers[*key];
            let limit = limit.saturating_sub(worker.count_runs_of(id));
            let free = fit_count(&worker.available(), &spec.room(), limit);
            let mut with_preemption = free;
            while with_preemption < limit {
                let more = spec.room().saturating_mul(with_preemption + 1);
                if find_victims(worker, &more, priority).is_none() {
                    break;
                }
                with_preemption += 1;
            }
            if with_preemption > 0 {
                offers.push(Offer {
                    worker: *key,
                    free,
                    with_preemption,
                });
            }
        }
        offers
    }

    fn preempt_for_gang(&mut self, job: JobKey, step: usize, plan: &Plan, now: Millis) {
        let of_job = &self.jobs[job];
        let need = of_job.steps[step].spec.room();
        let priority = of_job.spec.policy.priority;
        let mut stops = Vec::new();
        for (key, count) in &plan.workers {
            let needed = need.saturating_mul(*count);
            let found = find_victims(&self.workers[*key], &needed, priority);
            for (task, run) in found.unwrap_or_default() {
                stops.push((*key, task, run));
            }
        }
        for (worker, task, run) in stops {
            self.stop_run(worker, task, run, StopReason::Preempted, now);
        }
    }
}
