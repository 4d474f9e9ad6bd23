//! Standby pools.

use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::VmOrderAnswer;
use syc_sched::VmState;
use syc_sched::WorkerSpec;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;

use crate::driver::Driver;
use crate::driver::SERVICE;
use crate::driver::cpu;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::vm;
use crate::driver::worker;

const STANDBY: &str = "standby";

/// Two VMs belong to the service, and two to the standby pool.
const IN_SERVICE: usize = 2;
const ALL_VMS: usize = 4;

fn pool(name: &str) -> ServiceName {
    ServiceName::new(name)
}

/// Lists all VMs, the first `in_service` of them in the pool of the service.
fn vm_list(in_service: usize, state: VmState) -> Vec<VmInfo> {
    let listed = (0..ALL_VMS).map(|index| VmInfo {
        id: vm(index),
        pool: pool(if index < in_service { SERVICE } else { STANDBY }),
        state: if index < IN_SERVICE {
            VmState::Up
        } else {
            state
        },
        capacity: cpu(4),
        worker: (index < in_service).then(|| WorkerId::new(format!("w-{index}"))),
    });
    listed.collect()
}

fn driver() -> Driver {
    let mut driver = Driver::new(IN_SERVICE, 4);
    driver.apply(Event::StandbySet(vec![pool(STANDBY)]));
    driver
}

fn run_for(driver: &mut Driver, in_service: usize, time_ms: u64) {
    for _ in 0..time_ms / 100 {
        driver.advance(100);
        driver.renew_leases();
        driver.apply(Event::Ticked);
        driver.list_vms(Some(vm_list(in_service, VmState::Up)));
        driver.schedule();
    }
}

fn take_moves(driver: &mut Driver) -> Vec<(VmId, ServiceName)> {
    let orders = std::mem::take(&mut driver.vm_orders);
    let moves = orders
        .into_iter()
        .filter_map(|(vm, operation)| match operation {
            VmOperation::Move { pool } => Some((vm, pool)),
            VmOperation::Maintenance { .. } => None,
        });
    moves.collect()
}

fn answer_move(driver: &mut Driver, vm: VmId, to: &str, answer: VmOrderAnswer) {
    driver.apply(Event::VmOrderAnswered {
        vm,
        operation: VmOperation::Move { pool: pool(to) },
        answer,
    });
}

#[test]
fn no_vm_moves_while_there_is_enough_capacity() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(8, 1)]);
    run_for(&mut driver, IN_SERVICE, 6_000);
    assert_eq!(take_moves(&mut driver), []);
}

#[test]
fn a_brief_shortage_moves_no_vm() {
    let mut driver = driver();
    run_for(&mut driver, IN_SERVICE, 4_000);
    driver.submit(1, policy(0), vec![step(12, 1)]);
    run_for(&mut driver, IN_SERVICE, 800);
    assert_eq!(take_moves(&mut driver), []);
}

#[test]
fn as_many_vms_are_moved_in_as_the_waiting_tasks_need() {
    let mut driver = driver();
    // The service has eight of the twelve requested cores.
    driver.submit(1, policy(0), vec![step(12, 1)]);
    run_for(&mut driver, IN_SERVICE, 6_000);
    assert_eq!(take_moves(&mut driver), [(vm(2), pool(SERVICE))]);
    answer_move(&mut driver, vm(2), SERVICE, VmOrderAnswer::Done);
    run_for(&mut driver, IN_SERVICE, 1_000);
    assert_eq!(take_moves(&mut driver), [], "the VM is already being moved");
}

#[test]
fn inapplicable_vm_move_is_not_repeated() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    run_for(&mut driver, IN_SERVICE, 6_000);
    take_moves(&mut driver);
    answer_move(&mut driver, vm(2), SERVICE, VmOrderAnswer::NotApplicable);
    run_for(&mut driver, IN_SERVICE, 2_000);
    assert_eq!(take_moves(&mut driver), [(vm(3), pool(SERVICE))]);
}

#[test]
fn no_vm_moves_while_the_vm_list_is_stale() {
    let mut driver = driver();
    run_for(&mut driver, IN_SERVICE, 4_000);
    driver.advance(3_000);
    driver.submit(1, policy(0), vec![step(12, 1)]);
    for _ in 0..50 {
        driver.advance(100);
        driver.apply(Event::Ticked);
        driver.list_vms(None);
    }
    assert_eq!(take_moves(&mut driver), []);
    run_for(&mut driver, IN_SERVICE, 1_500);
    assert_eq!(take_moves(&mut driver).len(), 1);
}

#[test]
fn a_move_in_doubt_is_retried() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    run_for(&mut driver, IN_SERVICE, 6_000);
    take_moves(&mut driver);
    answer_move(&mut driver, vm(2), SERVICE, VmOrderAnswer::InDoubt);
    run_for(&mut driver, IN_SERVICE, 1_000);
    assert_eq!(take_moves(&mut driver), [(vm(2), pool(SERVICE))]);
}

#[test]
fn a_borrowed_vm_is_returned_once_it_has_been_idle() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    run_for(&mut driver, IN_SERVICE, 6_000);
    take_moves(&mut driver);
    answer_move(&mut driver, vm(2), SERVICE, VmOrderAnswer::Done);
    driver.apply(Event::WorkerListed(WorkerSpec {
        id: WorkerId::new("w-2"),
        ..worker(2, 4)
    }));
    for key in driver.workers.clone() {
        driver.report_running(key, &[]);
    }
    run_for(&mut driver, IN_SERVICE + 1, 500);
    let mut started = driver.confirm_starts();
    started.extend(driver.start_all());
    assert_eq!(started.len(), 12);
    for key in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == key);
        let ended: Vec<_> = here.map(|s| (s.task, s.run, RunEnd::Done)).collect();
        driver.report(key, &[], &ended);
    }
    driver.record();
    run_for(&mut driver, IN_SERVICE + 1, 9_000);
    assert_eq!(take_moves(&mut driver), [], "the VM was used recently");
    run_for(&mut driver, IN_SERVICE + 1, 2_000);
    assert_eq!(take_moves(&mut driver), [(vm(2), pool(STANDBY))]);
    driver.submit(2, policy(0), vec![step(12, 1)]);
    driver.schedule();
    let third = driver.workers[2];
    assert!(driver.starts.iter().all(|start| start.worker != third));
}
