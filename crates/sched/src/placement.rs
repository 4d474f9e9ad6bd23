//! The scheduling pass over all waiting tasks: in which order they are considered, and on which worker each starts.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;

use crate::Action;
use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::crash_history::Probation;
use crate::ids::JobKey;
use crate::run_ends::UnitRef;
use crate::unit::Reservation;
use crate::unit::UnitState;
use crate::waiting::WaitingStep;
use crate::worker::Phase;
use crate::worker::Worker;
use crate::worker::WorkerRun;

/// Maximum number of units of a step for which running work is preempted in one pass.
const PREEMPTIONS_PER_PASS: u32 = 4;

impl Scheduler {
    /// Runs a scheduling pass over every waiting task and returns the actions to perform.
    pub fn schedule(&mut self, now: Millis) -> Vec<Action> {
        self.held_tasks = None;
        self.room_in_doubt = self.unsettled_starts.room_in_doubt();
        self.measure_headroom(now);
        self.measure_workspaces();
        self.recount_rates();
        let waiting = self.waiting_steps(now);
        for WaitingStep { job, step, .. } in waiting.iter().copied() {
            if self.jobs[job].steps[step].spec.gang {
                self.schedule_gang(job, step, now);
            } else {
                self.place_tasks(job, step, now);
            }
            self.log_waiting(job, step, now);
        }
        self.refresh_forecast(&waiting, now);
        std::mem::take(&mut self.actions)
    }

    fn place_tasks(&mut self, job: JobKey, step: usize, now: Millis) {
        let allowed = self.currently_allowed_workers(job, step, now);
        let mut preemptions = 0;
        let mut is_capped = false;
        let startable = self.startable_units(job, step);
        for unit in 0..self.jobs[job].steps[step].units.len() {
            let is_pending = self.jobs[job].steps[step].units[unit].state == UnitState::Pending;
            if !is_pending || !startable.includes(unit) || self.is_unit_awaited(job, step, unit) {
                continue;
            }
            if self.jobs[job].steps[step].units[unit].reservation.is_some() {
                self.place_reserved_task(job, step, unit, now);
                continue;
            }
            if is_capped || self.is_capped(job, step, now) {
                is_capped = true;
                continue;
            }
            if self.would_use_headroom(job, step) {
                break;
            }
            let has_unsettled_start = self.has_unsettled_start(job, step, unit);
            let beside_unsettled = if has_unsettled_start {
                self.workers_beside_unsettled(job, step, unit, &allowed)
            } else {
                Vec::new()
            };
            let allowed = if has_unsettled_start {
                &beside_unsettled
            } else {
                &allowed
            };
            let fitting = self.fitting_workers(job, step, unit, allowed, now);
            if self.jobs[job].steps[step].units[unit].crashes() > 0 && !fitting.is_empty() {
                self.place_suspect(UnitRef { job, step, unit }, &fitting, now);
                continue;
            }
            if let Some(worker) = self.pick_worker(job, step, &fitting, now) {
                self.start_unit(job, step, unit, &[worker], now);
                continue;
            }
            // A worker with enough capacity is expected to answer shortly, so nothing is preempted.
            if fitting.iter().any(|key| self.is_awaiting_answer(*key)) {
                return;
            }
            let may_preempt =
                preemptions < PREEMPTIONS_PER_PASS && !self.jobs[job].steps[step].spec.fills;
            if may_preempt
                && self.may_preempt(job)
                && self.preempt_for(job, step, unit, allowed, now)
            {
                preemptions += 1;
                continue;
            }
            if has_unsettled_start {
                continue;
            }
            // Units of a step have the same needs, so if one does not fit, neither does the next, unless this one
            // avoids workers on which it failed.
            if self.jobs[job].steps[step].units[unit]
                .avoided_workers
                .is_empty()
            {
                break;
            }
        }
        if self.jobs[job].steps[step].pending_units > 0 && !is_capped {
            self.request_task_advice(job, step, now);
        }
    }

    /// Returns whether the cap of its workspace keeps the next unit of a step from starting. What the unit needs is then
    /// kept free of less urgent units of the workspace.
    pub(crate) fn is_capped(&mut self, job: JobKey, step: usize, now: Millis) -> bool {
        let is_capped = !self.cap_allows(job, step);
        if is_capped {
            self.claim_cap(job, step, now);
        }
        let step = &mut self.jobs[job].steps[step];
        if is_capped {
            step.capped_since.get_or_insert(now);
            step.claims_since.get_or_insert(now);
        } else {
            step.capped_since = None;
        }
        is_capped
    }

