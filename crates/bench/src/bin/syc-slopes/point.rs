//! One measured point: a cluster under a steady load, and what its daemons used.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use miette::Result;
use serde::Serialize;
use syc_bench::cluster::Cluster;
use syc_bench::cluster::ClusterOptions;
use syc_bench::usage;

/// What a cluster is made of and what it has to do.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Entry VMs.
    pub daemons: u32,
    /// Workers in the cell.
    pub workers: u32,
    /// Tasks that run all the time.
    pub tasks: u32,
    /// Short tasks that start each second.
    pub starts_per_s: u32,
    /// Teams that the tasks belong to.
    pub teams: u32,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 60,
            tasks: 0,
            starts_per_s: 0,
            teams: 21,
        }
    }
}

/// What one daemon used, on average over the daemons of the point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Share of one core, in percent.
    pub cpu_percent: f64,
    /// Resident memory.
    pub memory_bytes: f64,
    /// Bytes over the network a second, headers included, each byte counted once and shared out
    /// over the daemons.
    pub bytes_per_s: f64,
    /// Appends to the log a second, by all daemons together.
    pub appends_per_s: f64,
    /// Tasks that ran when the window ended.
    pub running: u32,
}

/// Time between the end of the setting up and the window; longer than a poll of a worker, which tells
/// of each new task once.
const SETTLE: Duration = Duration::from_secs(13);

/// Sets a cluster up, waits for it to settle and measures it.
pub async fn measure(daemon: &Path, load: Load, window_s: u64) -> Result<Point> {
    let options = ClusterOptions {
        daemons: load.daemons as usize,
        workers: load.workers as usize,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(daemon, &options).await?;
    cluster.fill(load.tasks, load.teams).await?;
    let window = Duration::from_secs(window_s);
    let driving = cluster.drive(load.starts_per_s, load.teams, SETTLE + window);
    let watching = watch(&cluster, window);
    let ((), point) = join(driving, watching).await;
    Ok(point)
}

async fn watch(cluster: &Cluster, window: Duration) -> Point {
    actix_rt::time::sleep(SETTLE).await;
    let before = cluster.usages();
    let bytes_before = usage::loopback_bytes();
    let appends_before = cluster.appends();
    let began = Instant::now();
    actix_rt::time::sleep(window).await;
    let elapsed_s = began.elapsed().as_secs_f64();
    let after = cluster.usages();
    let bytes = usage::loopback_bytes() - bytes_before;
    let appends = cluster.appends() - appends_before;
    let mut cpu_ns = 0;
    let mut memory_bytes = 0;
    for (before, after) in before.iter().zip(&after) {
        cpu_ns += after.cpu_ns - before.cpu_ns;
        memory_bytes += after.memory_bytes;
    }
    let daemons = to_f64(after.len() as u64);
    Point {
        cpu_percent: to_f64(cpu_ns) / 1e9 / elapsed_s / daemons * 100.0,
        memory_bytes: to_f64(memory_bytes) / daemons,
        bytes_per_s: to_f64(bytes) / elapsed_s / daemons,
        appends_per_s: to_f64(appends) / elapsed_s,
        running: cluster.running(),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the figures are far below the precision of a float"
)]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
