//! Replays seeded arrivals in virtual time over the pure decisions, against first-fit.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
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
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Patient];
const GIB: u64 = 1 << 30;
/// Offered processor time as a share of what there is, in thousandths.
const LOAD_PERMILLE: u64 = 1_050;
/// Mean processor time of a job here, in core milliseconds; found by the generator below.
const MEAN_VOLUME: u64 = 2_004_000;

#[derive(Clone, Copy)]
struct Pool {
    name: &'static str,
    workers: u64,
    cores: u64,
    window_ms: u64,
    waiting: u32,
    packing: u32,
}

struct Job {
    at: u64,
    run_ms: u64,
    spec: Rc<JobSpec>,
}

/// What a replay came to: processor time granted in the window, and each class's waits.
struct Result {
    granted: u128,
    waits: Vec<Histogram<u64>>,
}

impl Result {
    fn new() -> Self {
        let waits = CLASSES.map(|_| Histogram::new_with_max(1 << 40, 3).expect("histogram"));
        Self {
            granted: 0,
            waits: waits.into(),
        }
    }

    fn started(&mut self, job: &Job, now: u64, pool: Pool) {
        let class = CLASSES
            .iter()
            .position(|class| *class == job.spec.class)
            .unwrap_or(0);
        self.waits[class].saturating_record(now - job.at);
        self.ran(job, now, (now + job.run_ms).min(pool.window_ms));
    }

    fn ran(&mut self, job: &Job, from: u64, to: u64) {
        self.granted +=
            u128::from(job.spec.resources.cpu_millis) * u128::from(to.saturating_sub(from));
    }
}

fn jobs(pool: Pool, declared_off: bool) -> Vec<Job> {
    let mut random = SmallRng::seed_from_u64(11);
    let gap = MEAN_VOLUME * 1_000 / (pool.workers * pool.cores * LOAD_PERMILLE).max(1);
    let gap = gap.max(1);
    let mut jobs = Vec::new();
    let mut at_us = 0;
    while at_us / 1_000 < pool.window_ms {
        at_us += random.random_range(0..2 * gap * 1_000);
        let team = random.random_range(0..21_u32);
        let (class, kind, tasks, cores, seconds) = match random.random_range(0..100) {
            0..10 => (
                Class::Urgent,
                JobKind::Batch,
                1,
                random.random_range(1..9),
                2..10_u64,
            ),
            10..60 => (
                Class::Normal,
                JobKind::Batch,
                1,
                random.random_range(1..5),
                30..120,
            ),
            60..95 => (
                Class::Patient,
                JobKind::Batch,
                1,
                random.random_range(4..17),
                300..600,
            ),
            _ => (Class::Normal, JobKind::Gang, 8, 4, 120..300),
        };
        let run_ms = random.random_range(seconds) * 1_000;
        let declared = match (declared_off, team % 3) {
            (true, 0) => run_ms * 3,
            (true, 1) => run_ms / 3,
            _ => run_ms,
        };
        let spec = JobSpec {
            team: TeamId::new(format!("t{team}")),
            name: format!("{class:?}{kind:?}").into(),
            kind,
            class,
            tasks,
            resources: Resources {
                cpu_millis: cores * 1_000,
                memory_bytes: cores * 2 * GIB,
                accelerators: 0,
            },
            run_time_ms: declared,
            ..JobSpec::default()
        };
        jobs.push(Job {
            at: at_us / 1_000,
            run_ms,
            spec: Rc::new(spec),
        });
    }
    jobs
}

