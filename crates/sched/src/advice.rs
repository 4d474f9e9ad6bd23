//! Calls to the advice service, which decides which workers may run a step.

use slotmap::Key;
use syc_types::Millis;

use crate::Action;
use crate::AdviceAnswer;
use crate::AdvicePolicy;
use crate::CallLength;
use crate::Scheduler;
use crate::StepId;
use crate::TaskId;
use crate::WorkerKey;
use crate::gang::CANDIDATE_CAPACITY_FACTOR;
use crate::ids::JobKey;
use crate::job::Ticket;
use crate::scheduler::QueueStats;
use crate::worker::fit_count;

/// Largest number of workers that one call may name.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Largest number of concurrent calls for one step. If the calls for a wide gang were made one after the other, the
/// tickets of the first ones would expire before the last one is answered, and would have to be renewed.
const MAX_CALLS_PER_STEP: usize = 4;

/// A step gets one concurrent call per this many free slots, and at least one, so that other steps need not wait for
/// the calls of a wide gang.
const SLOTS_PER_CALL: u32 = 4;

/// Share of workers that is assumed to be allowed until enough answers for a queue have arrived.
const DEFAULT_ALLOWED_SHARE: f64 = 0.4;

/// Number of workers asked about after which older answers count half in the allowed share of a queue.
const ALLOWED_SHARE_WINDOW: f64 = 400.0;

/// Factor by which more workers are named than are needed on average.
const OVERSAMPLING_FACTOR: f64 = 1.6;

/// Delay after a failed call.
const RETRY_DELAY_MS: u64 = 40;

impl Scheduler {
    /// Returns the workers that may run a step now. Each has a valid ticket, unless the queue needs none.
    pub(crate) fn currently_allowed_workers(
        &self,
        job: JobKey,
        step: usize,
        now: Millis,
    ) -> Vec<WorkerKey> {
        let job = &self.jobs[job];
        if job.spec.policy.advice.is_none() {
            return self.eligible_workers(job.steps[step].spec.required_label.as_ref(), job, now);
        }
        let valid_from = now.plus(self.options.ticket_margin_ms);
        let tickets = &job.steps[step].advice.tickets;
        let mut allowed = Vec::with_capacity(tickets.len());
        for (key, ticket) in tickets {
            if ticket.valid_until < valid_from {
                continue;
            }
            if self
                .workers
                .get(*key)
                .is_some_and(|worker| worker.is_usable(now))
            {
                allowed.push(*key);
            }
        }
        allowed
    }

