//! A simulation of a few workers in virtual time, some of which answer renewals but accept no orders.

use std::collections::BTreeMap;

use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::TaskId;
use syc_sched::WorkerKey;
use syc_types::Millis;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

const STEP_MS: u64 = 10;
const RENEW_MS: u64 = 200;
const LEASE_MS: u64 = 6_000;

/// An order sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentOrder {
    pub at: Millis,
    pub worker: WorkerKey,
    pub task: TaskId,
    pub run: Run,
    pub is_start: bool,
}

#[derive(Debug, Default)]
struct SimulatedWorker {
    /// Orders before this time are reset at once.
    resets_until: Millis,
    lease_until: Millis,
    renew_at: Millis,
    running: BTreeMap<(TaskId, Run), Millis>,
    ended: Vec<(TaskId, Run, RunEnd)>,
}

/// Simulated workers, the scheduler that drives them, and the orders sent.
#[derive(Debug)]
pub struct Simulation {
    pub driver: Driver,
    pub sent: Vec<SentOrder>,
    /// Tasks that ran on two workers at the same time.
    pub ran_concurrently: Vec<TaskId>,
    pub lapsed: usize,
    pub work_ms: u64,
    states: BTreeMap<WorkerKey, SimulatedWorker>,
}

impl Simulation {
    pub fn new(workers: usize, cores: u64) -> Self {
        let driver = Driver::with_untried_workers(workers, cores);
        let states = driver.workers.iter();
        let states = states
            .map(|key| (*key, SimulatedWorker::default()))
            .collect();
        Self {
            driver,
            sent: Vec::new(),
            ran_concurrently: Vec::new(),
            lapsed: 0,
            work_ms: 500,
            states,
        }
    }

    /// Makes a worker reset all orders from now on, for `time_ms`.
    pub fn reset_orders(&mut self, index: usize, time_ms: u64) {
        let key = self.driver.workers[index];
        let until = self.driver.now.0.saturating_add(time_ms);
        self.state_of(key).resets_until = Millis(until);
    }

    /// Submits jobs of one task each.
    pub fn submit(&mut self, jobs: std::ops::Range<u64>) {
        for id in jobs {
            self.driver.submit(id, policy(0), vec![step(1, 1)]);
        }
    }

    /// Runs until all of the jobs are completed or the limit is reached. Returns the elapsed time.
    pub fn run_until_done(&mut self, jobs: std::ops::Range<u64>, limit_ms: u64) -> u64 {
        let from = self.driver.now;
        let is_done =
            |simulation: &Self, id| simulation.driver.state(id) == Some(JobState::Completed);
        while self.driver.now.since(from) < limit_ms {
            if jobs.clone().all(|id| is_done(self, id)) {
                break;
            }
            self.step();
        }
        self.driver.now.since(from)
    }

    pub fn run_for(&mut self, time_ms: u64) {
        let until = self.driver.now.plus(time_ms);
        while self.driver.now < until {
            self.step();
        }
    }

    /// Returns the orders sent to a worker.
    pub fn sent_to(&self, index: usize) -> Vec<SentOrder> {
        let key = self.driver.workers[index];
        let sent = self.sent.iter().filter(|sent| sent.worker == key);
        sent.copied().collect()
    }

