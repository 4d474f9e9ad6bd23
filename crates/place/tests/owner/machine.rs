//! Any order of events against a naive scheduler: capacities hold and no task runs twice.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use syc_place::Event;
use syc_place::Owner;
use syc_place::OwnerOptions;
use syc_place::Refusal;
use syc_types::Class;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use syc_types::WorkerId;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::DRIFT_MS;
use crate::bed::LEASE_MS;
use crate::bed::amount;
use crate::bed::info;
use crate::bed::spec;
use crate::bed::task;

const WORKERS: usize = 4;
const CAPACITY: u64 = 1_000;

/// One event of the outside world.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        cpu_millis: u64,
        tasks: u32,
        class: u8,
        wait_ms: u64,
        hold: bool,
    },
    Commit {
        job: u128,
        commit: bool,
    },
    Finish {
        job: u128,
        failed: bool,
    },
    Cancel {
        job: u128,
    },
    Poll,
    Silent {
        worker: usize,
        silent: bool,
    },
    Refuse {
        worker: usize,
        refuses: bool,
    },
    Inventory {
        worker: usize,
        cpu_millis: u64,
    },
    Leave {
        worker: usize,
    },
    Restart,
    Keep,
    Pass {
        ms: u64,
    },
}

/// The naive scheduler knows only what was offered; what holds of every state is checked by the
/// bed after each event.
#[derive(Debug, Clone, Default)]
struct Naive {
    offered: u128,
}

impl ReferenceStateMachine for Naive {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self::State) -> BoxedStrategy<Self::Transition> {
        let jobs = 0..state.offered + 1;
        let worker = 0..WORKERS;
        prop_oneof![
            8 => (1..1_100_u64, 1..4_u32, 0..3_u8, 0..4_000_u64, any::<bool>()).prop_map(
                |(cpu_millis, tasks, class, wait_ms, hold)| Step::Offer {
                    cpu_millis, tasks, class, wait_ms, hold
                }
            ),
            2 => (jobs.clone(), any::<bool>())
                .prop_map(|(job, commit)| Step::Commit { job, commit }),
            5 => (jobs.clone(), any::<bool>())
                .prop_map(|(job, failed)| Step::Finish { job, failed }),
            1 => jobs.prop_map(|job| Step::Cancel { job }),
            6 => Just(Step::Poll),
            1 => (worker.clone(), any::<bool>())
                .prop_map(|(worker, silent)| Step::Silent { worker, silent }),
            1 => (worker.clone(), any::<bool>())
                .prop_map(|(worker, refuses)| Step::Refuse { worker, refuses }),
            1 => (worker.clone(), CAPACITY..2 * CAPACITY)
                .prop_map(|(worker, cpu_millis)| Step::Inventory { worker, cpu_millis }),
            1 => worker.prop_map(|worker| Step::Leave { worker }),
            1 => Just(Step::Restart),
            2 => Just(Step::Keep),
            4 => (1..4_000_u64).prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply(mut state: Self::State, transition: &Self::Transition) -> Self::State {
        if let Step::Offer { .. } = transition {
            state.offered += 1;
        }
        state
    }
}

#[derive(Debug)]
struct System {
    bed: Bed,
    /// Capacity of each worker in the inventory.
    inventory: BTreeMap<usize, u64>,
    offered: u128,
    specs: BTreeMap<u128, JobSpec>,
    ends_seen: usize,
}

impl System {
    fn publish(&mut self) {
        let workers = self
            .inventory
            .iter()
            .map(|(&number, &cpu_millis)| info(number, cpu_millis));
        let workers = workers.collect();
        self.bed.event(Event::Workers { workers });
    }

