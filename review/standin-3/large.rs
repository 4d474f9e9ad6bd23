//! A large submission comes among small ones.

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

/// Tasks of the large submission, and what each needs.
const LARGE_TASKS: u64 = 9_000;
const LARGE_CPU: u64 = 40;
const LARGE_MS: u64 = 20_000;

/// Without the trouble, as many tasks come in submissions of this many.
const SMALL_TASKS: u64 = 60;

const SMALL_CPU: u64 = 500;
const LARGE_AT_MS: u64 = 10_000;
const TRAFFIC_MS: u64 = 50_000;

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions(SERVICE, MINIONS, CPU);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let step = format!("\"Count\":4,\"Cpu\":{SMALL_CPU},\"MemMb\":64,\"EstimateMs\":400");
    let small = format!("{{\"Spec\":\"ms=400\",\"Steps\":[{{{step}}},{{{step},\"After\":[0]}}]}}");
    let begun_ms = record.now_ms();
    let mut is_large_sent = false;
    let mut ids = Vec::new();
    while record.now_ms() - begun_ms < TRAFFIC_MS {
        if record.now_ms() - begun_ms >= LARGE_AT_MS && !is_large_sent {
            is_large_sent = true;
            send_large(&cell, has_trouble);
        }
        let id = format!("{:016x}", ids.len() + 1);
        cell.submit_with_retries(ids.len(), PREFIX, &id, &small, 8);
        ids.push(id);
        if ids.len() % 8 == 0 {
            let (running, listed) = cell.counts();
            let counts = cell.store.counts();
            record.line(&format!(
                "minions run {running} tasks and list {listed} ends; largest record {} bytes, {} appends refused as too large",
                counts.largest_record, counts.too_large
            ));
        }
        sleep(Duration::from_millis(500));
    }
    record.line("end of the traffic");
    sleep(FINISH);
    let judged = Judged {
        prefix: PREFIX,
        ids: &ids,
        room: MINIONS as u64 * CPU,
        most_cpu: SMALL_CPU.max(LARGE_CPU),
    };
    judge(&mut cell, &judged)
}

fn send_large(cell: &Cell, has_trouble: bool) {
    let count = if has_trouble { 1 } else { LARGE_TASKS / SMALL_TASKS };
    let tasks = LARGE_TASKS / count;
    for number in 0..count {
        let id = format!("{:016x}", 0xaaaa_0000 + number);
        let body = format!(
            "{{\"Spec\":\"ms={LARGE_MS}\",\"Steps\":[{{\"Count\":{tasks},\"Cpu\":{LARGE_CPU},\"MemMb\":64,\"EstimateMs\":{LARGE_MS}}}]}}"
        );
        cell.submit_with_retries(number as usize, PREFIX, &id, &body, tasks);
    }
}