    /// Returns the usable workers of a job's service that have the required label.
    pub(crate) fn eligible_workers(
        &self,
        label: Option<&smol_str::SmolStr>,
        job: &crate::job::Job,
        now: Millis,
    ) -> Vec<WorkerKey> {
        let examined = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
        self.examined.set(self.examined.get() + examined);
        let mut eligible = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.is_usable(now) || worker.spec.service != job.spec.policy.service {
                continue;
            }
            if label.is_some_and(|label| !worker.spec.labels.contains(label)) {
                continue;
            }
            eligible.push(key);
        }
        eligible
    }

    /// Requests advice for a step of single tasks, if a call is due and there is a free slot.
    pub(crate) fn request_task_advice(&mut self, job: JobKey, step: usize, now: Millis) {
        let Some(policy) = self.advice_policy_if_due(job, step, now) else {
            return;
        };
        let job_state = &self.jobs[job];
        let step_state = &job_state.steps[step];
        let required = step_state.spec.reserved_resources();
        let wanted = step_state.pending_units;
        let first = step_state.advice.call_count == 0;
        let mut known = Vec::new();
        let mut unknown = Vec::new();
        for key in self.eligible_workers(step_state.spec.required_label.as_ref(), job_state, now) {
            let advice = &step_state.advice;
            if advice.denied.contains(&key) {
                continue;
            }
            let fitting = fit_count(&self.workers[key].available(), &required, wanted);
            if fitting == 0 && !first {
                continue;
            }
            match advice.tickets.get(&key) {
                Some(ticket) if ticket.valid_until > now.plus(self.options.ticket_margin_ms) => {}
                Some(_expired) => known.push((fitting, key)),
                None => unknown.push((fitting, key)),
            }
        }
        let picked = if known.is_empty() {
            let count = self.estimate_call_size(job, step, &unknown);
            largest_capacity(unknown, count, self.step_id(job, step))
        } else {
            let wanted = usize::try_from(wanted).unwrap_or(usize::MAX);
            largest_capacity(known, wanted.saturating_add(1), self.step_id(job, step))
        };
        let one_call = picked.len().min(MAX_WORKERS_PER_CALL);
        self.request_advice(job, step, policy, &picked[..one_call], now);
    }

    /// Requests advice for a gang about workers for which there is no answer yet.
    pub(crate) fn request_gang_advice(&mut self, job: JobKey, step: usize, now: Millis) {
        let Some(policy) = self.advice_policy_if_due(job, step, now) else {
            return;
        };
        let job_state = &self.jobs[job];
        let step_state = &job_state.steps[step];
        let mut unknown = Vec::new();
        for key in self.eligible_workers(step_state.spec.required_label.as_ref(), job_state, now) {
            let advice = &step_state.advice;
            if advice.denied.contains(&key) || advice.tickets.contains_key(&key) {
                continue;
            }
            let limit = step_state.spec.tasks;
            let fitting = fit_count(
                &self.workers[key].available(),
                &step_state.spec.reserved_resources(),
                limit,
            );
            unknown.push((fitting, key));
        }
        let count = self.estimate_call_size(job, step, &unknown);
        let count = count
            .max(self.options.gang_advice_workers)
            .min(MAX_WORKERS_PER_CALL)
            .max(self.gang_call_size(job, step));
        if self.gang_avoids_slow(job, step, now) {
            // Slow workers are named only as far as there are not enough others.
            for (fitting, key) in &mut unknown {
                if self.is_slow_worker(*key) {
                    *fitting = 0;
                }
            }
        }
        let picked = largest_capacity(unknown, count, self.step_id(job, step));
        self.request_advice(job, step, policy, &picked, now);
    }

    /// Returns how many workers to name so that the allowed ones could hold the gang if they were empty.
    fn gang_call_size(&self, job: JobKey, step: usize) -> usize {
        let job_state = &self.jobs[job];
        let spec = &job_state.steps[step].spec;
        let limit = spec.max_tasks_per_worker();
        let mut workers: u32 = 0;
        let mut total_fitting: u32 = 0;
        for worker in self.workers.values() {
            workers += 1;
            total_fitting = total_fitting.saturating_add(fit_count(
                &worker.spec.capacity,
                &spec.reserved_resources(),
                limit,
            ));
        }
        let each = f64::from(total_fitting) / f64::from(workers.max(1));
        let share = self.allowed_share(&job_state.spec.policy.queue);
        let wanted =
            f64::from(spec.tasks) * f64::from(CANDIDATE_CAPACITY_FACTOR) / each.max(0.5) / share;
        worker_count(wanted)
    }

    /// Requests new tickets for workers whose tickets are about to expire.
    pub(crate) fn renew_tickets(
        &mut self,
        job: JobKey,
        step: usize,
        workers: &[WorkerKey],
        now: Millis,
    ) {
        let Some(policy) = self.advice_policy_if_due(job, step, now) else {
            return;
        };
        self.request_advice(job, step, policy, workers, now);
    }

    fn advice_policy_if_due(&self, job: JobKey, step: usize, now: Millis) -> Option<AdvicePolicy> {
        let job = &self.jobs[job];
        let advice = &job.steps[step].advice;
        if advice.asked_at.is_some() || now < advice.not_before {
            return None;
        }
        // Candidates are selected only if there is a slot for at least the shortest call. Doing so for each of
        // many waiting steps would delay the scheduler's own answers.
        let policy = job.spec.policy.advice?;
        self.has_free_slot(policy.call_ms(1)).then_some(policy)
    }

    /// Returns whether there is a free slot for a call.
    fn has_free_slot(&self, expected_ms: f64) -> bool {
        let slots = &self.advice_slots;
        match self.options.length_of_call(expected_ms) {
            CallLength::Short => slots.short > 0 || slots.long > 0,
            CallLength::Long => slots.long > 0,
        }
    }

    /// Returns how many workers to name so that enough of them are likely to be allowed.
    fn estimate_call_size(&self, job: JobKey, step: usize, unknown: &[(u32, WorkerKey)]) -> usize {
        let job = &self.jobs[job];
        let step_state = &job.steps[step];
        let tasks = step_state
            .pending_units
            .saturating_mul(step_state.members());
        let fitting: u32 = unknown.iter().map(|(fitting, _)| *fitting).sum();
        let workers = u32::try_from(unknown.len()).unwrap_or(u32::MAX).max(1);
        let per_worker = (f64::from(fitting) / f64::from(workers)).max(0.5);
        let share = self.allowed_share(&job.spec.policy.queue);
        let wanted = f64::from(tasks) / per_worker / share * OVERSAMPLING_FACTOR;
        worker_count(wanted).max(self.options.task_advice_workers)
    }

    fn allowed_share(&self, queue: &str) -> f64 {
        let stats = self.queues.get(queue).copied().unwrap_or_default();
        if stats.asked < 20.0 {
            return DEFAULT_ALLOWED_SHARE;
        }
        (stats.allowed / stats.asked).clamp(0.05, 1.0)
    }

    fn request_advice(
        &mut self,
        job: JobKey,
        step: usize,
        policy: AdvicePolicy,
        workers: &[WorkerKey],
        now: Millis,
    ) {
        let id = self.step_id(job, step);
        let slots = self.advice_slots.long / SLOTS_PER_CALL;
        let calls = usize::try_from(slots).unwrap_or(MAX_CALLS_PER_STEP);
        let calls = calls.clamp(1, MAX_CALLS_PER_STEP);
        for part in workers.chunks(MAX_WORKERS_PER_CALL).take(calls) {
            let expected_ms = policy.call_ms(part.len());
            if !self.take_slot(expected_ms) {
                return;
            }
            let advice = &mut self.jobs[job].steps[step].advice;
            advice.asked_at = Some(now);
            advice.pending_calls += 1;
            advice.call_count += 1;
            self.actions.push(Action::RequestAdvice {
                step: id,
                expected_ms,
                workers: part.to_vec(),
            });
        }
    }

    /// Takes a free slot for a call. Returns whether there was one.
    fn take_slot(&mut self, expected_ms: f64) -> bool {
        let slots = &mut self.advice_slots;
        let slot = match self.options.length_of_call(expected_ms) {
            CallLength::Short => &mut slots.short,
            CallLength::Long => &mut slots.long,
        };
        let left = slot.checked_sub(1);
        *slot = left.unwrap_or(0);
        left.is_some()
    }

    pub(crate) fn step_id(&self, job: JobKey, step: usize) -> StepId {
        self.jobs[job].step_id(step)
    }

    pub(crate) fn advice_answered(
        &mut self,
        step: StepId,
        asked: &[WorkerKey],
        answer: AdviceAnswer,
        now: Millis,
    ) {
        let Some(key) = self.job_keys.get(&step.job).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let queue = job.spec.policy.queue.clone();
        let Some(index) = job.step_index(step) else {
            return;
        };
        let step_state = &mut job.steps[index];
        let advice = &mut step_state.advice;
        advice.pending_calls = advice.pending_calls.saturating_sub(1);
        if advice.pending_calls == 0 {
            advice.asked_at = None;
        }
        let AdviceAnswer::Given {
            allowed,
            validity_ms,
        } = answer
        else {
            advice.not_before = now.plus(RETRY_DELAY_MS);
            return;
        };
        let stats = self.queues.entry(queue).or_default();
        stats.add(asked.len(), allowed.len());
        for worker in asked {
            advice.denied.insert(*worker);
        }
        for allowed in allowed {
            advice.denied.remove(&allowed.worker);
            let ticket = Ticket {
                text: allowed.ticket,
                valid_until: now.plus(validity_ms),
            };
            advice.tickets.insert(allowed.worker, ticket);
        }
    }

    /// Marks a ticket that a worker refused as expired.
    pub(crate) fn expire_ticket(&mut self, worker: WorkerKey, task: TaskId, now: Millis) {
        let Some((job, step, _unit, _member)) = self.locate_task(task) else {
            return;
        };
        let advice = &mut self.jobs[job].steps[step].advice;
        if let Some(ticket) = advice.tickets.get_mut(&worker) {
            ticket.valid_until = now;
        }
    }

    /// Abandons advice calls that were not answered in time.
    pub(crate) fn time_out_advice_calls(&mut self, now: Millis) {
        let slack_ms = self.options.advice_slack_ms;
        for key in &self.open_jobs {
            let job = &mut self.jobs[*key];
            let Some(policy) = job.spec.policy.advice else {
                continue;
            };
            let call_ms = policy.call_ms(MAX_WORKERS_PER_CALL).clamp(0.0, 60_000.0);
            let call_ms = std::time::Duration::from_millis(1).mul_f64(call_ms);
            let call_ms = u64::try_from(call_ms.as_millis()).unwrap_or(u64::MAX);
            let bound_ms = call_ms.saturating_mul(3).saturating_add(slack_ms);
            for step in &mut job.steps {
                let asked_at = step.advice.asked_at;
                if asked_at.is_some_and(|at| now.since(at) > bound_ms) {
                    step.advice.asked_at = None;
                    step.advice.pending_calls = 0;
                }
            }
        }
    }
}