    /// Returns the changes of belief about a worker, in order.
    pub fn beliefs_about(&self, index: usize) -> Vec<&'static str> {
        let name = format!("w-{index}");
        let beliefs = self.driver.status_changes.iter();
        let of_worker = beliefs.filter(|(worker, _)| worker.as_str() == name);
        of_worker.map(|(_, belief)| *belief).collect()
    }

    fn state_of(&mut self, key: WorkerKey) -> &mut SimulatedWorker {
        self.states.get_mut(&key).expect("a simulated worker")
    }

    fn step(&mut self) {
        self.driver.advance(STEP_MS);
        self.end_due_runs();
        for key in self.driver.workers.clone() {
            self.renew(key);
        }
        self.driver.apply(Event::Ticked);
        self.driver.record();
        self.driver.schedule();
        self.execute_orders();
    }

    /// Carries out orders until there are none, since a reset is immediate and may cause another order.
    fn execute_orders(&mut self) {
        for _ in 0..100 {
            let starts = std::mem::take(&mut self.driver.starts);
            let stops = std::mem::take(&mut self.driver.stops);
            if starts.is_empty() && stops.is_empty() {
                return;
            }
            for start in starts {
                let accepted = self.start(start.worker, start.task, start.run);
                self.driver.apply(Event::StartAnswered {
                    worker: start.worker,
                    task: start.task,
                    run: start.run,
                    answer: if accepted {
                        StartAnswer::Started
                    } else {
                        StartAnswer::InDoubt
                    },
                });
            }
            for stop in stops {
                let accepted = self.stop(stop.worker, stop.task, stop.run);
                self.driver.apply(Event::StopAnswered {
                    worker: stop.worker,
                    task: stop.task,
                    run: stop.run,
                    accepted,
                });
            }
        }
        panic!("orders are repeated without delay");
    }

    fn record_order(&mut self, worker: WorkerKey, task: TaskId, run: Run, is_start: bool) {
        self.sent.push(SentOrder {
            at: self.driver.now,
            worker,
            task,
            run,
            is_start,
        });
    }

    fn start(&mut self, worker: WorkerKey, task: TaskId, run: Run) -> bool {
        self.record_order(worker, task, run, true);
        let now = self.driver.now;
        if self.state_of(worker).resets_until > now {
            return false;
        }
        let mut elsewhere = self.states.iter().filter(|(key, _)| **key != worker);
        if elsewhere.any(|(_, state)| state.running.keys().any(|(other, _)| *other == task)) {
            self.ran_concurrently.push(task);
        }
        let ends_at = now.plus(self.work_ms);
        let state = self.state_of(worker);
        state.lease_until = state.lease_until.max(now.plus(LEASE_MS));
        state.running.insert((task, run), ends_at);
        true
    }

    fn stop(&mut self, worker: WorkerKey, task: TaskId, run: Run) -> bool {
        self.record_order(worker, task, run, false);
        let now = self.driver.now;
        let state = self.state_of(worker);
        if state.resets_until > now {
            return false;
        }
        if state.running.remove(&(task, run)).is_some() {
            state.ended.push((task, run, RunEnd::Stopped));
        }
        true
    }

    /// Ends runs that are complete or whose lease has lapsed.
    fn end_due_runs(&mut self) {
        let now = self.driver.now;
        for state in self.states.values_mut() {
            let lapsed = state.lease_until <= now;
            let has_ended = |ends_at: &Millis| lapsed || *ends_at <= now;
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut state.running)
                .into_iter()
                .partition(|(_, ends_at)| has_ended(ends_at));
            state.running = running.into_iter().collect();
            for ((task, run), ends_at) in ended {
                let end = if ends_at <= now {
                    RunEnd::Done
                } else {
                    RunEnd::Lapsed
                };
                self.lapsed += usize::from(end == RunEnd::Lapsed);
                state.ended.push((task, run, end));
            }
        }
    }

    fn renew(&mut self, key: WorkerKey) {
        let now = self.driver.now;
        let may_renew = self.driver.scheduler.may_renew(key);
        let work_ms = self.work_ms;
        let state = self.state_of(key);
        if state.renew_at > now {
            return;
        }
        state.renew_at = now.plus(RENEW_MS);
        if may_renew {
            state.lease_until = state.lease_until.max(now.plus(LEASE_MS));
        }
        let mut running = Vec::new();
        for ((task, run), ends_at) in &state.running {
            let left = ends_at.since(now) * 100 / work_ms;
            let percent = u8::try_from(100 - left.min(100)).unwrap_or(0);
            running.push((*task, *run, percent));
        }
        let ended = std::mem::take(&mut state.ended);
        if may_renew {
            self.driver.apply(Event::Renewing { worker: key });
        }
        self.driver.report(key, &running, &ended);
    }
}
