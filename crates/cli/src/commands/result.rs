//! `syc result`: a job's state and the results of its tasks.

use std::time::Duration;
use std::time::Instant;

use miette::miette;
use serde_json::Value;

use crate::arguments::Options;
use crate::commands::callers;
use crate::commands::job_id;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::output::table;
use crate::progress::Progress;

/// How often the job is looked at.
const CHECK: Duration = Duration::from_millis(300);

/// Shows a job.
pub async fn run(job: &str, options: &Options) -> Result<Output, Failure> {
    let id = job_id(job)?;
    let daemons = callers(options)?;
    let path = format!("/v1/jobs/{id}");
    let until = Instant::now() + options.timeout;
    let mut progress = Progress::new();
    loop {
        let state: Value = daemons.get(&path).await?;
        let (ended, all) = (ended(&state), tasks(&state).len());
        if ended == all || !options.wait {
            return Ok(show(&state));
        }
        progress.show(&format!("{ended} of {all} task(s) ended"));
        if Instant::now() >= until {
            let help = "wait longer with --timeout, or ask why with `syc explain`";
            let report = miette!(help = help, "{ended} of {all} task(s) ended in time");
            return Err(Failure::new(Exit::Unknown, report));
        }
        actix_rt::time::sleep(CHECK).await;
    }
}

fn show(state: &Value) -> Output {
    let words: Vec<_> = tasks(state).iter().map(|task| words_of(task).0).collect();
    let exit = if words.iter().any(|word| word == "unknown") {
        Some(Exit::Unknown)
    } else if words
        .iter()
        .any(|word| word == "failed" || word == "cancelled")
    {
        Some(Exit::Refused)
    } else {
        None
    };
    Output {
        exit,
        ..Output::new(task_table(state), state)
    }
}

/// Makes a table of a job's tasks.
pub fn task_table(state: &Value) -> String {
    let rows = tasks(state).iter().enumerate().map(|(index, task)| {
        let (word, detail) = words_of(task);
        [index.to_string(), word, detail]
    });
    table(&["TASK", "STATE", "DETAIL"], rows)
}

fn tasks(state: &Value) -> &[Value] {
    state["tasks"].as_array().map_or(&[], Vec::as_slice)
}

fn ended(state: &Value) -> usize {
    let tasks = tasks(state).iter();
    tasks.filter(|task| task.get("ended").is_some()).count()
}

/// Returns a task's state in a word, and what else is known of it.
fn words_of(task: &Value) -> (String, String) {
    let inner = task.get("ended").unwrap_or(task);
    if let Some(word) = inner.as_str() {
        return (word.to_owned(), String::new());
    }
    let fields = inner.as_object().and_then(|fields| fields.iter().next());
    let Some((word, detail)) = fields else {
        return ("?".to_owned(), String::new());
    };
    let detail = match detail.as_str() {
        Some(text) => text.to_owned(),
        None => detail.to_string(),
    };
    (word.clone(), detail)
}
