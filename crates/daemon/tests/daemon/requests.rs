//! Outcomes of requests while endpoints fail, leave or are too slow.

use std::time::Duration;

use awc::http::header::RETRY_AFTER;
use syc_platform::types::VmState;
use syc_standin::EndpointFault;
use syc_standin::EndpointOptions;
use test_case::test_case;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;

/// Most rounds in which something awaited must come.
const ROUNDS: usize = 500;

/// A whole answer of a daemon.
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub retry_after: bool,
    pub body: String,
}

impl Answer {
    pub fn code(&self) -> String {
        let error = serde_json::from_str::<serde_json::Value>(&self.body);
        error.expect("error body")["code"]
            .as_str()
            .expect("code")
            .to_owned()
    }
}

pub struct Ask {
    pub daemon: usize,
    pub id: Uuid,
    pub idempotent: bool,
    pub timeout_ms: u64,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            daemon: 0,
            id: Uuid::now_v7(),
            idempotent: true,
            timeout_ms: 10_000,
        }
    }
}

pub async fn ask(bed: &Bed, ask: Ask) -> Answer {
    let url = bed.callers_url(ask.daemon, "/svc/intake/check");
    let request = bed.client.post(url);
    let request = request
        .insert_header(("x-request-id", ask.id.to_string()))
        .insert_header(("x-idempotent", ask.idempotent.to_string()))
        .insert_header(("x-timeout-ms", ask.timeout_ms.to_string()));
    let mut answer = request.send_body("pack").await.expect("answer");
    let body = answer.body().await.expect("body");
    let headers = answer.headers();
    let outcome = headers.get("x-outcome").expect("outcome");
    Answer {
        status: answer.status().as_u16(),
        outcome: outcome.to_str().expect("text").to_owned(),
        retry_after: headers.contains_key(RETRY_AFTER),
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

fn once() -> Ask {
    Ask {
        idempotent: false,
        ..Ask::default()
    }
}

fn slow(work_ms: u64, slots: u32, endpoints: usize) -> BedOptions {
    BedOptions {
        endpoints,
        endpoint: EndpointOptions {
            work_ms,
            slots,
            ..EndpointOptions::default()
        },
        ..BedOptions::default()
    }
}

#[test_case(EndpointFault::Cut)]
#[test_case(EndpointFault::Lose)]
fn a_broken_answer_leaves_the_outcome_unknown_and_never_runs_again(fault: EndpointFault) {
    actix_rt::System::new().block_on(async {
        let bed = Bed::start(slow(1, 8, 1)).await;
        bed.endpoints[0].set_fault(fault);
        let id = Uuid::now_v7();
        for code in ["endpoint_lost", "answer_lost", "answer_lost"] {
            let once = Ask {
                id,
                idempotent: false,
                ..Ask::default()
            };
            let answer = ask(&bed, once).await;
            assert_eq!(answer.code(), code, "{}", answer.body);
            assert_eq!((answer.status, answer.outcome.as_str()), (504, "unknown"));
        }
        assert_eq!(bed.requests.of(&id.to_string()).begun, 1);
    });
}

#[actix_rt::test]
async fn an_idempotent_request_gets_its_whole_answer_elsewhere() {
    let bed = Bed::start(slow(1, 8, 2)).await;
    bed.endpoints[0].set_fault(EndpointFault::Cut);
    for _ in 0..20 {
        let id = Uuid::now_v7();
        let answer = ask(
            &bed,
            Ask {
                id,
                ..Ask::default()
            },
        )
        .await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, format!("{id}:pack"));
    }
}

#[actix_rt::test]
async fn a_late_answer_reaches_nobody_else() {
    let bed = Bed::start(slow(100, 8, 1)).await;
    for _ in 0..4 {
        let late = Ask {
            timeout_ms: 50,
            ..Ask::default()
        };
        let answer = ask(&bed, late).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (504, "unknown"));
        let id = Uuid::now_v7();
        let next = Ask {
            id,
            ..Ask::default()
        };
        assert_eq!(ask(&bed, next).await.body, format!("{id}:pack"));
    }
}

#[actix_rt::test]
async fn an_overload_is_refused_truly_and_with_a_time() {
    let bed = Bed::start(slow(40, 1, 1)).await;
    let mut asked = Vec::new();
    for _ in 0..60 {
        asked.push(Ask {
            idempotent: false,
            timeout_ms: 400,
            ..Ask::default()
        });
    }
    let ids = asked.iter().map(|ask| ask.id).collect::<Vec<_>>();
    let answers = asked.into_iter().map(|one| ask(&bed, one));
    let answers = futures_util::future::join_all(answers).await;
    let mut refused = 0;
    for (id, answer) in ids.into_iter().zip(&answers) {
        let begun = bed.requests.of(&id.to_string()).begun;
        match answer.outcome.as_str() {
            "answered" => assert_eq!(begun, 1),
            "not_run" => {
                refused += 1;
                assert_eq!(begun, 0, "a false 'not run'");
                assert!(answer.retry_after);
            }
            _ => assert_eq!(begun, 1, "{}", answer.body),
        }
    }
    assert!(refused > 0 && refused < 60, "{refused} refused");
}