    /// Returns whether a worker accepts no more starts until its next answer, which is expected shortly.
    fn is_awaiting_answer(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        !worker.may_take_start() && worker.breaker.is_healthy()
    }

    /// Picks the worker with the best fit among those that have room for the task and may be sent another start. Where
    /// workers differ clearly in speed, the task's slack decides which of them are compared first.
    fn pick_worker(
        &self,
        job: JobKey,
        step: usize,
        fitting: &[WorkerKey],
        now: Millis,
    ) -> Option<WorkerKey> {
        let spec = &self.jobs[job].steps[step].spec;
        let may_take_start = |key: &WorkerKey| self.workers[*key].may_take_start();
        // Workers about to answer are compared too, so that the task waits for a better one.
        let is_candidate = |key: &WorkerKey| may_take_start(key) || self.is_awaiting_answer(*key);
        let mut candidates: Vec<_> = fitting.iter().copied().filter(is_candidate).collect();
        let is_outside_rack =
            |key: &WorkerKey| is_outside_rack(&self.workers[*key], spec.data_rack.as_ref());
        if spec.data_rack.is_some() && !candidates.iter().all(is_outside_rack) {
            candidates.retain(|key| !is_outside_rack(key));
        }
        if spec.fills {
            candidates.retain(may_take_start);
            return self.pick_backfill_worker(job, step, &candidates, now);
        }
        if candidates.iter().any(|key| !self.awaits_maintenance(*key)) {
            candidates.retain(|key| !self.awaits_maintenance(*key));
        }
        candidates.retain(may_take_start);
        let need = spec.reserved_resources();
        let is_latency_bound = spec.tail_limit_ms.is_some();
        let preference = self.speed_preference(job, step, now);
        candidates.into_iter().min_by_key(|key| {
            let worker = &self.workers[*key];
            // Runs with a latency limit disturb each other, so they are spread over workers.
            let others = if is_latency_bound {
                worker.latency_bound_runs()
            } else {
                0
            };
            (
                preference.rank(worker.speed.is_slow()),
                others,
                leftover_permille(worker, &worker.available(), &need),
            )
        })
    }

    /// Returns the allowed workers on which a task with an unsettled start may be started.
    fn workers_beside_unsettled(
        &self,
        job: JobKey,
        step: usize,
        unit: usize,
        allowed: &[WorkerKey],
    ) -> Vec<WorkerKey> {
        let id = self.step_id(job, step);
        let task = self.jobs[job].steps[step].task_at(id, unit, 0);
        let allowed = allowed.iter().copied();
        let may_start = |key: &WorkerKey| self.may_start_beside_unsettled(task, *key);
        allowed.filter(may_start).collect()
    }

    /// Returns the allowed workers that have room for a unit's task and may run it.
    fn fitting_workers(
        &self,
        job: JobKey,
        step: usize,
        unit: usize,
        allowed: &[WorkerKey],
        now: Millis,
    ) -> Vec<WorkerKey> {
        let need = self.jobs[job].steps[step].spec.reserved_resources();
        let avoid = self.avoided_workers(job, step, unit, now);
        let is_suspected = self.jobs[job].steps[step].units[unit].crashes() > 0;
        let mut fitting = Vec::new();
        for key in allowed {
            let worker = &self.workers[*key];
            if !need.fits_in(&worker.available()) || avoid.contains(key) {
                continue;
            }
            if !self.fits_on_next_life(worker, job, step, unit) {
                continue;
            }
            // With two suspects on one worker, the next crash would not show which of them caused it.
            if is_suspected && worker.has_suspect() {
                continue;
            }
            if self.is_below_task_limit(*key, job, step, unit) {
                fitting.push(*key);
            }
        }
        fitting
    }

    /// Returns whether the next life of a worker would have room for a unit's task beside the starts that it may carry out
    /// late. The room of the task's own starts is counted already, and a worker runs a task once.
    fn fits_on_next_life(&self, worker: &Worker, job: JobKey, step: usize, unit: usize) -> bool {
        let need = self.jobs[job].steps[step].spec.reserved_resources();
        need.fits_in(&self.room_of_next_life(worker)) || self.has_unsettled_start(job, step, unit)
    }

