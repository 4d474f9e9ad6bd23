//! The tasks of one submission take many times as long as estimated, among sound submissions.

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

/// The submission whose tasks take long.
const LONG_AT_MS: u64 = 5_000;
/// The widest step of an `acceptance-check`, and the most that its tasks need.
const LONG_TASKS: u64 = 48;
const LONG_CPU: u64 = 15_000;
const ESTIMATE_MS: u64 = 12_000;
const TIMES_AS_LONG: u64 = 30;

const TRAFFIC_MS: u64 = 56_000;

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
    let times = if has_trouble { TIMES_AS_LONG } else { 1 };
    let long = format!(
        "{{\"Spec\":\"ms={}\",\"Steps\":[{{\"Count\":{LONG_TASKS},\"Cpu\":{LONG_CPU},\"MemMb\":64,\"EstimateMs\":{ESTIMATE_MS}}}]}}",
        ESTIMATE_MS * times
    );
    let begun_ms = record.now_ms();
    let mut is_long_sent = false;
    let mut ids = Vec::new();
    while record.now_ms() - begun_ms < TRAFFIC_MS {
        if record.now_ms() - begun_ms >= LONG_AT_MS && !is_long_sent {
            is_long_sent = true;
            cell.submit_with_retries(0, PREFIX, "00000000aaaa0000", &long, LONG_TASKS);
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
        most_cpu: LONG_CPU,
    };
    judge(&mut cell, &judged)
}
