//! Pools on standby, by hand.

use syc_sched::Duty;
use syc_sched::DutyAnswer;
use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::VmInfo;
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

/// Two VMs of the service, and two on standby.
const HERE: usize = 2;
const ALL: usize = 4;

fn pool(name: &str) -> ServiceName {
    ServiceName::new(name)
}

/// Lists all VMs; those before `here` are in the service's pool.
fn listed(here: usize, state: VmState) -> Vec<VmInfo> {
    let listed = (0..ALL).map(|index| VmInfo {
        id: vm(index),
        pool: pool(if index < here { SERVICE } else { STANDBY }),
        state: if index < HERE { VmState::Up } else { state },
        capacity: cpu(4),
        worker: (index < here).then(|| WorkerId::new(format!("w-{index}"))),
    });
    listed.collect()
}

fn driver() -> Driver {
    let mut driver = Driver::new(HERE, 4);
    driver.apply(Event::StandbySet(vec![pool(STANDBY)]));
    driver
}

fn pass(driver: &mut Driver, here: usize, time_ms: u64) {
    for _ in 0..time_ms / 100 {
        driver.advance(100);
        driver.renew_leases();
        driver.apply(Event::Ticked);
        driver.list_vms(Some(listed(here, VmState::Up)));
        driver.schedule();
    }
}

fn moves(driver: &mut Driver) -> Vec<(VmId, ServiceName)> {
    let orders = std::mem::take(&mut driver.vm_orders);
    let moves = orders.into_iter().filter_map(|(vm, duty)| match duty {
        Duty::Move { pool } => Some((vm, pool)),
        Duty::Upkeep { .. } => None,
    });
    moves.collect()
}

fn answer(driver: &mut Driver, vm: VmId, to: &str, answer: DutyAnswer) {
    driver.apply(Event::VmOrderAnswered {
        vm,
        duty: Duty::Move { pool: pool(to) },
        answer,
    });
}

#[test]
fn nothing_moves_while_there_is_room() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(8, 1)]);
    pass(&mut driver, HERE, 6_000);
    assert_eq!(moves(&mut driver), []);
}

#[test]
fn a_short_lack_moves_nothing() {
    let mut driver = driver();
    pass(&mut driver, HERE, 4_000);
    driver.submit(1, policy(0), vec![step(12, 1)]);
    pass(&mut driver, HERE, 800);
    assert_eq!(moves(&mut driver), []);
}

#[test]
fn as_many_vms_come_as_waiting_tasks_need() {
    let mut driver = driver();
    // Eight of the twelve cores that are asked for are there.
    driver.submit(1, policy(0), vec![step(12, 1)]);
    pass(&mut driver, HERE, 6_000);
    assert_eq!(moves(&mut driver), [(vm(2), pool(SERVICE))]);
    answer(&mut driver, vm(2), SERVICE, DutyAnswer::Done);
    pass(&mut driver, HERE, 1_000);
    assert_eq!(moves(&mut driver), [], "it is on its way");
}

#[test]
fn a_vm_that_does_not_fit_is_not_asked_for_again() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    pass(&mut driver, HERE, 6_000);
    moves(&mut driver);
    answer(&mut driver, vm(2), SERVICE, DutyAnswer::Unfit);
    pass(&mut driver, HERE, 2_000);
    assert_eq!(moves(&mut driver), [(vm(3), pool(SERVICE))]);
}

#[test]
fn nothing_moves_by_a_list_that_is_old() {
    let mut driver = driver();
    pass(&mut driver, HERE, 4_000);
    driver.advance(3_000);
    driver.submit(1, policy(0), vec![step(12, 1)]);
    for _ in 0..50 {
        driver.advance(100);
        driver.apply(Event::Ticked);
        driver.list_vms(None);
    }
    assert_eq!(moves(&mut driver), []);
    pass(&mut driver, HERE, 1_500);
    assert_eq!(moves(&mut driver).len(), 1);
}

#[test]
fn a_move_in_doubt_is_ordered_again() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    pass(&mut driver, HERE, 6_000);
    moves(&mut driver);
    answer(&mut driver, vm(2), SERVICE, DutyAnswer::InDoubt);
    pass(&mut driver, HERE, 1_000);
    assert_eq!(moves(&mut driver), [(vm(2), pool(SERVICE))]);
}

#[test]
fn a_vm_that_came_goes_back_when_it_has_been_idle() {
    let mut driver = driver();
    driver.submit(1, policy(0), vec![step(12, 1)]);
    pass(&mut driver, HERE, 6_000);
    moves(&mut driver);
    answer(&mut driver, vm(2), SERVICE, DutyAnswer::Done);
    driver.apply(Event::WorkerListed(WorkerSpec {
        id: WorkerId::new("w-2"),
        ..worker(2, 4)
    }));
    for key in driver.workers.clone() {
        driver.report_running(key, &[]);
    }
    pass(&mut driver, HERE + 1, 500);
    let mut started = driver.confirm_starts();
    started.extend(driver.start_all());
    assert_eq!(started.len(), 12);
    for key in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == key);
        let ended: Vec<_> = here.map(|s| (s.task, s.run, RunEnd::Done)).collect();
        driver.report(key, &[], &ended);
    }
    driver.record();
    pass(&mut driver, HERE + 1, 9_000);
    assert_eq!(moves(&mut driver), [], "it was just used");
    pass(&mut driver, HERE + 1, 2_000);
    assert_eq!(moves(&mut driver), [(vm(2), pool(STANDBY))]);
    driver.submit(2, policy(0), vec![step(12, 1)]);
    driver.schedule();
    let third = driver.workers[2];
    assert!(driver.starts.iter().all(|start| start.worker != third));
}
