//! Gang scheduling: all members start together, or none does.

use syc_types::Millis;

use crate::Scheduler;
use crate::StopReason;
use crate::WorkerKey;
use crate::ids::JobKey;
use crate::placement::find_victims;
use crate::run_ends::UnitRef;
use crate::worker::fit_count;

/// While a gang waits for capacity to be freed, tickets that are valid for less than this are renewed.
const MIN_TICKET_VALIDITY_MS: u64 = 300;

/// A gang requests advice about more workers until the total capacity of the allowed ones is this many times
/// its demand. Without a bound, gangs that lack capacity would use up all advice calls.
pub(crate) const CANDIDATE_CAPACITY_FACTOR: u32 = 3;

/// Placement of a gang: the workers and the number of members on each.
#[derive(Debug)]
struct Plan {
    workers: Vec<(WorkerKey, u32)>,
    /// Whether running work has to be preempted first.
    preempts: bool,
}

/// Number of gang members that a worker can run.
#[derive(Debug, Clone)]
struct Offer {
    worker: WorkerKey,
    free: u32,
    with_preemption: u32,
}

impl Scheduler {
    /// Starts a gang if there are capacity and tickets for all members. Otherwise reserves capacity, preempts work
    /// or requests advice.
    pub(crate) fn schedule_gang(&mut self, job_key: JobKey, step_index: usize, now: Millis) {
        if self.jobs[job_key].steps[step_index].units[0]
            .reservation
            .is_some()
        {
            self.start_reserved_gang(job_key, step_index, now);
            return;
        }
        // A late start of a member would run beside the next one, wherever that is.
        if self.has_unsettled_start(job_key, step_index, 0) {
            return;
        }
        if self.is_capped(job_key, step_index, now) {
            return;
        }
        if self.jobs[job_key].is_excess && self.would_use_headroom(job_key, step_index) {
            return;
        }
        let needs_advice = self.jobs[job_key].spec.policy.advice.is_some();
        if needs_advice && self.jobs[job_key].steps[step_index].advice.call_count == 0 {
            self.request_gang_advice(job_key, step_index, now);
            return;
        }
        let candidates = self.gang_candidates(job_key, step_index, now);
        let Some(plan) = self.plan_gang(job_key, step_index, &candidates, now) else {
            // Ending runs free capacity, so more workers are queried only if that cannot suffice.
            if !self.has_capacity_for_gang(job_key, step_index, &candidates) {
                self.request_gang_advice(job_key, step_index, now);
            }
            return;
        };
        if plan.preempts {
            self.preempt_for_gang(job_key, step_index, &plan, now);
        }
        self.reserve(job_key, step_index, 0, plan.workers, now);
        self.start_reserved_gang(job_key, step_index, now);
    }

    fn start_reserved_gang(&mut self, job_key: JobKey, step_index: usize, now: Millis) {
        let step = &self.jobs[job_key].steps[step_index];
        let need = step.spec.reserved_resources();
        let Some(reservation) = step.units[0].reservation.clone() else {
            return;
        };
        let mut has_capacity = self.cap_allows_start(job_key, step_index);
        let mut stale = Vec::new();
        for (key, count) in &reservation.workers {
            if !self.may_use_reserved(*key, reservation.isolated, now) {
                self.release_reservation(job_key, step_index, 0);
                return;
            }
            let worker = &self.workers[*key];
            has_capacity &= !reservation.isolated || !worker.has_run_on_probation();
            let all = need.saturating_mul(*count);
            has_capacity &= all.fits_in(&worker.free());
            has_capacity &= all.fits_in(&self.room_of_next_life(worker));
            if !self.has_ticket(job_key, step_index, *key, now) {
                stale.push(*key);
            }
        }
        if !stale.is_empty()
            || (!has_capacity
                && !self.tickets_stay_valid(job_key, step_index, &reservation.workers, now))
        {
            let workers: Vec<_> = reservation.workers.iter().map(|(key, _)| *key).collect();
            self.renew_tickets(job_key, step_index, &workers, now);
        }
        if has_capacity && stale.is_empty() {
            let unit = 0;
            if self.ensure_announced(UnitRef {
                job: job_key,
                step: step_index,
                unit,
            }) {
                let members: Vec<_> = reservation.members().collect();
                self.drop_reservation(job_key, step_index, unit);
                self.start_unit(job_key, step_index, unit, &members, now);
                return;
            }
        }
        if reservation.until <= now {
            self.release_reservation(job_key, step_index, 0);
        }
    }

    fn tickets_stay_valid(
        &self,
        job_key: JobKey,
        step_index: usize,
        workers: &[(WorkerKey, u32)],
        now: Millis,
    ) -> bool {
        let later = now.plus(MIN_TICKET_VALIDITY_MS);
        workers
            .iter()
            .all(|(key, _)| self.has_ticket(job_key, step_index, *key, later))
    }

    /// Returns whether the total capacity of the candidates, if idle, is a multiple of the gang's demand.
    fn has_capacity_for_gang(
        &self,
        job_key: JobKey,
        step_index: usize,
        candidates: &[WorkerKey],
    ) -> bool {
        let spec = &self.jobs[job_key].steps[step_index].spec;
        let limit = spec.max_tasks_per_worker();
        let mut held = 0;
        for key in candidates {
            held += fit_count(
                &self.workers[*key].spec.capacity,
                &spec.reserved_resources(),
                limit,
            );
        }
        held >= spec.tasks.saturating_mul(CANDIDATE_CAPACITY_FACTOR)
    }