    /// Returns the workers that a unit avoids for now because it failed on them.
    pub(crate) fn avoided_workers(
        &self,
        job: JobKey,
        step: usize,
        unit: usize,
        now: Millis,
    ) -> &[WorkerKey] {
        let of_step = &self.jobs[job].steps[step];
        let waited_ms = now.since(of_step.ready_at.unwrap_or(now));
        if waited_ms > self.options.avoid_failed_workers_ms {
            return &[];
        }
        &of_step.units[unit].avoided_workers
    }

    /// Returns whether a worker may run another task of a step. Its runs and the reservations for other units both
    /// count towards the limit.
    fn is_below_task_limit(
        &self,
        worker: WorkerKey,
        job: JobKey,
        step: usize,
        unit: usize,
    ) -> bool {
        let of_step = &self.jobs[job].steps[step];
        let Some(limit) = of_step.spec.tasks_per_worker else {
            return true;
        };
        let mut tasks = self.workers[worker].count_runs_of(self.step_id(job, step));
        for (index, other) in of_step.units.iter().enumerate() {
            let Some(reservation) = other.reservation.as_ref().filter(|_| index != unit) else {
                continue;
            };
            let here = reservation.workers.iter().filter(|(key, _)| *key == worker);
            tasks += here.map(|(_, count)| *count).sum::<u32>();
        }
        tasks < limit
    }

    /// Returns whether the work of a job may preempt runs. Excess work waits for what ends by itself, so it never
    /// preempts guaranteed work.
    pub(crate) fn may_preempt(&self, job: JobKey) -> bool {
        !self.jobs[job].is_excess
    }

