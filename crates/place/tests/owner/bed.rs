//! Fake workers that do as they are told, and what the homes hear.

use std::collections::BTreeMap;
use std::rc::Rc;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_place::Action;
use syc_place::Ended;
use syc_place::Event;
use syc_place::OfferKey;
use syc_place::Order;
use syc_place::Owner;
use syc_place::OwnerOptions;
use syc_place::Refusal;
use syc_place::Report;
use syc_place::Reported;
use syc_place::StartAnswer;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_types::Class;
use syc_types::JobId;
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

/// Lease of every owner here.
pub const LEASE_MS: u64 = 6_000;

/// Drift of every owner here.
pub const DRIFT_MS: u64 = 500;

/// A fake worker.
#[derive(Debug, Clone, Default)]
pub struct FakeWorker {
    pub running: BTreeMap<TaskRef, Reported>,
    pub finished: Vec<Ended>,
    pub refuses: bool,
    /// It acts on commands and polls, and its answers are lost.
    pub silent: bool,
    /// When the lease of each running task lapses.
    pub leases: BTreeMap<TaskRef, Millis>,
    /// What its latest answer listed, and that answer's version.
    told: BTreeMap<TaskRef, Reported>,
    version: u64,
}

/// An owner with fake workers, and the answers and ends that its homes were told.
#[derive(Debug, Clone)]
pub struct Bed {
    pub owner: Owner,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub answers: BTreeMap<OfferKey, Result<Vec<WorkerId>, Refusal>>,
    pub ends: Vec<Ended>,
    pub stops: Vec<TaskRef>,
    pub now: Millis,
    offers: u64,
}

pub fn amount(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_bytes: cpu_millis,
        accelerators: 0,
    }
}

pub fn info(number: usize, cpu_millis: u64) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId::new(format_smolstr!("w{number}")),
        address: "127.0.0.1:1".into(),
        zone: Zone::new(format_smolstr!("z{}", number % 2)),
        rack: RackId::new(format_smolstr!("r{}", number % 3)),
        capacity: amount(cpu_millis),
    }
}

pub fn spec(team: &str, class: Class, cpu_millis: u64) -> JobSpec {
    JobSpec {
        team: TeamId::new(team),
        name: SmolStr::new(team),
        class,
        resources: amount(cpu_millis),
        run_time_ms: 1_000,
        ..JobSpec::default()
    }
}

pub fn task(job: u128, index: u32) -> TaskRef {
    TaskRef {
        job_id: JobId(Uuid::from_u128(job)),
        index,
    }
}

impl Bed {
    /// Makes an owner whose workers have all told that they run nothing.
    pub fn new(workers: usize, cpu_millis: u64) -> Self {
        let mut bed = Self::unpolled(workers, cpu_millis);
        bed.poll_all();
        bed
    }

    /// Makes an owner whose workers have not been polled.
    pub fn unpolled(workers: usize, cpu_millis: u64) -> Self {
        let options = OwnerOptions {
            lease_ms: LEASE_MS,
            drift_ms: DRIFT_MS,
            ..OwnerOptions::default()
        };
        let mut owner = Owner::new(options);
        let shares = Event::Shares {
            teams: Vec::new(),
            waiting_weight: 0,
            packing_weight: 1,
            spread_kinds: Vec::new(),
        };
        owner.handle(shares, Millis(0), &mut Vec::new());
        let mut bed = Self {
            owner,
            workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            ends: Vec::new(),
            stops: Vec::new(),
            now: Millis(0),
            offers: 0,
        };
        let infos: Vec<_> = (0..workers)
            .map(|number| info(number, cpu_millis))
            .collect();
        for info in &infos {
            bed.workers.insert(info.id.clone(), FakeWorker::default());
        }
        bed.event(Event::Workers { workers: infos });
        bed
    }

    /// Gives waiting time all the weight, so there is headroom and a budget of lost work.
    pub fn weigh_waiting(&mut self) {
        self.event(Event::Shares {
            teams: Vec::new(),
            waiting_weight: 1,
            packing_weight: 0,
            spread_kinds: Vec::new(),
        });
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.owner.handle(event, self.now, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.check();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start {
                worker,
                task,
                attempt,
                spec,
            } => self.start(worker, task, attempt, &spec),
            Action::Stop { worker, task, .. } => {
                self.stops.push(task);
                self.end_at(worker, task, TaskOutcome::Cancelled);
            }
            Action::Answer { offer, outcome } => {
                assert!(self.answers.insert(offer, outcome).is_none());
            }
            Action::Report { ended } => self.ends.push(ended),
            Action::Poll { .. } => {}
        }
    }

    fn start(&mut self, key: WorkerKey, task: TaskRef, attempt: u32, spec: &Rc<JobSpec>) {
        let Some(id) = self.id_of(key) else { return };
        let fake = self.workers.get_mut(&id).expect("worker");
        let answer = if fake.refuses {
            StartAnswer::Refused
        } else {
            let reported = Reported {
                task,
                attempt,
                team: spec.team.clone(),
                name: spec.name.clone(),
                idempotent: spec.idempotent,
                urgent: spec.class == Class::Urgent,
                resources: spec.resources,
            };
            fake.running.insert(task, reported);
            fake.leases.insert(task, self.now.plus(LEASE_MS));
            if fake.silent {
                StartAnswer::InDoubt
            } else {
                StartAnswer::Started
            }
        };
        self.event(Event::StartAnswered {
            task,
            attempt,
            answer,
        });
    }

