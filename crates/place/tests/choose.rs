//! The indexed choice against a full scan, under any order of changes.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use syc_place::Ledger;
use syc_place::Spread;
use syc_place::Tier;
use syc_place::WorkerInfo;
use syc_types::JobId;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

#[derive(Debug, Clone)]
enum Step {
    Place {
        task: u32,
        need: Resources,
        urgent: bool,
    },
    Release {
        task: u32,
    },
    Upsert {
        worker: u32,
        capacity: Resources,
    },
    Open {
        worker: u32,
        open: bool,
    },
    Remove {
        worker: u32,
    },
    Retire {
        worker: u32,
    },
    Headroom {
        permille: u32,
    },
}

fn amounts(most: u64) -> impl Strategy<Value = Resources> {
    (0..most, 0..most, 0..4_u32).prop_map(|(cpu_millis, memory_bytes, accelerators)| Resources {
        cpu_millis,
        memory_bytes,
        accelerators,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..60_u32, amounts(400), any::<bool>())
            .prop_map(|(task, need, urgent)| Step::Place { task, need, urgent }),
        4 => (0..60_u32).prop_map(|task| Step::Release { task }),
        3 => (0..12_u32, amounts(1_000))
            .prop_map(|(worker, capacity)| Step::Upsert { worker, capacity }),
        1 => (0..12_u32, any::<bool>()).prop_map(|(worker, open)| Step::Open { worker, open }),
        1 => (0..12_u32).prop_map(|worker| Step::Remove { worker }),
        1 => (0..12_u32).prop_map(|worker| Step::Retire { worker }),
        1 => (0..300_u32).prop_map(|permille| Step::Headroom { permille }),
    ]
}

fn info(worker: u32, capacity: Resources) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId::new(format!("w{worker}")),
        address: "127.0.0.1:1".into(),
        zone: Zone::new(format!("z{}", worker % 3)),
        rack: RackId::new(format!("r{}", worker % 5)),
        capacity,
    }
}

fn task(index: u32) -> TaskRef {
    TaskRef {
        job_id: JobId(Uuid::from_u128(1)),
        index,
    }
}

fn apply(ledger: &mut Ledger, step: &Step) -> Result<(), TestCaseError> {
    let key = |ledger: &Ledger, worker: u32| ledger.key_of(&info(worker, Resources::ZERO).id);
    match step {
        Step::Place {
            task: index,
            need,
            urgent,
        } => {
            let tier = if *urgent {
                Tier::Urgent
            } else {
                Tier::Ordinary
            };
            let chosen = ledger.best_fit_in(need, tier);
            prop_assert_eq!(chosen, ledger.best_fit_by_scan(need, tier));
            let spread = ledger.spread_fit(need, tier, &Spread::default());
            prop_assert_eq!(spread.is_some(), chosen.is_some());
            let Some(worker) = chosen else { return Ok(()) };
            let before = ledger.granted(worker).unwrap_or_default();
            if ledger.grant_in(task(*index), worker, *need, tier).is_ok() {
                let granted = ledger.granted(worker).unwrap_or_default();
                let capacity = ledger.worker(worker).map(|info| info.capacity);
                prop_assert!(granted.fits_in(&capacity.unwrap_or_default()));
                prop_assert_eq!(before.checked_add(need), Ok(granted));
            }
        }
        Step::Release { task: index } => {
            ledger.release(task(*index));
        }
        Step::Upsert { worker, capacity } => {
            ledger.upsert_worker(info(*worker, *capacity));
        }
        Step::Open { worker, open } => {
            if let Some(key) = key(ledger, *worker) {
                ledger.set_open(key, *open);
            }
        }
        Step::Remove { worker } => {
            if let Some(key) = key(ledger, *worker) {
                ledger.remove_worker(key);
            }
        }
        Step::Retire { worker } => {
            if let Some(key) = key(ledger, *worker) {
                ledger.retire_worker(key);
            }
        }
        Step::Headroom { permille } => ledger.set_headroom(*permille),
    }
    Ok(())
}

fn sums_are_exact(ledger: &Ledger) -> Result<(), TestCaseError> {
    for (key, _) in ledger.workers() {
        let mut sum = Resources::ZERO;
        for (_, grant) in ledger.grants() {
            if grant.worker == key {
                sum = sum.checked_add(&grant.resources).expect("small amounts");
            }
        }
        prop_assert_eq!(ledger.granted(key), Some(sum));
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_index_chooses_as_a_scan_does(steps in prop::collection::vec(step(), 1..120)) {
        let mut ledger = Ledger::new();
        for step in &steps {
            apply(&mut ledger, step)?;
            sums_are_exact(&ledger)?;
        }
    }
}

#[test]
fn service_tasks_spread_over_zones_then_racks() {
    let mut ledger = Ledger::new();
    let capacity = Resources {
        cpu_millis: 1_000,
        memory_bytes: 1_000,
        accelerators: 0,
    };
    for worker in 0..15 {
        ledger.upsert_worker(info(worker, capacity));
    }
    let need = Resources {
        cpu_millis: 10,
        ..Resources::ZERO
    };
    let mut spread = Spread::default();
    for index in 0..15 {
        let key = ledger
            .spread_fit(&need, Tier::Ordinary, &spread)
            .expect("room");
        ledger
            .grant_in(task(index), key, need, Tier::Ordinary)
            .expect("room");
        spread.add(&ledger, key);
    }
    for zone in ["z0", "z1", "z2"] {
        assert_eq!(spread.in_zone(&Zone::new(zone)), 5);
    }
    for rack in ["r0", "r1", "r2", "r3", "r4"] {
        assert_eq!(spread.in_rack(&RackId::new(rack)), 3);
    }
}