    /// Returns the workers that may run a gang, including those whose tickets have expired.
    fn gang_candidates(&self, job_key: JobKey, step_index: usize, now: Millis) -> Vec<WorkerKey> {
        let job = &self.jobs[job_key];
        let step = &job.steps[step_index];
        let mut candidates = self.eligible_workers(step.spec.required_label.as_ref(), job, now);
        if job.spec.policy.advice.is_some() {
            candidates.retain(|key| step.advice.tickets.contains_key(key));
        }
        let avoid = self.avoided_workers(job_key, step_index, 0, now);
        candidates.retain(|key| !avoid.contains(key));
        if step.units[0].crashes() > 0 {
            candidates.retain(|key| !self.workers[*key].has_suspect());
        }
        candidates
    }

    fn plan_gang(
        &self,
        job_key: JobKey,
        step_index: usize,
        candidates: &[WorkerKey],
        now: Millis,
    ) -> Option<Plan> {
        if self.jobs[job_key].steps[step_index].spec.same_rack
            && let Some(plan) = self.plan_in_one_rack(job_key, step_index, candidates, now)
        {
            return Some(plan);
        }
        self.plan_on(job_key, step_index, candidates, now)
    }

    fn plan_in_one_rack(
        &self,
        job_key: JobKey,
        step_index: usize,
        candidates: &[WorkerKey],
        now: Millis,
    ) -> Option<Plan> {
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
            let plan = self.plan_on(job_key, step_index, &inside, now);
            if plan.is_some() {
                return plan;
            }
        }
        None
    }

    fn plan_on(
        &self,
        job_key: JobKey,
        step_index: usize,
        candidates: &[WorkerKey],
        now: Millis,
    ) -> Option<Plan> {
        let spec = &self.jobs[job_key].steps[step_index].spec;
        let tasks = spec.tasks;
        let offers = self.offers(job_key, step_index, candidates);
        let has_slow = candidates.iter().any(|key| self.is_slow_worker(*key));
        if !has_slow || !self.places_by_speed() || spec.long_running {
            return plan_offers(tasks, offers);
        }
        let (slow, fast): (Vec<_>, Vec<_>) = offers
            .into_iter()
            .partition(|offer| self.is_slow_worker(offer.worker));
        if free_members(&fast) >= tasks {
            return plan_offers(tasks, fast);
        }
        let avoids_slow = self.gang_avoids_slow(job_key, step_index, now);
        if !avoids_slow && free_members(&slow) >= tasks {
            return plan_offers(tasks, slow);
        }
        if avoids_slow && self.ends_in_time_on_fast(job_key, step_index, now) {
            let could_hold = self.fast_members(job_key, step_index, candidates) >= tasks;
            let plan = plan_offers(tasks, fast.clone());
            if plan.is_some() || could_hold {
                return plan;
            }
        }
        plan_offers(tasks, [fast, slow].concat())
    }

    /// Returns how many members of a gang the candidates that are not slow could run if they were idle.
    fn fast_members(&self, job_key: JobKey, step_index: usize, candidates: &[WorkerKey]) -> u32 {
        let spec = &self.jobs[job_key].steps[step_index].spec;
        let need = spec.reserved_resources();
        let limit = spec.max_tasks_per_worker();
        let fast = candidates.iter().filter(|key| !self.is_slow_worker(**key));
        let members = fast.map(|key| fit_count(&self.workers[*key].spec.capacity, &need, limit));
        members.fold(0, u32::saturating_add)
    }

    fn offers(&self, job_key: JobKey, step_index: usize, candidates: &[WorkerKey]) -> Vec<Offer> {
        let job = &self.jobs[job_key];
        let spec = &job.steps[step_index].spec;
        let priority = job.spec.policy.priority;
        let limit = spec.max_tasks_per_worker();
        let id = self.step_id(job_key, step_index);
        let mut offers = Vec::new();
        for key in candidates {
            let worker = &self.workers[*key];
            let limit = limit.saturating_sub(worker.count_runs_of(id));
            let next_life = self.room_of_next_life(worker);
            let limit = fit_count(&next_life, &spec.reserved_resources(), limit);
            let free = fit_count(&worker.available(), &spec.reserved_resources(), limit);
            let mut with_preemption = free;
            while self.may_preempt(job_key) && with_preemption < limit {
                let more = spec
                    .reserved_resources()
                    .saturating_mul(with_preemption + 1);
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

    fn preempt_for_gang(&mut self, job_key: JobKey, step_index: usize, plan: &Plan, now: Millis) {
        let job = &self.jobs[job_key];
        let need = job.steps[step_index].spec.reserved_resources();
        let priority = job.spec.policy.priority;
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

/// Returns the number of gang members for which there is room without preemption.
fn free_members(offers: &[Offer]) -> u32 {
    offers.iter().map(|offer| offer.free).sum()
}

/// Distributes the members of a gang over the workers that offer room, or returns `None` if there is not enough.
fn plan_offers(tasks: u32, mut offers: Vec<Offer>) -> Option<Plan> {
    let free = free_members(&offers);
    let all: u32 = offers.iter().map(|offer| offer.with_preemption).sum();
    if all < tasks {
        return None;
    }
    // Using few workers with much free capacity minimises the risk that the gang loses one.
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
