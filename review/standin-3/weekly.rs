//! A submission repeats once a week.

use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::cell::Cell;
use crate::record::Record;
use crate::store::Limits;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "lohu930";
const WEEKLY: &str = "00000000aaaa0000";
const MINIONS: usize = 12;
const CPU: u64 = 32_000;
const TASKS: u64 = 4;

const DAY_MS: u64 = 86_400_000;
const WEEK_MS: u64 = 7 * DAY_MS;

/// A day after its first occurrence is this long after its hand-in.
const DAY_AFTER_FIRST_MS: u64 = 20_000;

/// `early_ms`: a task may start this long before its time.
const EARLY_MS: u64 = 250;

const WATCH: Duration = Duration::from_secs(40);

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions(SERVICE, MINIONS, CPU);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since_epoch.map_err(|error| error.to_string())?.as_millis() as u64;
    let handed_in_ms = record.now_ms();
    let first_ms = now_ms + DAY_AFTER_FIRST_MS - DAY_MS;
    let interval_ms = if has_trouble { WEEK_MS } else { DAY_MS };
    let body = format!(
        "{{\"Spec\":\"ms=400\",\"Steps\":[{{\"Count\":{TASKS},\"Cpu\":500,\"MemMb\":64,\"EstimateMs\":400}}],\
         \"RepeatCount\":2,\"FirstMs\":{first_ms},\"IntervalMs\":{interval_ms}}}"
    );
    record.line(&format!("now {now_ms}: {body}"));
    let status = cell.submit_with_retries(0, PREFIX, WEEKLY, &body, 2 * TASKS);
    if status != 200 {
        return Err("the submission was not accepted".to_owned());
    }
    sleep(WATCH);
    let state = cell.state(PREFIX, WEEKLY);
    record.line(&format!("GET {WEEKLY} -> {state}"));
    if cell.ended_nodes() > 0 {
        return Err("a node has ended by itself".to_owned());
    }
    // By the page, the second occurrence is due at FirstMs + IntervalMs.
    let due_in_ms = first_ms + interval_ms - now_ms;
    let Some(started_ms) = record.first_start_of_occurrence(WEEKLY, 1) else {
        record.line(&format!(
            "the second occurrence, due in {due_in_ms} ms, has not started"
        ));
        return if has_trouble {
            Ok(None)
        } else {
            Err("the second occurrence has not started".to_owned())
        };
    };
    let started_in_ms = started_ms.saturating_sub(handed_in_ms);
    record.line(&format!(
        "the second occurrence was due in {due_in_ms} ms and started after {started_in_ms} ms"
    ));
    let is_early = started_in_ms + EARLY_MS < due_in_ms;
    Ok(is_early.then(|| {
        let early_s = (due_in_ms - started_in_ms) / 1_000;
        format!("ORDER: the second occurrence of {WEEKLY} started {early_s} s before its time; it is shown as {state}")
    }))
}
