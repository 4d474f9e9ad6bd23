//! At most once while homes come and go.

use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;
use crate::requests::Ask;
use crate::requests::ask;

const REQUESTS: usize = 30;

fn three() -> BedOptions {
    BedOptions {
        daemons: 3,
        ..BedOptions::default()
    }
}

fn once(daemon: usize, id: Uuid) -> Ask {
    Ask {
        daemon,
        id,
        idempotent: false,
        ..Ask::default()
    }
}

#[actix_rt::test]
async fn a_home_that_leaves_leaves_no_second_run_behind() {
    let mut bed = Bed::start(three()).await;
    let ids = (0..REQUESTS).map(|_| Uuid::now_v7()).collect::<Vec<_>>();
    for &id in &ids {
        assert_eq!(ask(&bed, once(0, id)).await.outcome, "answered");
    }
    let leaver = bed.daemons[1].take().expect("daemon");
    leaver.stop().await;
    let repeated = repeat(&bed, 2, &ids).await;
    assert!(repeated > 0, "the homes that stayed know their answers");
}

#[actix_rt::test]
async fn a_home_that_forgot_runs_nothing_again() {
    let mut bed = Bed::start(three()).await;
    let ids = (0..REQUESTS).map(|_| Uuid::now_v7()).collect::<Vec<_>>();
    for &id in &ids {
        assert_eq!(ask(&bed, once(0, id)).await.outcome, "answered");
    }
    bed.restart(1).await;
    bed.await_ready(1).await;
    repeat(&bed, 1, &ids).await;
    let id = Uuid::now_v7();
    assert_eq!(ask(&bed, once(1, id)).await.body, format!("{id}:pack"));
}

/// Sends requests that ran again; returns how many answers are still known.
async fn repeat(bed: &Bed, daemon: usize, ids: &[Uuid]) -> usize {
    let mut repeated = 0;
    for &id in ids {
        let answer = ask(bed, once(daemon, id)).await;
        match answer.outcome.as_str() {
            "answered" => {
                repeated += 1;
                assert_eq!(answer.body, format!("{id}:pack"));
            }
            outcome => assert_eq!(outcome, "unknown", "{}", answer.body),
        }
        assert_eq!(bed.requests.of(&id.to_string()).begun, 1);
    }
    repeated
}

#[actix_rt::test]
async fn requests_run_once_while_a_home_leaves() {
    let mut bed = Bed::start(three()).await;
    let leaver = bed.daemons[1].take().expect("daemon");
    let stopping = actix_rt::spawn(leaver.stop());
    let mut answered = 0;
    let mut sent = 0;
    while !stopping.is_finished() || sent < REQUESTS {
        let id = Uuid::now_v7();
        sent += 1;
        let answers = [0, 2, 0].map(|daemon| ask(&bed, once(daemon, id)));
        let answers = futures_util::future::join_all(answers).await;
        let begun = bed.requests.of(&id.to_string()).begun;
        for answer in answers {
            answered += usize::from(answer.outcome == "answered");
            let denied = answer.outcome == "not_run";
            assert!(!denied || begun == 0, "a false 'not run': {}", answer.body);
        }
        assert!(begun <= 1, "{begun} runs");
    }
    assert!(answered > 0);
}
