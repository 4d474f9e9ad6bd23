//! Deaths, restarts, planned leaves and log outages of daemons.

use std::time::Duration;

use serde_json::Value;
use syc_config::Settings;
use syc_config::Timing;
use syc_standin::LogFaults;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::TOKEN;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;

/// Workers of every test here, each in a rack of its own.
const WORKERS: usize = 4;

/// How often something awaited is looked at.
const CHECK: Duration = Duration::from_millis(20);

/// How often it is looked at before the test gives up.
const CHECKS: usize = 1_500;

fn timing() -> Timing {
    Timing {
        log_poll_ms: 100,
        vm_poll_ms: 100,
        worker_poll_ms: 500,
        lease_ms: 2_000,
        drain_notice_ms: 10,
        drain_linger_ms: 10,
        heartbeat_ms: 100,
        authority_ms: 1_000,
        drift_ms: 100,
        suspect_ms: 1_100,
        ..Timing::default()
    }
}

impl Cluster {
    async fn status(&self, number: usize) -> Value {
        let url = self.bed.control_url(number, "/v1/status");
        self.bed.get_json(url).await
    }

    /// Waits until a daemon may act in a view of so many members, and returns its status.
    async fn await_acting(&self, number: usize, members: usize) -> Value {
        for _ in 0..CHECKS {
            let status = self.status(number).await;
            let listed = status["members"].as_array().map(Vec::len);
            if listed == Some(members) && status["may_act"] == true {
                return status;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {number} does not act in a view of {members}");
    }

    /// Runs a job that needs every core of every worker, so that every rack must have an owner.
    async fn run_on_every_worker(&self, through: usize, team: &str) {
        let id = Uuid::now_v7();
        let body = serde_json::json!({
            "job_id": id,
            "spec": {
                "team": team,
                "name": "manifest",
                "tasks": WORKERS,
                "resources": {"cpu_millis": 4_000, "memory_bytes": 1_000},
                "run_time_ms": 300,
            },
        });
        for _ in 0..CHECKS {
            let url = self.bed.callers_url(through, "/v1/jobs");
            let answer = self.bed.client.post(url).send_json(&body).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                self.bed.await_job(through, id).await;
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("the job of {team} is not accepted");
    }
}

fn settings(bed: &Bed, number: usize) -> Settings {
    Settings {
        timing: timing(),
        control_token: TOKEN.into(),
        ..bed.cell.settings(number)
    }
}

fn ids(status: &Value) -> Vec<String> {
    let members = status["members"].as_array().expect("members");
    let ids = members.iter().map(|member| member["id"].as_str());
    ids.map(|id| id.expect("an id").to_owned()).collect()
}

#[actix_rt::test]
async fn the_racks_and_teams_of_a_killed_daemon_are_taken_over() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    cluster.run_on_every_worker(0, "freight").await;
    cluster.kill(2);
    for survivor in 0..2 {
        cluster.await_acting(survivor, 2).await;
    }
    for team in ["freight", "counters", "depots", "smelters"] {
        cluster.run_on_every_worker(1, team).await;
    }
}

#[actix_rt::test]
async fn a_restarted_daemon_is_a_new_member() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    let before = ids(&cluster.await_acting(0, 3).await);
    cluster.kill(1);
    cluster.restart(1);
    cluster.bed.await_ready(1).await;
    let after = ids(&cluster.await_acting(1, 3).await);
    assert_eq!(before[0], after[0]);
    assert_ne!(before[1], after[1]);
    assert_eq!(before[2], after[2]);
    cluster.run_on_every_worker(1, "freight").await;
}

#[actix_rt::test]
async fn a_daemon_that_stops_as_planned_hands_over() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    cluster.stop(0).await;
    // It said goodbye: the others hold its part as soon as it has stopped.
    cluster.await_acting(1, 2).await;
    cluster.await_acting(2, 2).await;
    for team in ["freight", "counters", "depots", "smelters"] {
        cluster.run_on_every_worker(1, team).await;
    }
}

#[actix_rt::test]
async fn all_daemons_killed_at_once_come_back_with_the_configuration() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    let before = cluster.await_acting(0, 3).await;
    for number in 0..DAEMONS {
        cluster.kill(number);
    }
    for number in 0..DAEMONS {
        cluster.restart(number);
    }
    for number in 0..DAEMONS {
        cluster.bed.await_ready(number).await;
        cluster.bed.await_config(number, 1).await;
    }
    let after = cluster.await_acting(0, 3).await;
    assert!(after["epoch"].as_u64() > before["epoch"].as_u64());
    cluster.run_on_every_worker(2, "freight").await;
}

#[actix_rt::test]
async fn a_daemon_is_not_ready_while_the_log_is_down_at_its_start() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    cluster.kill(1);
    cluster.bed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    cluster.restart(1);
    // The others act on without the log: their view stands.
    cluster.await_acting(0, 3).await;
    let status = cluster.status(1).await;
    assert_eq!(status["may_act"], false);
    assert_eq!(ids(&status), Vec::<String>::new());
    cluster.bed.log.set_faults(LogFaults::default());
    cluster.bed.await_ready(1).await;
    cluster.await_acting(1, 3).await;
}
