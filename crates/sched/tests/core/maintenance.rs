//! Tests of maintenance waves.

use syc_sched::Action;
use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::VmOrderAnswer;
use syc_sched::VmState;
use syc_sched::Wave;
use syc_sched::WaveProgress;
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

const WAVE: u64 = 5;

fn wave(vms: usize, at_once: u32) -> Wave {
    Wave {
        number: WAVE,
        vms: (0..vms).map(vm).collect(),
        limit_ms: 20_000,
        at_once,
    }
}

fn listed(vms: usize, down: &[usize]) -> Vec<VmInfo> {
    let listed = (0..vms).map(|index| VmInfo {
        id: vm(index),
        pool: ServiceName::new(SERVICE),
        state: if down.contains(&index) {
            VmState::Maintenance
        } else {
            VmState::Up
        },
        capacity: cpu(4),
        worker: Some(WorkerId::new(format!("w-{index}"))),
    });
    listed.collect()
}

/// Advances time in steps. VM lists show the given VMs as down, and the store accepts all writes.
fn pass(driver: &mut Driver, vms: usize, down: &[usize], time_ms: u64) {
    for _ in 0..time_ms / 100 {
        driver.advance(100);
        driver.renew_leases();
        driver.apply(Event::Ticked);
        driver.list_vms(Some(listed(vms, down)));
        driver.record();
        driver.schedule();
    }
}

fn ordered(driver: &mut Driver) -> Vec<VmId> {
    let orders = std::mem::take(&mut driver.vm_orders);
    orders.into_iter().map(|(vm, _)| vm).collect()
}

fn answer(driver: &mut Driver, vm: VmId, answer: VmOrderAnswer) {
    driver.apply(Event::VmOrderAnswered {
        vm,
        operation: VmOperation::Maintenance { wave: WAVE },
        answer,
    });
}

/// Returns the tasks that were stopped in order to move elsewhere. Unanswered stops are sent again, so a task may be
/// listed more than once.
fn evacuated_tasks(driver: &Driver) -> Vec<TaskId> {
    let stops = driver.stops.iter();
    let moving = stops.filter(|stop| stop.reason == StopReason::Evacuating);
    moving.map(|stop| stop.task).collect()
}

fn published(vms: usize, at_once: u32) -> Driver {
    let mut driver = Driver::new(vms, 4);
    driver.apply(Event::WavePublished {
        wave: wave(vms, at_once),
        age_ms: 0,
    });
    driver
}

#[test]
fn new_scheduler_delays_its_first_vm_orders() {
    let mut driver = published(2, 2);
    pass(&mut driver, 2, &[], 3_400);
    assert_eq!(ordered(&mut driver), []);
    pass(&mut driver, 2, &[], 400);
    assert_eq!(ordered(&mut driver).len(), 2);
}

#[test]
fn next_vm_goes_down_after_the_previous_one_is_back() {
    let mut driver = published(3, 1);
    pass(&mut driver, 3, &[], 4_000);
    let first = ordered(&mut driver);
    assert_eq!(first, [vm(0)]);
    answer(&mut driver, vm(0), VmOrderAnswer::Done);
    pass(&mut driver, 3, &[0], 3_000);
    assert_eq!(ordered(&mut driver), [], "the first is still down");
    pass(&mut driver, 3, &[], 1_000);
    assert_eq!(ordered(&mut driver), [vm(1)]);
}

#[test]
fn in_doubt_order_is_retried_and_stays_counted() {
    let mut driver = published(3, 1);
    pass(&mut driver, 3, &[], 4_000);
    assert_eq!(ordered(&mut driver), [vm(0)]);
    answer(&mut driver, vm(0), VmOrderAnswer::InDoubt);
    pass(&mut driver, 3, &[], 1_000);
    assert_eq!(ordered(&mut driver), [vm(0)]);
}

#[test]
fn successor_first_repeats_orders_that_may_be_in_flight() {
    let mut driver = Driver::new(3, 4);
    driver.scheduler.restore_wave(WaveProgress {
        number: WAVE,
        ordered: vec![vm(1)],
        begun: vec![vm(2)],
        completed: false,
    });
    driver.apply(Event::WavePublished {
        wave: wave(3, 1),
        age_ms: 0,
    });
    pass(&mut driver, 3, &[], 4_000);
    assert_eq!(ordered(&mut driver), [vm(1)]);
}

