//! Log events about one worker.

use syc_obs::Line;
use syc_obs::catalogue;
use syc_sched::WorkerNote;
use syc_types::WorkerId;

/// Logs a note of the scheduler about a worker.
pub(super) fn note(worker: &WorkerId, note: &WorkerNote) {
    let line = match note {
        WorkerNote::StatusChanged { status, silent_ms } => Line::new(catalogue::WORKER_BELIEF)
            .text("belief", status)
            .number("silent_ms", *silent_ms),
        WorkerNote::Slow {
            slowness_percent,
            steps,
            least,
            least_percent,
        } => Line::new(catalogue::WORKER_SLOW)
            .number("slowness_percent", *slowness_percent)
            .number("steps", *steps)
            .display("least_step", least)
            .number("least_percent", *least_percent),
        WorkerNote::SpeedChanged {
            is_slow,
            speed_percent,
        } => Line::new(catalogue::WORKER_SPEED)
            .flag("slow", *is_slow)
            .number("speed_percent", *speed_percent),
        WorkerNote::Lost {
            reason,
            silent_ms,
            runs,
            latest_run,
        } => {
            let line = Line::new(catalogue::WORKER_LOST)
                .text("how", reason)
                .number("silent_ms", *silent_ms)
                .number("runs", *runs);
            match latest_run {
                Some(youngest) => line
                    .display("job", youngest.task.step.job)
                    .display("youngest", youngest.task)
                    .number("run", youngest.run.0)
                    .number("seen_ms", youngest.seen_ms),
                None => line,
            }
        }
        WorkerNote::Paced {
            before_percent,
            percent,
            tail_percent,
            fills,
        } => Line::new(catalogue::PACE_CHANGED)
            .number("before_percent", *before_percent)
            .number("percent", *percent)
            .number("tail_percent", tail_percent.unwrap_or(0))
            .flag("serves", tail_percent.is_some())
            .number("fills", *fills),
    };
    line.text("worker", worker.as_str()).emit();
}
