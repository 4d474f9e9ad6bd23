//! Large submissions come at once, and each process may use the memory that its machine has.

use std::thread::sleep;
use std::time::Duration;

use crate::cell::Cell;
use crate::judge::FINISH;
use crate::judge::Judged;
use crate::judge::judge;
use crate::record::Record;
use crate::store::Limits;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "lohu930";
const MINIONS: usize = 48;
const CPU: u64 = 32_000;

/// `MemoryMb` of the settings. A process that exceeds it is killed, and started again after a short delay.
const MEMORY_MB: u64 = 260;
const RESTART_MS: u64 = 1_000;

/// The large submissions: two bursts of 4 s, with 1.8 times 1.45 a second each. Their tasks come one at a time on a minion.
const BURSTS_AT_MS: [u64; 2] = [8_000, 16_000];
const BURST_COUNT: u64 = 10;
const BURST_GAP_MS: u64 = 400;
const STEPS: usize = 5;
const STEP_TASKS: u64 = 10_000;

/// Without the trouble, they have this many tasks a step.
const CALM_STEP_TASKS: u64 = 48;

const LARGE_CPU: u64 = 4_000;
const SOUND_CPU: u64 = 500;
const SOUND_GAP_MS: u64 = 200;
const TRAFFIC_MS: u64 = 50_000;

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions(SERVICE, MINIONS, CPU);
    // Sound submissions go first: their queue has priority 0.
    cell.configure(1, &[(PREFIX, SERVICE, 0), ("pufi791", SERVICE, 2)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let step = format!("{{\"Count\":2,\"Cpu\":{SOUND_CPU},\"MemMb\":64,\"EstimateMs\":400}}");
    let sound = format!("{{\"Spec\":\"ms=400\",\"Steps\":[{step}]}}");
    let tasks = if has_trouble { STEP_TASKS } else { CALM_STEP_TASKS };
    let step = format!("{{\"Count\":{tasks},\"Cpu\":{LARGE_CPU},\"MemMb\":20000,\"EstimateMs\":400}}");
    let steps = vec![step; STEPS].join(",");
    let large = format!("{{\"Spec\":\"ms=400\",\"Steps\":[{steps}]}}");
    let begun_ms = record.now_ms();
    let mut sent = 0;
    let mut kills = 0;
    let mut restarts: Vec<(usize, u64)> = Vec::new();
    let mut ids = Vec::new();
    let mut sounds = 0_usize;
    let mut due_ms = 0;
    let mut told_ms = 0;
    let end_ms = TRAFFIC_MS + FINISH.as_millis() as u64;
    loop {
        let at_ms = record.now_ms() - begun_ms;
        if at_ms >= end_ms {
            break;
        }
        let sizes = limit_memory(&mut cell, at_ms, &mut restarts, &mut kills);
        if at_ms >= told_ms {
            told_ms = at_ms + 2_000;
            record.line(&format!(
                "the processes use {sizes:?} MB, {kills} were killed; {} tasks run",
                cell.counts().0
            ));
        }
        let burst = (sent / BURST_COUNT) as usize;
        let in_burst = sent % BURST_COUNT;
        if BURSTS_AT_MS
            .get(burst)
            .is_some_and(|burst_ms| at_ms >= burst_ms + in_burst * BURST_GAP_MS)
        {
            let id = format!("{:016x}", 0xaaaa_0000 + sent);
            cell.submit(sent as usize, "pufi791", &id, &large, tasks * STEPS as u64);
            ids.push(id);
            sent += 1;
        }
        if at_ms >= due_ms && at_ms < TRAFFIC_MS {
            due_ms = at_ms + SOUND_GAP_MS;
            sounds += 1;
            let id = format!("{sounds:016x}");
            cell.submit(sounds, PREFIX, &id, &sound, 2);
            ids.push(id);
        }
        sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "{kills} processes were killed since they used over {MEMORY_MB} MB"
    ));
    let judged = Judged {
        prefix: PREFIX,
        ids: &ids,
        room: MINIONS as u64 * CPU,
        most_cpu: SOUND_CPU.max(LARGE_CPU),
        asked: 4,
    };
    for (number, _) in restarts {
        cell.nodes[number].start();
    }
    judge(&mut cell, &judged)
}

/// Does what the platform does with a process that exceeds the memory of its machine.
fn limit_memory(cell: &mut Cell, at_ms: u64, restarts: &mut Vec<(usize, u64)>, kills: &mut u64) -> Vec<u64> {
    let mut sizes = Vec::new();
    for (number, node) in cell.nodes.iter_mut().enumerate() {
        let size_mb = node.process.as_ref().map_or(0, |process| used_mb(process.id()));
        sizes.push(size_mb);
        if size_mb > MEMORY_MB {
            node.kill();
            *kills += 1;
            restarts.push((number, at_ms + RESTART_MS));
            cell.record
                .line(&format!("node {number} uses {size_mb} MB and is killed"));
        }
    }
    restarts.retain(|(number, due_ms)| {
        let is_due = at_ms >= *due_ms;
        if is_due {
            cell.nodes[*number].start();
        }
        !is_due
    });
    sizes
}

fn used_mb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    (pages.unwrap_or(0) * 4_096) >> 20
}
