//! The ledger against its one rule: no worker is ever granted more than it has.

use syc_place::GrantError;
use syc_place::Ledger;
use syc_place::WorkerInfo;
use syc_types::JobId;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

fn worker(cpu_millis: u64) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId::new("w1"),
        address: "127.0.0.1:1".into(),
        zone: Zone::new("a"),
        rack: RackId::new("r1"),
        capacity: Resources {
            cpu_millis,
            memory_bytes: 1_000,
            accelerators: 0,
        },
    }
}

fn task(index: u32) -> TaskRef {
    TaskRef {
        job_id: JobId(Uuid::from_u128(1)),
        index,
    }
}

fn cpu(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        ..Resources::ZERO
    }
}

#[test]
fn grants_up_to_capacity_and_no_further() {
    let mut ledger = Ledger::new();
    let key = ledger.upsert_worker(worker(1_000));
    assert_eq!(ledger.grant(task(0), key, cpu(600)), Ok(()));
    assert_eq!(
        ledger.grant(task(1), key, cpu(600)),
        Err(GrantError::NoRoom)
    );
    assert_eq!(ledger.grant(task(1), key, cpu(400)), Ok(()));
    assert_eq!(ledger.room(key).map(|room| room.cpu_millis), Some(0));
}

#[test]
fn refuses_a_second_grant_to_a_task() {
    let mut ledger = Ledger::new();
    let key = ledger.upsert_worker(worker(1_000));
    assert_eq!(ledger.grant(task(0), key, cpu(1)), Ok(()));
    let again = ledger.grant(task(0), key, cpu(1));
    assert_eq!(again, Err(GrantError::Duplicate(task(0))));
}

#[test]
fn a_shrunk_worker_grants_nothing() {
    let mut ledger = Ledger::new();
    let key = ledger.upsert_worker(worker(1_000));
    assert_eq!(ledger.grant(task(0), key, cpu(800)), Ok(()));
    ledger.upsert_worker(worker(500));
    assert_eq!(ledger.grant(task(1), key, cpu(1)), Err(GrantError::NoRoom));
    ledger.release(task(0));
    assert_eq!(ledger.grant(task(1), key, cpu(500)), Ok(()));
}
