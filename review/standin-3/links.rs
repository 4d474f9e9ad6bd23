//! The process of the scheduler is killed after the cell has served for a while, over links of 10 Mbit/s.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Cell;
use crate::cell::HOST;
use crate::http::call;
use crate::judge::FINISH;
use crate::judge::Judged;
use crate::judge::judge;
use crate::record::Record;
use crate::store::Limits;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "lohu930";
const MINIONS: usize = 48;
const CPU: u64 = 32_000;
const LINK_MBPS: f64 = 10.0;

/// The load: small submissions, as many a second as the site has in all, with as long a payload as its label lookups have.
const SUBMITTERS: usize = 16;
const SUBMITS_PER_S: usize = 150;
const SMALL_CPU: u64 = 500;
const SPEC_BYTES: usize = 1_000;

const KILL_AT_MS: u64 = 70_000;
const RESTART_MS: u64 = 3_500;
const TRAFFIC_MS: u64 = 86_000;

/// Submissions whose states are asked for at the end. Without a scheduler, each answer takes a second and a half.
const ASKED: usize = 1;

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::with_links(directory, record.clone(), 3, Limits::default(), Some(LINK_MBPS));
    cell.add_minions(SERVICE, MINIONS, CPU);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let step = format!("{{\"Count\":2,\"Cpu\":{SMALL_CPU},\"MemMb\":64,\"EstimateMs\":400}}");
    let padding = "x".repeat(SPEC_BYTES);
    let small = format!("{{\"Spec\":\"ms=400 {padding}\",\"Steps\":[{step}]}}");
    let begun_ms = record.now_ms();
    let next = AtomicUsize::new(1);
    let ids = Mutex::new(Vec::new());
    let callers: Vec<_> = cell.nodes.iter().map(|node| node.callers).collect();
    let mut killed = None;
    std::thread::scope(|scope| {
        for _ in 0..SUBMITTERS {
            scope.spawn(|| {
                let gap = Duration::from_micros((1_000_000 * SUBMITTERS / SUBMITS_PER_S) as u64);
                let mut due = Instant::now();
                while record.now_ms() - begun_ms < TRAFFIC_MS {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{number:016x}");
                    submit(record, &callers, number, &id, &small);
                    ids.lock().unwrap().push(id);
                    due += gap;
                    sleep(due.saturating_duration_since(Instant::now()));
                }
            });
        }
        let mut told_ms = 0;
        loop {
            let at_ms = record.now_ms() - begun_ms;
            if at_ms >= TRAFFIC_MS {
                break;
            }
            if has_trouble && at_ms >= KILL_AT_MS && killed.is_none() {
                let scheduler = cell.scheduler();
                record.line(&format!("node {scheduler} is the scheduler and is killed"));
                cell.nodes[scheduler].kill();
                killed = Some((scheduler, at_ms, false));
            }
            if let Some((scheduler, killed_ms, false)) = killed
                && at_ms >= killed_ms + RESTART_MS
            {
                cell.nodes[scheduler].start();
                killed = Some((scheduler, killed_ms, true));
                record.line(&format!("node {scheduler} starts again"));
            }
            if at_ms >= told_ms {
                told_ms = at_ms + 2_000;
                let bytes = cell.store.newest_bytes("keyed.progress");
                record.line(&format!(
                    "{} tasks run; the newest progress takes {bytes} bytes",
                    cell.counts().0
                ));
            }
            sleep(Duration::from_millis(50));
        }
    });
    record.line("end of the traffic");
    sleep(FINISH);
    let ids = ids.into_inner().unwrap();
    let judged = Judged {
        prefix: PREFIX,
        ids: &ids,
        room: MINIONS as u64 * CPU,
        most_cpu: SMALL_CPU,
        asked: ASKED,
    };
    judge(&mut cell, &judged)
}

/// Submits a small submission, at another node if there is no answer.
fn submit(record: &Record, callers: &[SocketAddr], number: usize, id: &str, body: &str) {
    for attempt in 0..3 {
        let node = callers[(number + attempt) % callers.len()];
        let path = format!("/{PREFIX}/{id}");
        let answer = call(node, "POST", &path, HOST, body, Duration::from_secs(3));
        let status = answer.map_or(0, |(status, _)| status);
        let now_ms = record.now_ms();
        if number % 50 == 0 || status != 200 {
            record.line(&format!("POST {path} -> {status}"));
        }
        if status == 200 {
            record.update(id, |submission| {
                submission.tasks = 2;
                submission.accepted_ms.get_or_insert(now_ms);
            });
            return;
        }
    }
}
