//! A minion goes down and up while a submission lasts that has a task on each minion.

use std::thread::sleep;
use std::time::Duration;

use crate::cell::Cell;
use crate::record::Record;
use crate::store::Limits;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "lohu930";
const LASTING: &str = "00000000aaaa0000";
const MINIONS: usize = 12;
const CPU: u64 = 32_000;

const FLAPS_AT: Duration = Duration::from_secs(10);
const DOWN: Duration = Duration::from_secs(3);
const UP: Duration = Duration::from_secs(3);
const FLAPS: usize = 8;

/// A task that lasts runs again within this time after the last disruption: 4 s that are calm, and 3 s.
const CALM: Duration = Duration::from_secs(14);

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions(SERVICE, MINIONS, CPU);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let lasting = format!(
        "{{\"Spec\":\"lasting\",\"Steps\":[{{\"Count\":{MINIONS},\"Cpu\":4000,\"MemMb\":1024,\"EstimateMs\":500,\
         \"LongRunning\":true,\"AntiAffinity\":1}}]}}"
    );
    let status = cell.submit_with_retries(0, PREFIX, LASTING, &lasting, MINIONS as u64);
    if status != 200 {
        return Err("the lasting submission was not accepted".to_owned());
    }
    sleep(FLAPS_AT);
    for _ in 0..FLAPS {
        if has_trouble {
            cell.minions[MINIONS / 2].crash();
        }
        sleep(DOWN);
        if has_trouble {
            cell.minions[MINIONS / 2].restart();
        }
        sleep(UP);
        let state = cell.state(PREFIX, LASTING);
        record.line(&format!("{} tasks run; GET {LASTING} -> {state}", cell.counts().0));
    }
    sleep(CALM);
    let running = cell.counts().0;
    let state = cell.state(PREFIX, LASTING);
    record.line(&format!("at the end, {running} tasks run; GET {LASTING} -> {state}"));
    if cell.ended_nodes() > 0 {
        return Err("a node has ended by itself".to_owned());
    }
    let is_lost = state == "failed" || state == "cancelled" || running < MINIONS;
    Ok(is_lost.then(|| {
        format!(
            "LOST: the submission that lasts is shown as {state}, and {running} of its {MINIONS} tasks run, though no run of it \
             has ended as failed"
        )
    }))
}
