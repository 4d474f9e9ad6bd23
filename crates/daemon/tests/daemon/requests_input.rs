//! Bad input gets a clear answer and disturbs nobody else.

use syc_config::Limits;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::bed::Bed;
use crate::bed::BedOptions;

const HEAD: &str = "POST /svc/intake/check HTTP/1.1\r\nhost: x\r\n";

async fn connect(bed: &Bed) -> TcpStream {
    let address = bed.settings[0].listen.callers.as_str();
    TcpStream::connect(address).await.expect("connection")
}

/// Sends bytes and reads until the daemon closes the connection.
async fn exchange(bed: &Bed, sent: &str, half_close: bool) -> String {
    let mut stream = connect(bed).await;
    stream.write_all(sent.as_bytes()).await.expect("sent");
    if half_close {
        stream.shutdown().await.expect("half-closed");
    }
    let mut received = Vec::new();
    // The daemon may reset a connection whose sender sends on.
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn with(headers: &str, body: &str) -> String {
    format!("{HEAD}connection: close\r\n{headers}\r\n{body}")
}

#[test_case("x-request-id: nonsense\r\n", "400", "request_id_malformed"; "malformed id")]
#[test_case("x-idempotent: false\r\nx-request-id: 0b0e7b1e-5a3c-4b9e-8d2e-0123456789ab\r\n", "400", "request_id_malformed"; "an id without time")]
#[test_case("x-idempotent: false\r\nx-request-id: 7fffffff-ffff-7000-8000-000000000000\r\n", "400", "request_id_early"; "an id of the far future")]
#[test_case("x-idempotent: false\r\nx-request-id: 00000000-0001-7000-8000-000000000000\r\n", "504", "home_lost"; "an id of the far past")]
#[test_case("x-class: royal\r\n", "400", "class_unknown"; "unknown class")]
#[test_case("x-idempotent: maybe\r\n", "400", "idempotent_malformed"; "malformed idempotent")]
#[test_case("x-timeout-ms: soon\r\n", "400", "timeout_malformed"; "malformed timeout")]
#[test_case("x-team: \u{1}\r\n", "400", ""; "control characters")]
#[test_case("content-length: 2000\r\n", "413", "body_too_large"; "announced too large")]
#[test_case("content-length: 10\r\nx-timeout-ms: 100\r\n", "408", "body_slow"; "slow body")]
fn a_bad_request_is_told_why(headers: &str, status: &str, code: &str) {
    actix_rt::System::new().block_on(async {
        let bed = bed(Limits::default().connections).await;
        let answer = exchange(&bed, &with(headers, ""), false).await;
        let expected = format!("HTTP/1.1 {status}");
        assert!(answer.starts_with(&expected), "{answer}");
        assert!(answer.contains(code), "{answer}");
        assert_serves(&bed).await;
        assert_eq!(bed.requests.all().len(), 1);
    });
}

async fn bed(connections: usize) -> Bed {
    let options = BedOptions {
        limits: Limits {
            connections,
            body_bytes: 1_000,
            ..Limits::default()
        },
        ..BedOptions::default()
    };
    Bed::start(options).await
}

async fn assert_serves(bed: &Bed) {
    let answer = exchange(bed, &with("content-length: 4\r\n", "good"), false).await;
    assert!(answer.ends_with(":good"), "{answer}");
}

#[actix_rt::test]
async fn an_oversized_head_is_refused() {
    let bed = bed(100).await;
    let headers = format!("x-long: {}\r\n", "a".repeat(200_000));
    let answer = exchange(&bed, &with(&headers, ""), false).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_serves(&bed).await;
}

#[actix_rt::test]
async fn a_chunked_body_is_bounded_too() {
    let bed = bed(100).await;
    let chunk = format!("800\r\n{}\r\n0\r\n\r\n", "b".repeat(0x800));
    let sent = with("transfer-encoding: chunked\r\n", &chunk);
    let answer = exchange(&bed, &sent, false).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_serves(&bed).await;
}

#[actix_rt::test]
async fn a_half_closed_connection_gets_its_whole_answer() {
    let bed = bed(100).await;
    let sent = with("content-length: 4\r\n", "half");
    let answer = exchange(&bed, &sent, true).await;
    assert!(answer.ends_with(":half"), "{answer}");
}

#[actix_rt::test]
async fn a_request_whose_sender_vanishes_is_not_run() {
    let bed = bed(100).await;
    let sent = with("content-length: 10\r\n", "cut");
    let answer = exchange(&bed, &sent, true).await;
    assert!(answer.is_empty() || answer.contains("body_cut"), "{answer}");
    assert_serves(&bed).await;
    assert_eq!(bed.requests.all().len(), 1);
}

#[actix_rt::test]
async fn connections_above_the_bound_are_told_so() {
    let bed = bed(8).await;
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(connect(&bed).await);
    }
    let answer = exchange(&bed, &with("content-length: 4\r\n", "more"), false).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("too_many_connections"), "{answer}");
    open.clear();
    for _ in 0..500 {
        let sent = with("content-length: 4\r\n", "good");
        if exchange(&bed, &sent, false).await.ends_with(":good") {
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("closed connections still count");
}