// Guards against tasks that a successor starts on a VM which it then takes down (AVAIL): the order of the predecessor is
// repeated only after a pause.
#[test]
fn successor_starts_nothing_on_a_vm_whose_maintenance_was_ordered() {
    let mut driver = Driver::new(2, 4);
    driver.scheduler.restore_wave(WaveProgress {
        number: WAVE,
        ordered: vec![vm(1)],
        ..WaveProgress::default()
    });
    driver.apply(Event::WavePublished {
        wave: wave(2, 1),
        age_ms: 0,
    });
    pass(&mut driver, 2, &[], 300);
    driver.submit(1, policy(0), vec![step(2, 3)]);
    let started = driver.settle();
    let places: Vec<_> = started.iter().map(|start| start.worker).collect();
    assert_eq!(places, [driver.workers[0]]);
}

/// The predecessor may have ended between storing the completion of a wave and reporting it.
#[test]
fn successor_reports_a_completed_wave_again() {
    let mut driver = Driver::new(3, 4);
    driver.scheduler.restore_wave(WaveProgress {
        number: WAVE,
        begun: vec![vm(0), vm(1), vm(2)],
        completed: true,
        ..WaveProgress::default()
    });
    driver.apply(Event::WavePublished {
        wave: wave(3, 1),
        age_ms: 0,
    });
    pass(&mut driver, 3, &[], 5_000);
    assert_eq!(driver.wave_reports, [(WAVE, true)]);
    assert_eq!(ordered(&mut driver), []);
}

#[test]
fn wave_completes_once_every_remaining_vm_has_begun() {
    let mut driver = published(2, 2);
    pass(&mut driver, 2, &[], 4_000);
    answer(&mut driver, vm(0), VmOrderAnswer::Done);
    pass(&mut driver, 2, &[0], 300);
    assert_eq!(driver.wave_reports, [(WAVE, false)]);
    // The other VM is removed.
    pass(&mut driver, 1, &[0], 300);
    answer(&mut driver, vm(1), VmOrderAnswer::InDoubt);
    pass(&mut driver, 1, &[0], 2_000);
    assert_eq!(driver.wave_reports, [(WAVE, false), (WAVE, true)]);
}

#[test]
fn vm_is_evacuated_before_it_goes_down() {
    let mut driver = Driver::new(2, 4);
    let checkpointed = StepSpec {
        checkpointed: true,
        estimate_ms: 60_000,
        ..step(2, 4)
    };
    driver.submit(1, policy(0), vec![checkpointed]);
    driver.schedule();
    let started = driver.confirm_starts();
    for start in &started {
        driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    }
    driver.apply(Event::WavePublished {
        wave: wave(2, 1),
        age_ms: 0,
    });
    pass(&mut driver, 2, &[], 4_000);
    assert_eq!(ordered(&mut driver), []);
    let moving = evacuated_tasks(&driver);
    assert_eq!(moving.len(), 1);
    let stopped = started.iter().find(|start| start.task == moving[0]);
    let stopped = stopped.cloned().expect("one of the two");
    driver.report_end(&stopped, RunEnd::Stopped, &[]);
    pass(&mut driver, 2, &[], 300);
    assert_eq!(ordered(&mut driver).len(), 1);
}

#[test]
fn long_running_tasks_move_within_their_unavailability_limit() {
    let mut driver = Driver::new(2, 4);
    let long_running = StepSpec {
        long_running: true,
        unavailable_limit: Some(1),
        ..step(4, 2)
    };
    driver.submit(1, policy(0), vec![long_running]);
    driver.schedule();
    let started = driver.confirm_starts();
    let on = |worker| {
        let here = started.iter().filter(move |start| start.worker == worker);
        here.map(|start| (start.task, start.run, 100))
            .collect::<Vec<_>>()
    };
    for worker in driver.workers.clone() {
        driver.report_running(worker, &on(worker));
    }
    driver.apply(Event::WavePublished {
        wave: wave(2, 2),
        age_ms: 0,
    });
    pass(&mut driver, 2, &[], 10_000);
    let moving = evacuated_tasks(&driver);
    assert_eq!(moving.len(), 1, "one is unavailable, which is the limit");
    assert_eq!(ordered(&mut driver), []);
}

/// Runs that move to a VM that is still waiting for maintenance would have to move again.
#[test]
fn starts_prefer_vms_that_finished_maintenance() {
    let mut driver = published(3, 1);
    pass(&mut driver, 3, &[], 4_000);
    assert_eq!(ordered(&mut driver), [vm(0)]);
    answer(&mut driver, vm(0), VmOrderAnswer::Done);
    // The first VM is back with a new worker before the second goes down.
    driver.apply(Event::WorkerListed(WorkerSpec {
        id: WorkerId::new("w-0-again"),
        ..worker(0, 4)
    }));
    let again = *driver.workers.last().expect("it was attached");
    driver.report_running(again, &[]);
    driver.submit(1, policy(0), vec![step(4, 1)]);
    let started = driver.start_all();
    let workers: Vec<_> = started.iter().map(|start| start.worker).collect();
    assert_eq!(workers, [again; 4]);
}

