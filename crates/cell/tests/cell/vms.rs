//! Maintenance waves and standby pools, tested with whole nodes.

use syc_cell::Configuration;
use syc_sched::JobState;
use syc_sched::StepSpec;
use syc_sched::Wave;
use syc_types::ServiceName;
use syc_types::VmId;

use crate::cluster::Cluster;
use crate::cluster::QUEUE;
use crate::cluster::configuration;
use crate::cluster::cpu;
use crate::cluster::step;

const STANDBY: &str = "standby";

const WAVE: u64 = 7;

fn vm(index: usize) -> VmId {
    VmId::new(format!("vm-{index}"))
}

fn wave(vms: usize) -> Wave {
    Wave {
        number: WAVE,
        vms: (0..vms).map(vm).collect(),
        limit_ms: 10_000,
        at_once: 1,
    }
}

/// Starts a cell of three nodes with workers on VMs.
fn cluster_on_vms(vms: usize) -> Cluster {
    let cluster = Cluster::start(3, 0);
    for index in 0..vms {
        let pool = ServiceName::new(QUEUE);
        cluster.platform.add_vm(&vm(index), &pool, cpu(8));
    }
    cluster
}

fn assert_no_violations(cluster: &Cluster) {
    let faults = cluster.platform.with_vms(|vms| vms.violations().to_vec());
    assert_eq!(faults, []);
    cluster.assert_no_violations();
}

fn wait_until_completed(cluster: &Cluster) {
    cluster.wait("the wave to be completed", || {
        let status = cluster.platform.reported_wave_status(WAVE)?;
        (status == "completed").then_some(())
    });
}

#[test]
fn a_wave_is_reported_as_running_and_then_completed_once_every_vm_had_its_upkeep() {
    let cluster = cluster_on_vms(3);
    cluster.scheduler();
    cluster.platform.publish_wave(wave(3));
    cluster.wait("the wave to be reported", || {
        cluster.platform.reported_wave_status(WAVE)
    });
    wait_until_completed(&cluster);
    assert_eq!(cluster.platform.with_vms(|vms| vms.maintenance_count()), 3);
    assert_no_violations(&cluster);
}

#[test]
fn a_successor_resumes_a_wave_and_takes_no_vm_down_twice() {
    let mut cluster = cluster_on_vms(4);
    let first = cluster.scheduler();
    cluster.platform.publish_wave(wave(4));
    cluster.wait("a VM to have its upkeep", || {
        let upkeeps = cluster.platform.with_vms(|vms| vms.maintenance_count());
        (upkeeps > 0).then_some(())
    });
    cluster.kill(first);
    wait_until_completed(&cluster);
    assert_eq!(cluster.platform.with_vms(|vms| vms.maintenance_count()), 4);
    assert_no_violations(&cluster);
}

#[test]
fn jobs_complete_during_a_wave() {
    let cluster = cluster_on_vms(3);
    let node = cluster.scheduler();
    let checkpointed_step = StepSpec {
        checkpointed: true,
        ..step(6, 3_000)
    };
    cluster.submit(node, 1, vec![checkpointed_step]);
    cluster.wait_for_state(node, 1, JobState::Running);
    cluster.platform.publish_wave(wave(3));
    wait_until_completed(&cluster);
    cluster.wait_for_state(node, 1, JobState::Completed);
    assert_no_violations(&cluster);
}

#[test]
fn standby_vms_are_added_when_capacity_is_short() {
    let cluster = cluster_on_vms(1);
    for index in 1..4 {
        let pool = ServiceName::new(STANDBY);
        cluster.platform.add_standby_vm(&vm(index), &pool, cpu(8));
    }
    cluster.platform.publish(Configuration {
        standby: vec![ServiceName::new(STANDBY)],
        ..configuration(2)
    });
    let node = cluster.scheduler();
    // Each task takes a quarter of a VM.
    cluster.submit(node, 1, vec![step(16, 4_000)]);
    cluster.wait("a standby VM to be added", || {
        cluster.platform.with_vms(|vms| {
            let pools = (1..4).filter_map(|index| vms.pool_of(&vm(index)));
            let added = pools.filter(|pool| pool.as_str() == QUEUE);
            (added.count() > 0).then_some(())
        })
    });
    cluster.wait_for_state(node, 1, JobState::Completed);
    assert_no_violations(&cluster);
}