    fn end_at(&mut self, key: WorkerKey, task: TaskRef, outcome: TaskOutcome) {
        let Some(id) = self.id_of(key) else { return };
        let fake = self.workers.get_mut(&id).expect("worker");
        let Some(running) = fake.running.remove(&task) else {
            return;
        };
        fake.finished.push(Ended {
            task,
            attempt: running.attempt,
            team: running.team,
            name: running.name,
            outcome,
            ran_ms: 10,
        });
    }

    fn id_of(&self, key: WorkerKey) -> Option<WorkerId> {
        let info = self.owner.ledger().worker(key);
        info.map(|info| info.id.clone())
    }

    /// Ends a task where it runs.
    pub fn finish(&mut self, task: TaskRef, outcome: &TaskOutcome) {
        let keys: Vec<_> = self.owner.ledger().workers().map(|(key, _)| key).collect();
        for key in keys {
            self.end_at(key, task, outcome.clone());
        }
    }

    /// Polls every worker; a silent one does not answer.
    pub fn poll_all(&mut self) {
        let keys: Vec<_> = self.owner.ledger().workers().map(|(key, _)| key).collect();
        for key in keys {
            self.poll(key);
        }
    }

    pub fn poll(&mut self, key: WorkerKey) {
        let Some(plan) = self.owner.plan_poll(key, self.now) else {
            return;
        };
        let Some(id) = self.id_of(key) else { return };
        let fake = self.workers.get_mut(&id).expect("worker");
        if plan.renew {
            for lease in fake.leases.values_mut() {
                *lease = self.now.plus(LEASE_MS);
            }
        }
        if fake.silent {
            self.event(Event::PollFailed {
                worker: key,
                seq: plan.seq,
                in_doubt: true,
            });
            return;
        }
        for kept in plan.acknowledged {
            fake.finished
                .retain(|end| end.task != kept.task || end.attempt != kept.attempt);
        }
        let full = plan.seen == 0 || plan.seen != fake.version;
        if full {
            fake.told.clear();
        }
        let told = std::mem::replace(&mut fake.told, fake.running.clone());
        fake.version += 1;
        let mut report = Report {
            version: fake.version,
            full,
            running: Vec::new(),
            gone: Vec::new(),
            finished: fake.finished.clone(),
        };
        for (task, running) in &fake.running {
            if told.get(task) != Some(running) {
                report.running.push(running.clone());
            }
        }
        for task in told.keys() {
            if !fake.running.contains_key(task) {
                report.gone.push(*task);
            }
        }
        self.event(Event::Polled {
            worker: key,
            seq: plan.seq,
            report,
        });
    }

    /// Tells the owner that the homes have kept every end.
    pub fn keep_ends(&mut self) {
        for ended in self.ends.clone() {
            self.event(Event::EndKept {
                task: ended.task,
                attempt: ended.attempt,
            });
        }
    }

    /// Lets time pass, with a tick at the end.
    pub fn pass(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
        for fake in self.workers.values_mut() {
            let now = self.now;
            let leases = &mut fake.leases;
            leases.retain(|_, lease| *lease > now);
            fake.running.retain(|task, _| leases.contains_key(task));
        }
        self.event(Event::Ticked { acting: true });
    }

    /// Offers tasks and returns the key of the answer.
    pub fn offer(&mut self, job: u128, indexes: &[u32], spec: &JobSpec, wait_ms: u64) -> OfferKey {
        self.offer_as(job, indexes, spec, wait_ms, 1, 0)
    }

    pub fn offer_as(
        &mut self,
        job: u128,
        indexes: &[u32],
        spec: &JobSpec,
        wait_ms: u64,
        attempt: u32,
        hold_ms: u64,
    ) -> OfferKey {
        self.offers += 1;
        let offer = OfferKey(self.offers);
        let order = Order {
            job_id: JobId(Uuid::from_u128(job)),
            spec: Rc::new(spec.clone()),
            indexes: indexes.to_vec(),
            attempt,
            wait_ms,
            hold_ms,
        };
        self.event(Event::Offered { offer, order });
        offer
    }

    /// Commits or gives up reservations and says whether they were there.
    pub fn held(&mut self, job: u128, attempt: u32, commit: bool) -> bool {
        self.offers += 1;
        let offer = OfferKey(self.offers);
        self.event(Event::Held {
            offer,
            job_id: JobId(Uuid::from_u128(job)),
            attempt,
            commit,
        });
        self.answers[&offer].is_ok()
    }

    pub fn placed(&self, offer: OfferKey) -> bool {
        matches!(self.answers.get(&offer), Some(Ok(_)))
    }

    /// Returns the outcome that a home heard of a task.
    pub fn outcome(&self, task: TaskRef) -> Option<TaskOutcome> {
        let mut ends = self.ends.iter().rev();
        let end = ends.find(|ended| ended.task == task)?;
        Some(end.outcome.clone())
    }

    /// Returns the number of workers that run a task.
    pub fn runs(&self, task: TaskRef) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|fake| fake.running.contains_key(&task))
            .count()
    }

    /// Checks that no worker runs or has granted more than it has, and no task runs twice.
    pub fn check(&self) {
        for (key, info) in self.owner.ledger().workers() {
            let granted = self.owner.ledger().granted(key).unwrap_or_default();
            assert!(
                granted.fits_in(&info.capacity),
                "over capacity: {granted:?}"
            );
            let mut sum = Resources::ZERO;
            for running in self.workers[&info.id].running.values() {
                sum = sum.checked_add(&running.resources).expect("small");
                assert_eq!(self.runs(running.task), 1, "{} runs twice", running.task);
            }
            assert!(sum.fits_in(&info.capacity), "the worker runs too much");
        }
    }
}