#[actix_rt::test]
async fn an_endpoint_that_the_list_shows_as_leaving_gets_nothing_new_and_finishes() {
    let mut options = slow(5, 8, 2);
    options.timing.vm_poll_ms = 10;
    let bed = Bed::start(options).await;
    bed.vms.set("endpoint-0", Some(VmState::Leaving));
    for _ in 0..ROUNDS {
        let before = bed.endpoints[0].counts().answered;
        for _ in 0..20 {
            assert_eq!(ask(&bed, Ask::default()).await.status, 200);
        }
        if bed.endpoints[0].counts().answered == before {
            return;
        }
    }
    panic!("the leaving endpoint still gets requests");
}

#[actix_rt::test]
async fn a_draining_endpoint_is_asked_once() {
    let bed = Bed::start(slow(1, 8, 2)).await;
    bed.endpoints[0].set_draining(true);
    let mut rounds = 0;
    while rounds < ROUNDS && bed.endpoints[0].counts().refused_draining == 0 {
        rounds += 1;
        assert_eq!(ask(&bed, once()).await.status, 200);
    }
    for _ in 0..30 {
        assert_eq!(ask(&bed, once()).await.status, 200);
    }
    assert_eq!(bed.endpoints[0].counts().refused_draining, 1);
}

#[actix_rt::test]
async fn an_endpoint_that_refuses_connections_costs_nobody_anything() {
    let mut bed = Bed::start(slow(1, 8, 2)).await;
    drop(bed.cell.endpoints.remove(0));
    for _ in 0..30 {
        assert_eq!(ask(&bed, once()).await.status, 200);
    }
}

#[actix_rt::test]
async fn a_service_whose_endpoints_all_leave_refuses_at_once() {
    let bed = Bed::start(slow(1, 8, 1)).await;
    bed.endpoints[0].set_draining(true);
    for code in ["no_endpoint", "no_endpoint"] {
        let answer = ask(&bed, Ask::default()).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (503, "not_run"));
        assert_eq!(answer.code(), code);
        assert!(answer.retry_after);
    }
}

#[actix_rt::test]
async fn sendings_of_one_request_through_all_daemons_share_one_run() {
    let mut options = slow(50, 8, 2);
    options.daemons = 3;
    let bed = Bed::start(options).await;
    let id = Uuid::now_v7();
    let sent = [0, 1, 2, 0, 1, 2].map(|daemon| Ask {
        daemon,
        id,
        idempotent: false,
        ..Ask::default()
    });
    let answers = sent.into_iter().map(|one| ask(&bed, one));
    for answer in futures_util::future::join_all(answers).await {
        assert_eq!(answer.body, format!("{id}:pack"));
    }
    assert_eq!(bed.requests.of(&id.to_string()).begun, 1);
}

#[actix_rt::test]
async fn a_planned_stop_ends_idle_connections_and_answers_the_others() {
    let mut options = slow(300, 8, 1);
    options.timing.drain_limit_ms = 600_000;
    let mut bed = Bed::start(options).await;
    let idle = tokio::net::TcpStream::connect(bed.settings[0].listen.callers.as_str());
    let idle = idle.await.expect("connection");
    let url = bed.callers_url(0, "/svc/intake/check");
    let sent = actix_rt::spawn(bed.client.post(url).send_body("x"));
    while bed.requests.all().is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let daemon = bed.daemons[0].take().expect("daemon");
    let stopped = tokio::time::timeout(Duration::from_mins(1), daemon.stop()).await;
    assert!(stopped.is_ok(), "the stop waits for an idle connection");
    let answer = sent.await.expect("task").expect("answer");
    assert_eq!(answer.status(), 200);
    drop(idle);
}

#[actix_rt::test]
async fn a_late_idempotent_request_is_answered_by_a_second_endpoint() {
    let bed = Bed::start(slow(1, 64, 2)).await;
    for _ in 0..150 {
        assert_eq!(ask(&bed, Ask::default()).await.status, 200);
    }
    bed.endpoints[0].set_fault(EndpointFault::Hang);
    for _ in 0..ROUNDS {
        let id = Uuid::now_v7();
        let late = Ask {
            id,
            timeout_ms: 600_000,
            ..Ask::default()
        };
        assert_eq!(ask(&bed, late).await.body, format!("{id}:pack"));
        if bed.requests.of(&id.to_string()).begun == 2 {
            return;
        }
    }
    panic!("no request met the endpoint that hangs");
}