fn by_owner(pool: Pool, jobs: &[Job], history: History) -> Result {
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

/// Places in order of arrival on the first worker with room; what finds none is passed over.
fn by_first_fit(pool: Pool, jobs: &[Job]) -> Result {
    let capacity = Resources {
        cpu_millis: pool.cores * 1_000,
        memory_bytes: 128 * GIB,
        accelerators: 0,
    };
    let mut free = vec![capacity; usize::try_from(pool.workers).unwrap_or(0)];
    let mut queue = BTreeSet::new();
    let mut ends = BinaryHeap::new();
    let mut result = Result::new();
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map_or(u64::MAX, |job| job.at);
        let end = ends.peek().map_or(
            u64::MAX,
            |Reverse((at, ..)): &Reverse<(u64, usize, usize)>| *at,
        );
        let now = arrival.min(end);
        if now >= pool.window_ms {
            return result;
        }
        if end == now {
            let Some(Reverse((_, worker, job))) = ends.pop() else {
                continue;
            };
            free[worker] = free[worker]
                .checked_add(&jobs[job].spec.resources)
                .expect("small");
        } else {
            queue.insert(next);
            next += 1;
        }
        let mut missed: Option<Resources> = None;
        queue.retain(|&number| {
            let job = &jobs[number];
            let need = job.spec.resources;
            if job.spec.tasks == 1 && missed.is_some_and(|least| least.fits_in(&need)) {
                return true;
            }
            let before = free.clone();
            let mut places = Vec::new();
            for _ in 0..job.spec.tasks {
                let Some(worker) = free.iter().position(|room| need.fits_in(room)) else {
                    break;
                };
                free[worker] = free[worker].saturating_sub(&need);
                places.push(worker);
            }
            if places.len() < job.spec.tasks as usize {
                free = before;
                if job.spec.tasks == 1 {
                    missed = Some(need);
                }
                return true;
            }
            for worker in places {
                ends.push(Reverse((now + job.run_ms, worker, number)));
                result.started(job, now, pool);
            }
            false
        });
    }
}

fn show(pool: Pool, method: &str, jobs: &[Job], result: &Result, began: Instant) {
    let mut volume = 0;
    for job in jobs {
        let ran = job.run_ms.min(pool.window_ms.saturating_sub(job.at));
        volume += u128::from(job.spec.resources.cpu_millis)
            * u128::from(job.spec.tasks)
            * u128::from(ran);
    }
    let all = u128::from(pool.workers * pool.cores * 1_000) * u128::from(pool.window_ms);
    let share = result.granted * 1_000 / volume.min(all).max(1);
    print!(
        "{:8} {method:22} packing {}.{}%",
        pool.name,
        share / 10,
        share % 10
    );
    for (class, waits) in CLASSES.iter().zip(&result.waits) {
        print!(
            "  {class:?} n={} p50 {} p99 {} ms",
            waits.len(),
            waits.value_at_quantile(0.5),
            waits.value_at_quantile(0.99)
        );
    }
    println!("  ({} ms)", began.elapsed().as_millis());
}

fn main() {
    let derwent = Pool {
        name: "Derwent",
        workers: 50,
        cores: 32,
        window_ms: 3_600_000,
        waiting: 3,
        packing: 1,
    };
    let forages = Pool {
        name: "Forages",
        workers: 50,
        cores: 64,
        window_ms: 3_600_000,
        waiting: 1,
        packing: 3,
    };
    let letter = Pool {
        name: "990",
        workers: 990,
        cores: 64,
        window_ms: 600_000,
        waiting: 1,
        packing: 1,
    };
    for pool in [derwent, forages, letter] {
        let exact = jobs(pool, false);
        let off = jobs(pool, true);
        let began = Instant::now();
        show(
            pool,
            "first-fit",
            &exact,
            &by_first_fit(pool, &exact),
            began,
        );
        let runs = [
            ("owner, exact", &exact, true),
            ("owner, 3x off, learns", &off, true),
            ("owner, 3x off, as said", &off, false),
        ];
        for (method, jobs, learns) in runs {
            let history = if learns {
                History::default()
            } else {
                History::ignoring()
            };
            let began = Instant::now();
            show(pool, method, jobs, &by_owner(pool, jobs, history), began);
        }
    }
}
