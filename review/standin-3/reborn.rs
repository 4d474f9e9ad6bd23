//! An order to start gets no answer and is carried out late, when its minion has started again under its id.

use std::thread::sleep;
use std::time::Duration;

use crate::cell::Cell;
use crate::minion::Trap;
use crate::record::Record;
use crate::store::Limits;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "lohu930";
const TARGET: &str = "00000000aaaa0000";
const MINIONS: usize = 8;
const CPU: u64 = 32_000;

/// Sound submissions of two tasks, so that the order is one of many.
const SOUND_GAP: Duration = Duration::from_millis(100);
const BEFORE: usize = 30;

/// From the order on: its task has long been done when the minion crashes, and the minion is soon back.
const CRASH_AFTER: Duration = Duration::from_millis(5_000);
const DOWN: Duration = Duration::from_millis(1_000);

/// The next life has not been called yet.
const LATE_AFTER_BIRTH: Duration = Duration::from_millis(20);

const WATCH: Duration = Duration::from_secs(5);

pub fn run(directory: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let trap = Trap::default();
    let mut cell = Cell::new(directory, record.clone(), 3, Limits::default());
    cell.add_minions_of_kind(SERVICE, MINIONS, CPU, true, &trap);
    cell.configure(1, &[(PREFIX, SERVICE, 0)], &[SERVICE]);
    cell.start_nodes();
    if !cell.wait_until_ready() {
        return Err("the nodes are not ready".to_owned());
    }
    let sound = "{\"Spec\":\"ms=400\",\"Steps\":[{\"Count\":2,\"Cpu\":500,\"MemMb\":64,\"EstimateMs\":400}]}";
    let target = "{\"Spec\":\"ms=1500\",\"Steps\":[{\"Count\":1,\"Cpu\":500,\"MemMb\":64,\"EstimateMs\":1500}]}";
    let mut sounds = 0;
    let mut send_sound = |cell: &Cell| {
        sounds += 1;
        cell.submit(sounds, PREFIX, &format!("{sounds:016x}"), sound, 2);
        sleep(SOUND_GAP);
    };
    for _ in 0..BEFORE {
        send_sound(&cell);
    }
    if has_trouble {
        trap.set(TARGET);
    }
    let sent_ms = record.now_ms();
    if cell.submit(0, PREFIX, TARGET, target, 1) != 200 {
        return Err("the submission was not accepted".to_owned());
    }
    while record.now_ms() - sent_ms < CRASH_AFTER.as_millis() as u64 {
        send_sound(&cell);
    }
    let before = cell.state(PREFIX, TARGET);
    record.line(&format!("GET {TARGET} -> {before}"));
    if before != "completed" {
        return Err("the submission is not done in time".to_owned());
    }
    if has_trouble {
        let Some(number) = trap.minion() else {
            return Err("no order to start has come".to_owned());
        };
        let minion = cell.minions[number].clone();
        minion.crash();
        sleep(DOWN);
        minion.restart();
        sleep(LATE_AFTER_BIRTH);
        minion.carry_out_late();
    }
    sleep(WATCH);
    let after = cell.state(PREFIX, TARGET);
    record.line(&format!("GET {TARGET} -> {after}"));
    if cell.ended_nodes() > 0 {
        return Err("a node has ended by itself".to_owned());
    }
    let twice = record.started_after_done();
    for text in &twice {
        record.line(text);
    }
    Ok(twice.first().map(|text| format!("TWICE: {text}")))
}