#[test]
fn no_vm_requests_without_a_wave() {
    let mut driver = Driver::new(2, 4);
    let mut asked = 0;
    for _ in 0..100 {
        driver.advance(100);
        let actions = driver.scheduler.handle(Event::Ticked, driver.now);
        let lists = actions
            .iter()
            .filter(|action| matches!(action, Action::ListVms { .. }));
        asked += lists.count();
    }
    assert_eq!(asked, 0);
}

/// A worker that stops responding keeps its tasks until its lease expires. If they counted as available until then,
/// a second task of the step could be stopped.
#[test]
fn task_on_a_silent_worker_counts_as_unavailable() {
    let mut driver = Driver::new(3, 4);
    let long_running = StepSpec {
        long_running: true,
        unavailable_limit: Some(1),
        tasks_per_worker: Some(1),
        ..step(3, 1)
    };
    driver.submit(1, policy(0), vec![long_running]);
    driver.schedule();
    let starts = driver.confirm_starts();
    for start in &starts {
        driver.report_running(start.worker, &[(start.task, start.run, 100)]);
        driver.apply(Event::Renewing {
            worker: start.worker,
        });
    }
    let (lost, others) = starts.split_first().expect("three starts");
    driver.apply(Event::RenewalFailed {
        worker: lost.worker,
    });
    let mut wave = wave(3, 1);
    let lost_vm = driver.workers.iter().position(|key| *key == lost.worker);
    wave.vms
        .retain(|name| Some(name) != lost_vm.map(vm).as_ref());
    driver.apply(Event::WavePublished { wave, age_ms: 0 });
    for _ in 0..50 {
        for start in others {
            driver.report_running(start.worker, &[(start.task, start.run, 100)]);
        }
        pass(&mut driver, 3, &[], 100);
    }
    assert_eq!(
        evacuated_tasks(&driver),
        [],
        "one of three is already unavailable"
    );
    driver.report_running(lost.worker, &[(lost.task, lost.run, 100)]);
    pass(&mut driver, 3, &[], 100);
    assert_eq!(evacuated_tasks(&driver).len(), 1);
}

/// A delayed VM list shows the state when it was requested. If it were dated by a later request, a VM that has just
/// gone down would appear to be back, and the next one would be taken down.
#[test]
fn late_vm_list_is_dated_by_its_own_request() {
    let mut driver = published(2, 1);
    pass(&mut driver, 2, &[], 4_000);
    assert_eq!(ordered(&mut driver), [vm(0)]);
    // The list is requested before the order is carried out, and arrives after another list was requested.
    driver.advance(600);
    driver.apply(Event::Ticked);
    let first_asked_at = driver.now;
    assert_eq!(driver.lists_asked.last(), Some(&first_asked_at));
    answer(&mut driver, vm(0), VmOrderAnswer::Done);
    driver.record();
    for _ in 0..21 {
        driver.advance(100);
        driver.apply(Event::Ticked);
    }
    assert!(driver.lists_asked.last() > Some(&first_asked_at));
    driver.apply(Event::VmsListed {
        asked_at: first_asked_at,
        vms: Some(listed(2, &[])),
    });
    for _ in 0..3 {
        driver.advance(100);
        driver.apply(Event::Ticked);
        driver.record();
    }
    assert_eq!(ordered(&mut driver), [], "the first is still down");
}

/// A list that was requested before a wave was seen may lack a VM that joined since. If the VM were considered removed,
/// the wave would be reported as completed without it.
#[test]
fn vm_list_older_than_the_wave_removes_no_vms() {
    let mut driver = published(1, 1);
    pass(&mut driver, 1, &[], 4_000);
    let later = Wave {
        number: WAVE + 1,
        vms: vec![vm(1)],
        limit_ms: 20_000,
        at_once: 1,
    };
    driver.apply(Event::WavePublished {
        wave: later,
        age_ms: 0,
    });
    driver.advance(100);
    driver.apply(Event::Ticked);
    driver.record();
    assert!(!driver.wave_reports.contains(&(WAVE + 1, true)));
    pass(&mut driver, 1, &[], 1_000);
    assert!(
        driver.wave_reports.contains(&(WAVE + 1, true)),
        "the VM is removed now"
    );
}