impl QueueStats {
    fn add(&mut self, asked: usize, allowed: usize) {
        let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        self.asked += to_f64(asked);
        self.allowed += to_f64(allowed);
        if self.asked > ALLOWED_SHARE_WINDOW {
            self.asked /= 2.0;
            self.allowed /= 2.0;
        }
    }
}

/// Converts a computed number of workers to an integer, limited to a sensible range.
fn worker_count(wanted: f64) -> usize {
    let whole = std::time::Duration::from_secs_f64(wanted.clamp(0.0, 1_000.0)).as_secs();
    usize::try_from(whole).unwrap_or(MAX_WORKERS_PER_CALL)
}

/// Picks the workers with the most capacity. The order among equals differs from step to step.
fn largest_capacity(
    mut workers: Vec<(u32, WorkerKey)>,
    count: usize,
    step: StepId,
) -> Vec<WorkerKey> {
    let order = |key: &WorkerKey| splitmix64(key.data().as_ffi() ^ step.job.0);
    let by_capacity = |a: &(u32, WorkerKey), b: &(u32, WorkerKey)| {
        b.0.cmp(&a.0).then_with(|| order(&a.1).cmp(&order(&b.1)))
    };
    // Few of thousands are picked, so the others need no order among themselves.
    if count < workers.len() {
        workers.select_nth_unstable_by(count, by_capacity);
        workers.truncate(count);
    }
    workers.sort_by(by_capacity);
    workers.into_iter().map(|(_, key)| key).collect()
}

/// The finalizer of splitmix64, which spreads numbers evenly.
const fn splitmix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
