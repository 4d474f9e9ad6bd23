//! What a new operator meets: a wrong document, a racing publish, a drain, a rolling restart.
//!
//! `cargo test -p syc-cli session -- --nocapture` prints the session; the handbook shows it.

use std::cell::Cell;
use std::rc::Rc;

use awc::Client;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::CHECK;
use crate::bed::Run;
use crate::bed::TOKEN;
use crate::bed::file;
use crate::bed::is_ready;
use crate::bed::syc;

fn show(call: &str, run: &Run) {
    let directory = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    let printed = format!("{}{}", run.stdout, run.stderr).replace(&directory, "");
    println!(
        "$ syc {call}\n{}\n[exit code {}]\n",
        printed.trim_end(),
        run.code
    );
}

#[actix_rt::test]
async fn session_of_a_wrong_document_and_a_racing_publish() {
    let bed = Bed::start(3).await;
    bed.configure("session-inventory.json").await;
    let wrong = "{\n  \"kind\": \"team\",\n  \"name\": \"freight\",\n  \"weihgt\": 3,\n  \
                 \"quota\": {\"cpu_millis\": \"many\", \"memory_bytes\": 1}\n}\n";
    let path = file("freight.json", wrong);
    let run = bed.operate(&["publish", &path]).await;
    show("publish freight.json", &run);
    assert_eq!(run.code, 3);
    let path = file(
        "freight.json",
        "{\"kind\": \"team\", \"name\": \"freight\", \"weight\": 3}\n",
    );
    let run = bed.operate(&["publish", &path]).await;
    show("publish freight.json", &run);
    assert_eq!(run.code, 0);
    let other = file(
        "freight-bo.json",
        "{\"kind\": \"team\", \"name\": \"freight\", \"weight\": 5}\n",
    );
    let run = bed
        .operate(&["publish", &other, "--author", "bo", "--base", "0"])
        .await;
    show("publish freight-bo.json --author bo --base 0", &run);
    assert_eq!(run.code, 5);
    let run = bed.operate(&["diff", &other]).await;
    show("diff freight-bo.json", &run);
    let run = bed.operate(&["history", "team/freight"]).await;
    show("history team/freight", &run);
    assert_eq!(run.stdout.lines().count(), 3);
}

#[derive(Debug, Default)]
struct Counts {
    answered: Cell<usize>,
    not_run: Cell<usize>,
    cut: Cell<usize>,
    stop: Cell<bool>,
}

fn count(cell: &Cell<usize>) {
    cell.set(cell.get() + 1);
}

/// Sends requests one after the other, each to the next daemon that the balancer would choose.
async fn caller(callers: Vec<String>, first: usize, counts: Rc<Counts>) {
    let mut next = first;
    while !counts.stop.get() {
        next += 1;
        let address = &callers[next % callers.len()];
        if !is_ready(address).await {
            actix_rt::time::sleep(CHECK).await;
            continue;
        }
        let id = Uuid::now_v7().to_string();
        let url = format!("http://{address}/svc/intake/check");
        let request = Client::default().post(url).force_close();
        let request = request.insert_header(("x-request-id", id.as_str()));
        match request.send_body("pack").await {
            Ok(mut answer) if answer.status() == 200 => {
                let body = answer.body().await;
                let whole = body.is_ok_and(|body| body == format!("{id}:pack"));
                count(if whole { &counts.answered } else { &counts.cut });
            }
            Ok(_) => count(&counts.not_run),
            Err(_) => count(&counts.cut),
        }
    }
}

#[actix_rt::test]
async fn session_of_a_rolling_restart_under_load() {
    let mut bed = Bed::start(3).await;
    bed.configure("rolling-inventory.json").await;
    let counts = Rc::new(Counts::default());
    let callers: Vec<_> = bed.callers().split(',').map(str::to_owned).collect();
    let mut load = Vec::new();
    for first in 0..12 {
        let counts = Rc::clone(&counts);
        load.push(actix_rt::spawn(caller(callers.clone(), first, counts)));
    }
    for number in 0..3 {
        let control = bed.settings[number].listen.control.to_string();
        let daemon = bed.daemons[number].take().expect("daemon");
        // What `main` does with the asked drain.
        let stopping = actix_rt::spawn(async move {
            daemon.drain_asked().await;
            daemon.stop().await;
        });
        let run = syc(&["drain", "--wait", "--control", &control, "--token", TOKEN]).await;
        show(&format!("drain --wait --control ENTRY-{number}"), &run);
        assert_eq!(run.code, 0, "{}", run.stderr);
        stopping.await.expect("stopped");
        bed.restart(number).await;
        let before = counts.answered.get();
        while counts.answered.get() < before + 50 {
            actix_rt::time::sleep(CHECK).await;
        }
    }
    counts.stop.set(true);
    for task in load {
        task.await.expect("caller");
    }
    let (answered, not_run) = (counts.answered.get(), counts.not_run.get());
    let cut = counts.cut.get();
    println!("requests: {answered} answered, {not_run} told not run, {cut} cut");
    assert_eq!(cut, 0);
    let run = bed.operate(&["audit"]).await;
    show("audit", &run);
    assert_eq!(run.stdout.matches("drain").count(), 3, "{}", run.stdout);
    let run = bed.operate(&["status"]).await;
    show("status", &run);
    assert!(!bed.cell.requests.all().is_empty());
}
