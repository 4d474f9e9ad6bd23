//! The rule LOST, as far as clients and minions see it at the end of a run.

use std::time::Duration;

use crate::cell::Cell;

/// `finish_s`: submissions are asked for this long after the end of the traffic.
pub const FINISH: Duration = Duration::from_secs(14);

/// A submission has nothing running for this long while a task's turn has come.
const IDLE_MS: u64 = 3_000;

/// What a case has submitted and may use.
pub struct Judged<'a> {
    pub prefix: &'a str,
    /// The submissions that can be done, of which each task can run on any minion.
    pub ids: &'a [String],
    /// Room of the service, in thousandths of a core.
    pub room: u64,
    /// The most that any task of the case needs of it.
    pub most_cpu: u64,
    /// How many of the last of them are asked for their states.
    pub asked: usize,
}

/// Looks for accepted submissions that have had nothing running for 3 s, though a task's turn has come, there is capacity
/// for it twice over, and under half of the service's capacity is in use.
pub fn judge(cell: &mut Cell, judged: &Judged<'_>) -> Result<Option<String>, String> {
    let record = cell.record.clone();
    let now_ms = record.now_ms();
    // An upper bound of what is in use: each running task counts as the largest one.
    let (running, listed) = cell.counts();
    let used = running as u64 * judged.most_cpu;
    record.line(&format!(
        "{running} tasks run, {listed} ends are listed; at most {used} of {} thousandths of a core are in use",
        judged.room
    ));
    let mut accepted = 0;
    let mut idle = 0;
    let mut unfinished = 0;
    let mut late = 0;
    let mut longest_ms = 0;
    for (number, id) in judged.ids.iter().enumerate() {
        let Some(submission) = record.submission(id) else {
            continue;
        };
        let Some(accepted_ms) = submission.accepted_ms else {
            continue;
        };
        accepted += 1;
        let first_ms = submission.first_start_ms.unwrap_or(now_ms);
        let wait_ms = first_ms.saturating_sub(accepted_ms);
        late += u64::from(wait_ms > IDLE_MS);
        longest_ms = longest_ms.max(wait_ms);
        let since_ms = submission.last_end_ms.max(accepted_ms);
        let is_open = submission.done < submission.tasks;
        let is_idle = is_open && submission.running == 0 && now_ms - since_ms > IDLE_MS;
        idle += u64::from(is_idle);
        let state = if number + judged.asked < judged.ids.len() {
            String::new()
        } else {
            cell.state(judged.prefix, id)
        };
        unfinished += u64::from(!state.is_empty() && state != "completed");
        if !is_open && state.is_empty() {
            continue;
        }
        record.line(&format!(
            "{id} accepted at {accepted_ms}, first start after {wait_ms} ms, {} of {} tasks done, {} running, last end at {}, shown as `{state}`",
            submission.done, submission.tasks, submission.running, submission.last_end_ms
        ));
    }
    let ended = cell.ended_nodes();
    record.line(&format!(
        "{accepted} submissions that can be done were accepted: {late} waited over 3 s for their first start, at most {longest_ms} ms; \
         {idle} are idle at the end, {unfinished} of the last {} not shown as completed; {ended} nodes ended by themselves",
        judged.asked
    ));
    if accepted == 0 {
        return Err("nothing was accepted".to_owned());
    }
    if ended > 0 {
        return Err(format!("{ended} nodes have ended by themselves"));
    }
    if idle == 0 || used * 2 >= judged.room {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: {idle} of {accepted} accepted submissions have had nothing running for over 3 s, though a task's turn has come \
         and under half of the capacity is in use"
    )))
}