    /// Preempts less urgent runs on one worker and reserves the resources for a unit.
    fn preempt_for(
        &mut self,
        job: JobKey,
        step: usize,
        unit: usize,
        allowed: &[WorkerKey],
        now: Millis,
    ) -> bool {
        let of_job = &self.jobs[job];
        let priority = of_job.spec.policy.priority;
        let need = of_job.steps[step].spec.reserved_resources();
        let avoid = self.avoided_workers(job, step, unit, now);
        let mut best: Option<(WorkerKey, Victims)> = None;
        for key in allowed {
            let worker = &self.workers[*key];
            let avoided = avoid.contains(key)
                || !worker.may_take_start()
                || !self.fits_on_next_life(worker, job, step, unit);
            if avoided || !self.is_below_task_limit(*key, job, step, unit) {
                continue;
            }
            let Some(victims) = find_victims(worker, &need, priority) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, least)| victims.len() < least.len())
            {
                best = Some((*key, victims));
            }
        }
        let Some((worker, victims)) = best else {
            return false;
        };
        for (task, run) in victims {
            self.stop_run(worker, task, run, StopReason::Preempted, now);
        }
        self.reserve(job, step, unit, vec![(worker, 1)], now);
        true
    }

    /// Reserves resources for a unit.
    pub(crate) fn reserve(
        &mut self,
        job: JobKey,
        step: usize,
        unit: usize,
        workers: Vec<(WorkerKey, u32)>,
        now: Millis,
    ) {
        let of_step = &self.jobs[job].steps[step];
        let need = of_step.spec.reserved_resources();
        let isolated = of_step.units[unit].is_isolated();
        let suspected = of_step.units[unit].crashes() > 0;
        let cap_need = self.cap_need(job, step);
        self.workspaces.reserve(self.jobs[job].workspace, &cap_need);
        for (worker, count) in &workers {
            let worker = &mut self.workers[*worker];
            worker.reserved = worker.reserved.saturating_add(&need.saturating_mul(*count));
            worker.reserved_suspects += u32::from(suspected);
            worker.reserved_isolations += u32::from(isolated);
        }
        let until = now.plus(self.options.reservation_limit_ms);
        let unit = &mut self.jobs[job].steps[step].units[unit];
        unit.reservation = Some(Reservation {
            workers,
            until,
            suspected,
            isolated,
        });
    }

    /// Releases the reservation of a unit and retracts its announced placement.
    pub(crate) fn release_reservation(&mut self, job: JobKey, step: usize, unit: usize) {
        self.retract_announcement(UnitRef { job, step, unit });
        self.drop_reservation(job, step, unit);
    }

    /// Releases the reservation of a unit, but keeps its announced placement.
    pub(crate) fn drop_reservation(&mut self, job: JobKey, step: usize, unit: usize) {
        let of_step = &mut self.jobs[job].steps[step];
        let need = of_step.spec.reserved_resources();
        let Some(reservation) = of_step.units[unit].reservation.take() else {
            return;
        };
        let cap_need = self.cap_need(job, step);
        self.workspaces.release(self.jobs[job].workspace, &cap_need);
        for (worker, count) in reservation.workers {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.reserved = worker.reserved.saturating_sub(&need.saturating_mul(count));
                worker.reserved_suspects -= u32::from(reservation.suspected);
                worker.reserved_isolations -= u32::from(reservation.isolated);
            }
        }
    }

    /// Releases all reservations of a job.
    pub(crate) fn release_reservations(&mut self, job: JobKey) {
        for step in 0..self.jobs[job].steps.len() {
            for unit in 0..self.jobs[job].steps[step].units.len() {
                self.release_reservation(job, step, unit);
            }
        }
    }

    /// Returns whether a worker may be sent the unit that it has a reservation for.
    pub(crate) fn may_use_reserved(&self, key: WorkerKey, isolated: bool, now: Millis) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            if isolated {
                worker.is_usable_for_isolation(now)
            } else {
                worker.is_usable(now)
            }
        })
    }

    pub(crate) fn place_reserved_task(
        &mut self,
        job: JobKey,
        step: usize,
        unit: usize,
        now: Millis,
    ) {
        let of_step = &self.jobs[job].steps[step];
        let need = of_step.spec.reserved_resources();
        let Some(reservation) = &of_step.units[unit].reservation else {
            return;
        };
        let expired = reservation.until <= now;
        let Some((worker, _)) = reservation.workers.first().copied() else {
            return;
        };
        let isolated = reservation.isolated;
        let usable = self.may_use_reserved(worker, isolated, now);
        let is_clear = usable && !(isolated && self.workers[worker].has_run_on_probation());
        let has_room = is_clear
            && need.fits_in(&self.workers[worker].free())
            && self.fits_on_next_life(&self.workers[worker], job, step, unit);
        let fits = has_room && self.cap_allows_start(job, step);
        if fits && self.is_below_task_limit(worker, job, step, unit) {
            if !self.has_ticket(job, step, worker, now) {
                self.renew_tickets(job, step, &[worker], now);
            } else if self.ensure_announced(UnitRef { job, step, unit }) {
                self.drop_reservation(job, step, unit);
                self.start_unit(job, step, unit, &[worker], now);
                return;
            }
        }
        if expired || !usable {
            self.release_reservation(job, step, unit);
        }
    }

    /// Returns whether there is a ticket valid for long enough to start a task of a step on a worker, if it needs one.
    pub(crate) fn has_ticket(
        &self,
        job: JobKey,
        step: usize,
        worker: WorkerKey,
        now: Millis,
    ) -> bool {
        let job = &self.jobs[job];
        if job.spec.policy.advice.is_none() {
            return true;
        }
        let ticket = job.steps[step].advice.tickets.get(&worker);
        let valid_from = now.plus(self.options.ticket_margin_ms);
        ticket.is_some_and(|ticket| ticket.valid_until >= valid_from)
    }

    /// Starts a unit, each member on its own entry of `workers`.
    pub(crate) fn start_unit(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        unit_index: usize,
        workers: &[WorkerKey],
        now: Millis,
    ) {
        let place = UnitRef {
            job: job_key,
            step: step_index,
            unit: unit_index,
        };
        if self.unit_mut(place).exceeds_crash_limit() {
            self.fail_if_exhausted(place, now);
            return;
        }
        let id = self.step_id(job_key, step_index);
        for (member, worker) in workers.iter().enumerate() {
            let task = self.jobs[job_key].steps[step_index].task_at(id, unit_index, member);
            // An earlier run of the task is still being stopped on some worker and has to end first.
            if self.is_held(task) || !self.may_start_beside_unsettled(task, *worker) {
                return;
            }
        }
        // Whoever starts a unit has asked that before, but nothing may start beyond the cap.
        if !self.cap_allows_start(job_key, step_index) {
            return;
        }
        let cap_need = self.cap_need(job_key, step_index);
        let job = &mut self.jobs[job_key];
        self.workspaces.consume(job.workspace, &cap_need);
        let step = &mut job.steps[step_index];
        step.capped_since = None;
        step.claims_since = None;
        let unit = &mut step.units[unit_index];
        let run = match unit.start_intent.take() {
            Some(_) => unit.last_started,
            None => unit.last_started.max(unit.last_accounted).next(),
        };
        unit.last_started = run;
        unit.state = UnitState::Placed {
            run,
            members: workers.iter().copied().map(Some).collect(),
        };
        step.pending_units -= 1;
        for (member, worker) in workers.iter().enumerate() {
            let task = self.jobs[job_key].steps[step_index].task_at(id, unit_index, member);
            self.start_member(job_key, step_index, *worker, task, run, now);
        }
        self.mark_changed(job_key);
    }

    /// Returns whether a run of a task was on some worker when this pass first asked that.
    ///
    /// A start does not look at every worker: with thousands of workers, a wide gang would take a noticeable time.
    fn is_held(&mut self, task: TaskId) -> bool {
        let workers = &self.workers;
        let examined = &self.examined;
        let held = self.held_tasks.get_or_insert_with(|| {
            let count = u64::try_from(workers.len()).unwrap_or(u64::MAX);
            examined.set(examined.get() + count);
            let runs = workers.values().flat_map(|worker| worker.runs.keys());
            runs.map(|(task, _)| *task).collect()
        });
        held.contains(&task)
    }

    fn start_member(
        &mut self,
        job: JobKey,
        step: usize,
        worker: WorkerKey,
        task: TaskId,
        run: Run,
        now: Millis,
    ) {
        let of_job = &self.jobs[job];
        let of_step = &of_job.steps[step];
        let ticket = of_step.advice.tickets.get(&worker);
        let ticket = ticket.map_or_else(SmolStr::default, |ticket| ticket.text.clone());
        let unit = of_step
            .unit_of(task.index)
            .map(|(unit, _)| &of_step.units[unit]);
        let held = WorkerRun {
            probation: unit.map_or_else(Probation::without_crashes, Probation::of),
            ticket: ticket.clone(),
            owner: self.owner_of_runs(Some(job)),
            resumed: of_step.resumes_from_checkpoint(task.index),
            ..WorkerRun::starting(&of_step.spec, of_job.spec.policy.priority, now)
        };
        self.headroom.consume(held.resources.cpu_millis);
        self.workers[worker].insert(task, run, held);
        self.send_start(worker, task, run, ticket, 0, now);
    }
}

