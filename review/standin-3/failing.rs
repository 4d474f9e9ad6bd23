//! A few submissions that can never be done come among sound ones.

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

/// Time between two sound submissions.
const SOUND_GAP_MS: u64 = 100;

/// When a submission comes that can't be done: at most one in three seconds, in which 30 sound ones come.
const POISON_AT_MS: [u64; 5] = [8_000, 14_000, 24_000, 42_000, 46_000];

/// The largest step of a `consignment-batch`, and the most steps that it has.
const POISON_TASKS: u64 = 60;
const POISON_STEPS: usize = 3;
const POISON_CPU: u64 = 5_900;

const TRAFFIC_MS: u64 = 54_000;

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions(SERVICE, MINIONS, CPU);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let step = "{\"Count\":2,\"Cpu\":500,\"MemMb\":64,\"EstimateMs\":400}";
    let sound = format!("{{\"Spec\":\"ms=400\",\"Steps\":[{step}]}}");
    let step = format!("{{\"Count\":{POISON_TASKS},\"Cpu\":{POISON_CPU},\"MemMb\":64,\"EstimateMs\":400}}");
    let steps = vec![step; POISON_STEPS].join(",");
    // Without the trouble, the same submissions can be done.
    let payload = if has_trouble { "ms=50 fail" } else { "ms=50" };
    let poison = format!("{{\"Spec\":\"{payload}\",\"Steps\":[{steps}]}}");
    let begun_ms = record.now_ms();
    let mut poisons = 0;
    let mut ids = Vec::new();
    while record.now_ms() - begun_ms < TRAFFIC_MS {
        let at_ms = record.now_ms() - begun_ms;
        if POISON_AT_MS.get(poisons).is_some_and(|due_ms| at_ms >= *due_ms) {
            let id = format!("{:016x}", 0xaaaa_0000 + poisons);
            let tasks = POISON_TASKS * POISON_STEPS as u64;
            cell.submit_with_retries(poisons, PREFIX, &id, &poison, tasks);
            poisons += 1;
        }
        let id = format!("{:016x}", ids.len() + 1);
        cell.submit_with_retries(ids.len(), PREFIX, &id, &sound, 2);
        ids.push(id);
        sleep(Duration::from_millis(SOUND_GAP_MS));
    }
    record.line("end of the traffic");
    sleep(FINISH);
    let judged = Judged {
        prefix: PREFIX,
        ids: &ids,
        room: MINIONS as u64 * CPU,
        most_cpu: POISON_CPU,
    };
    judge(&mut cell, &judged)
}