    fn step(&mut self, step: &Step) {
        let failed_outcome = TaskOutcome::Failed("f".into());
        match *step {
            Step::Offer {
                cpu_millis,
                tasks,
                class,
                wait_ms,
                hold,
            } => {
                self.offered += 1;
                let class = [Class::Urgent, Class::Normal, Class::Patient][usize::from(class)];
                let team = format!("t{}", self.offered % 3);
                let work = spec(&team, class, cpu_millis);
                self.specs.insert(self.offered, work.clone());
                let indexes: Vec<_> = (0..tasks).collect();
                let hold_ms = if hold { 1_500 } else { 0 };
                let offer = self
                    .bed
                    .offer_as(self.offered, &indexes, &work, wait_ms, 1, hold_ms);
                self.explains(offer, cpu_millis, tasks);
            }
            Step::Commit { job, commit } => {
                self.bed.held(job, 1, commit);
            }
            Step::Finish { job, failed } => {
                let outcome = if failed {
                    failed_outcome
                } else {
                    TaskOutcome::Done("r".into())
                };
                self.bed.finish(task(job, 0), &outcome);
            }
            Step::Cancel { job } => self.bed.event(Event::Stopped {
                job_id: JobId(Uuid::from_u128(job)),
                indexes: vec![0, 1, 2],
            }),
            Step::Poll => self.bed.poll_all(),
            Step::Silent { worker, silent } => self.fake(worker).silent = silent,
            Step::Refuse { worker, refuses } => self.fake(worker).refuses = refuses,
            Step::Inventory { worker, cpu_millis } => {
                let known = self.inventory.entry(worker).or_insert(cpu_millis);
                *known = cpu_millis.max(*known);
                self.publish();
            }
            Step::Leave { worker } => {
                self.inventory.remove(&worker);
                self.publish();
            }
            Step::Restart => {
                self.bed.owner = Owner::new(options());
                self.publish();
            }
            Step::Keep => self.bed.keep_ends(),
            Step::Pass { ms } => self.bed.pass(ms),
        }
    }

    /// Offers a task again, as its home would, once an attempt has surely ended.
    fn try_again(&mut self) {
        while let Some(ended) = self.bed.ends.get(self.ends_seen).cloned() {
            self.ends_seen += 1;
            if ended.outcome != TaskOutcome::Unknown {
                continue;
            }
            let job = ended.task.job_id.0.as_u128();
            let work = self.specs[&job].clone();
            let index = ended.task.index;
            let attempt = ended.attempt + 1;
            self.bed.offer_as(job, &[index], &work, 2_000, attempt, 0);
        }
    }

    fn fake(&mut self, worker: usize) -> &mut crate::bed::FakeWorker {
        let id = WorkerId::new(format!("w{worker}"));
        self.bed.workers.get_mut(&id).expect("worker")
    }

    /// The naive verdict: what fits on some empty worker is never refused as impossible.
    fn explains(&self, offer: syc_place::OfferKey, cpu_millis: u64, tasks: u32) {
        let mut fitting = 0;
        for (_, info) in self.bed.owner.ledger().workers() {
            let number = info.id.as_str()[1..].parse().expect("number");
            if self.inventory.contains_key(&number) {
                fitting += info.capacity.cpu_millis / cpu_millis;
            }
        }
        let refused = matches!(
            self.bed.answers.get(&offer),
            Some(Err(Refusal::NeverFits(_) | Refusal::TooMany { .. }))
        );
        let known = self.bed.owner.ledger().workers().next().is_some();
        assert_eq!(refused, known && fitting < u64::from(tasks));
    }
}

fn options() -> OwnerOptions {
    OwnerOptions {
        lease_ms: LEASE_MS,
        drift_ms: DRIFT_MS,
        ..OwnerOptions::default()
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Naive;

    fn init_test(_: &Naive) -> Self::SystemUnderTest {
        let inventory = (0..WORKERS).map(|number| (number, CAPACITY)).collect();
        Self {
            bed: Bed::new(WORKERS, CAPACITY),
            inventory,
            offered: 0,
            specs: BTreeMap::new(),
            ends_seen: 0,
        }
    }

    fn apply(mut state: Self, _: &Naive, transition: Step) -> Self {
        state.step(&transition);
        state.try_again();
        state
    }

    fn check_invariants(state: &Self, _: &Naive) {
        state.bed.check();
        let owner = &state.bed.owner;
        for (key, _) in owner.ledger().workers() {
            let mut sum = amount(0);
            for (_, grant) in owner.ledger().grants() {
                if grant.worker == key {
                    sum = sum.checked_add(&grant.resources).expect("small");
                }
            }
            assert!(sum.fits_in(&owner.ledger().granted(key).expect("worker")));
        }
    }

    fn teardown(mut state: Self, _: Naive) {
        // With every worker answering and everything ended, nothing stays granted.
        for fake in state.bed.workers.values_mut() {
            fake.silent = false;
            fake.running.clear();
        }
        for _ in 0..4 {
            state.bed.pass(4_000);
            state.bed.poll_all();
        }
        for fake in state.bed.workers.values_mut() {
            fake.running.clear();
        }
        state.bed.poll_all();
        state.bed.pass(4_000);
        state.bed.poll_all();
        assert_eq!(state.bed.owner.queued_tasks(), 0);
        assert_eq!(state.bed.owner.ledger().grants().count(), 0);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 150,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn grants_hold_under_any_order(sequential 1..80 => System);
}