/// The runs to stop in order to make room.
type Victims = Vec<(TaskId, Run)>;

/// Selects the fewest checkpointed runs of lower urgency whose end makes room for `need`. The result is empty if
/// nothing has to stop.
///
/// Members of gangs are never selected: stopping one ends the whole gang, which needs room on all its workers at once
/// to continue. Making room for single tasks would cost a gang's work again and again.
pub(crate) fn find_victims(worker: &Worker, need: &Resources, priority: u32) -> Option<Victims> {
    let mut candidates: Vec<_> = worker
        .runs
        .iter()
        .filter(|(_, of_run)| {
            let is_preemptible = of_run.checkpointed && !of_run.gang;
            of_run.phase == Phase::Running && is_preemptible && of_run.priority > priority
        })
        .collect();
    candidates.sort_by_key(|(_, of_run)| std::cmp::Reverse(of_run.resources.cpu_millis));
    let mut freed = Resources::ZERO;
    let mut victims = Vec::new();
    for (name, of_run) in candidates {
        if need.fits_in(&worker.available_without(&freed)) {
            break;
        }
        freed = freed.saturating_add(&of_run.resources);
        victims.push(*name);
    }
    need.fits_in(&worker.available_without(&freed))
        .then_some(victims)
}

fn is_outside_rack(worker: &Worker, rack: Option<&SmolStr>) -> bool {
    rack.is_some_and(|rack| worker.spec.rack.as_str() != rack.as_str())
}

/// Returns what remains of a worker after placing a task, as the sum of processor and memory in thousandths of its
/// capacity.
fn leftover_permille(worker: &Worker, available: &Resources, need: &Resources) -> u64 {
    let left = available.saturating_sub(need);
    let capacity = &worker.spec.capacity;
    let cpu = left.cpu_millis.saturating_mul(1_000) / capacity.cpu_millis.max(1);
    let memory = left.memory_bytes / (capacity.memory_bytes / 1_000).max(1);
    cpu + memory
}
