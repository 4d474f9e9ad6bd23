//! Replays over the owner of the workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;

use syc_place::Action;
use syc_place::Ended;
use syc_place::Event;
use syc_place::History;
use syc_place::OfferKey;
use syc_place::Order;
use syc_place::Owner;
use syc_place::OwnerOptions;
use syc_place::Report;
use syc_place::Reported;
use syc_place::StartAnswer;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_types::Class;
use syc_types::JobId;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

use crate::workload::GIB;
use crate::workload::Job;
use crate::workload::Pool;
use crate::workload::Result;

pub fn by_owner(pool: Pool, jobs: &[Job], history: History) -> Result {
    let mut owner = Owner::new(OwnerOptions {
        lease_ms: 1 << 50,
        ..OwnerOptions::default()
    });
    owner.set_history(history);
    let mut replay = Replay {
        pool,
        jobs,
        actions: Vec::new(),
        ends: BinaryHeap::new(),
        running: HashMap::new(),
        fresh: HashMap::new(),
        result: Result::new(),
    };
    let workers = (0..pool.workers).map(|number| WorkerInfo {
        id: WorkerId::new(format!("w{number}")),
        address: "127.0.0.1:1".into(),
        zone: Zone::new(format!("z{}", number / 8 % 3)),
        rack: RackId::new(format!("r{}", number / 8)),
        capacity: Resources {
            cpu_millis: pool.cores * 1_000,
            memory_bytes: 128 * GIB,
            accelerators: 0,
        },
    });
    let weights = Event::Shares {
        teams: Vec::new(),
        waiting_weight: pool.waiting,
        packing_weight: pool.packing,
        spread_kinds: Vec::new(),
    };
    replay.feed(&mut owner, weights, 0);
    replay.feed(
        &mut owner,
        Event::Workers {
            workers: workers.collect(),
        },
        0,
    );
    let keys: Vec<_> = owner.ledger().workers().map(|(key, _)| key).collect();
    for key in keys {
        replay.poll(&mut owner, key, Vec::new(), 0);
    }
    let mut next = 0;
    let mut tick = 0;
    loop {
        let arrival = jobs.get(next).map_or(u64::MAX, |job| job.at);
        let end = replay.ends.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
        let now = arrival.min(end).min(tick);
        if now >= pool.window_ms {
            return replay.result;
        }
        if end == now {
            replay.end_next(&mut owner, now);
        } else if arrival == now {
            replay.offer(
                &mut owner,
                next,
                (0..jobs[next].spec.tasks).collect(),
                1,
                now,
            );
            next += 1;
        } else {
            replay.feed(&mut owner, Event::Ticked { acting: true }, now);
            tick += 1_000;
        }
    }
}

struct Replay<'a> {
    pool: Pool,
    jobs: &'a [Job],
    actions: Vec<Action>,
    ends: BinaryHeap<Reverse<(u64, TaskRef, u32)>>,
    running: HashMap<TaskRef, (WorkerKey, u32, u64)>,
    fresh: HashMap<WorkerKey, Vec<Reported>>,
    result: Result,
}

impl Replay<'_> {
    fn job(&self, task: TaskRef) -> &Job {
        &self.jobs[usize::try_from(task.job_id.0.as_u128()).unwrap_or(0)]
    }

    fn offer(&mut self, owner: &mut Owner, job: usize, indexes: Vec<u32>, attempt: u32, now: u64) {
        let order = Order {
            job_id: JobId(Uuid::from_u128(job as u128)),
            spec: Rc::clone(&self.jobs[job].spec),
            indexes,
            attempt,
            wait_ms: 1 << 50,
            hold_ms: 0,
        };
        self.feed(
            owner,
            Event::Offered {
                offer: OfferKey(0),
                order,
            },
            now,
        );
    }

    fn feed(&mut self, owner: &mut Owner, event: Event, now: u64) {
        let mut actions = std::mem::take(&mut self.actions);
        owner.handle(event, Millis(now), &mut actions);
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    task,
                    attempt,
                    spec,
                } => {
                    let run_ms = self.job(task).run_ms;
                    self.ends.push(Reverse((now + run_ms, task, attempt)));
                    self.running.insert(task, (worker, attempt, now));
                    let reported = Reported {
                        task,
                        attempt,
                        team: spec.team.clone(),
                        name: spec.name.clone(),
                        idempotent: true,
                        urgent: spec.class == Class::Urgent,
                        resources: spec.resources,
                    };
                    self.fresh.entry(worker).or_default().push(reported);
                    let job = &self.jobs[usize::try_from(task.job_id.0.as_u128()).unwrap_or(0)];
                    if attempt == 1 {
                        self.result.started(job, now, self.pool);
                    } else {
                        self.result
                            .ran(job, now, (now + run_ms).min(self.pool.window_ms));
                    }
                    let answered = Event::StartAnswered {
                        task,
                        attempt,
                        answer: StartAnswer::Started,
                    };
                    self.feed(owner, answered, now);
                }
                Action::Stop { worker, task, .. } => {
                    self.end(owner, worker, task, TaskOutcome::Cancelled, now);
                }
                Action::Report { ended } if ended.outcome == TaskOutcome::Unknown => {
                    let job = usize::try_from(ended.task.job_id.0.as_u128()).unwrap_or(0);
                    self.offer(owner, job, vec![ended.task.index], ended.attempt + 1, now);
                }
                Action::Report { .. } | Action::Answer { .. } | Action::Poll { .. } => {}
            }
        }
    }

    fn end_next(&mut self, owner: &mut Owner, now: u64) {
        let Some(Reverse((_, task, attempt))) = self.ends.pop() else {
            return;
        };
        let Some(&(worker, current, _)) = self.running.get(&task) else {
            return;
        };
        if current == attempt {
            self.end(owner, worker, task, TaskOutcome::Done("r".into()), now);
        }
    }

    fn end(
        &mut self,
        owner: &mut Owner,
        worker: WorkerKey,
        task: TaskRef,
        outcome: TaskOutcome,
        now: u64,
    ) {
        let Some((_, attempt, since)) = self.running.remove(&task) else {
            return;
        };
        let job = self.job(task);
        let cut = now.saturating_sub(since) < job.run_ms;
        let ended = Ended {
            task,
            attempt,
            team: job.spec.team.clone(),
            name: job.spec.name.clone(),
            outcome,
            ran_ms: now - since,
        };
        if cut {
            // What ran so far is lost, and what was counted ahead never ran.
            let ahead = (since + job.run_ms)
                .min(self.pool.window_ms)
                .saturating_sub(since);
            self.result.granted -= u128::from(job.spec.resources.cpu_millis) * u128::from(ahead);
        }
        self.poll(owner, worker, vec![ended], now);
    }

    fn poll(&mut self, owner: &mut Owner, worker: WorkerKey, finished: Vec<Ended>, now: u64) {
        let Some(plan) = owner.plan_poll(worker, Millis(now)) else {
            return;
        };
        let running = self.fresh.remove(&worker).unwrap_or_default();
        let report = Report {
            version: 1,
            full: false,
            running,
            gone: Vec::new(),
            finished,
        };
        self.feed(
            owner,
            Event::Polled {
                worker,
                seq: plan.seq,
                report,
            },
            now,
        );
    }
}
