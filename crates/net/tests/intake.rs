//! The bound on what clients make a process hold: who is refused, and how.

use std::net::SocketAddr;
use std::net::TcpListener;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use syc_net::BodyError;
use syc_net::HttpListener;
use syc_net::HttpOptions;
use syc_net::Intake;
use syc_net::IntakeOptions;
use syc_net::read_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Memory of which a body of the largest size takes more than half.
const SMALL_POOL_BYTES: usize = 64 * 1024;

/// Interval of the server's sweeps.
const SWEEP_INTERVAL_MS: u64 = 10;

/// Limits with a pool of that size.
const SMALL_POOL: IntakeOptions = IntakeOptions {
    pool_bytes: SMALL_POOL_BYTES,
    max_connections: 8,
    max_callers: 8,
    max_links: 8,
    receive_timeout_ms: 15_000,
    write_timeout_ms: 15_000,
    stall_ms: 1_000,
};

/// A server that answers with the length of the body.
struct Server {
    address: SocketAddr,
    intake: Intake,
    _listener: HttpListener,
}

impl Server {
    fn start(options: IntakeOptions, max_connections: usize) -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("an address");
        let intake = Intake::new(options);
        actix_rt::spawn(intake.clone().run_sweeps(SWEEP_INTERVAL_MS));
        let limits = HttpOptions {
            max_connections,
            ..HttpOptions::default()
        };
        let listener = HttpListener::start_bounded(socket, limits, &intake, answer);
        Self {
            address,
            intake,
            _listener: listener.expect("a listener"),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connection")
    }

    /// Sends the largest body but for its last byte.
    async fn hold_most_of_the_pool(&self) -> TcpStream {
        let mut stream = self.connect().await;
        let unfinished = whole(BODY_LIMIT_BYTES);
        send(&mut stream, &unfinished[..unfinished.len() - 1]).await;
        while self.intake.readings().pooled_bytes < SMALL_POOL_BYTES / 2 {
            tokio::task::yield_now().await;
        }
        stream
    }
}

async fn answer(mut request: Request) -> Response<BoxBody> {
    let (status, text) = match read_body(&mut request, BODY_LIMIT_BYTES).await {
        Ok(body) => (StatusCode::OK, body.len().to_string()),
        Err(BodyError::Refused(reason)) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason:?}")),
        Err(error) => (StatusCode::BAD_REQUEST, format!("{error:?}")),
    };
    Response::with_body(status, BoxBody::new(text))
}

fn head(length: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n")
}

fn whole(length: usize) -> String {
    format!("{}{}", head(length), "x".repeat(length))
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("sent");
}

/// Reads until the connection ends, which it must not do by a reset.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("an end without a reset");
    answer
}

async fn read_response(stream: &mut TcpStream, end: &str) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(end.as_bytes()) {
        let byte = stream.read_u8().await.expect("a response");
        answer.push(byte);
    }
    String::from_utf8(answer).expect("text")
}

#[actix_rt::test]
async fn unfinished_body_keeps_a_later_one_from_being_read() {
    let server = Server::start(SMALL_POOL, 8);
    let mut first = server.hold_most_of_the_pool().await;
    let mut second = server.connect().await;
    send(&mut second, &whole(BODY_LIMIT_BYTES)).await;
    let answer = read_response(&mut second, "65536").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let refused = read_to_end(&mut first).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.ends_with("Memory"), "{refused}");
}

#[actix_rt::test]
async fn small_request_is_refused_while_others_use_up_the_pool() {
    let server = Server::start(SMALL_POOL, 8);
    let _first = server.hold_most_of_the_pool().await;
    let mut second = server.connect().await;
    send(&mut second, &whole(1_000)).await;
    let answer = read_response(&mut second, "1000").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(server.intake.readings().refusals.memory, 0);
}

#[actix_rt::test]
async fn body_that_stands_still_is_waited_for_without_end() {
    let options = IntakeOptions {
        receive_timeout_ms: 50,
        ..IntakeOptions::default()
    };
    let server = Server::start(options, 8);
    let mut stream = server.connect().await;
    send(&mut stream, &head(10)).await;
    let refused = read_to_end(&mut stream).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.ends_with("TooSlow"), "{refused}");
}

#[actix_rt::test]
async fn idle_connection_keeps_another_from_being_served() {
    let options = IntakeOptions {
        stall_ms: 0,
        ..IntakeOptions::default()
    };
    let server = Server::start(options, 1);
    let mut idle = server.connect().await;
    send(&mut idle, &whole(1)).await;
    read_response(&mut idle, "\r\n\r\n1").await;
    let mut other = server.connect().await;
    send(&mut other, &whole(2)).await;
    let answer = read_response(&mut other, "\r\n\r\n2").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(server.intake.readings().refusals.displaced, 1);
}

#[actix_rt::test]
async fn largest_body_in_the_smallest_chunks_is_not_read() {
    let server = Server::start(IntakeOptions::default(), 8);
    let mut stream = server.connect().await;
    let chunks = "1\r\nx\r\n".repeat(BODY_LIMIT_BYTES);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    );
    send(&mut stream, &request).await;
    let answer = read_response(&mut stream, "65536").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[actix_rt::test]
async fn pipelined_requests_are_lost_or_swapped() {
    let server = Server::start(IntakeOptions::default(), 8);
    let mut stream = server.connect().await;
    let chunked = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\n\r\n\r\n\r\n0\r\n\r\n";
    let requests = [whole(7), chunked.to_owned(), whole(20_000), whole(9)];
    send(&mut stream, &requests.concat()).await;
    for length in ["7", "4", "20000", "9"] {
        let answer = read_response(&mut stream, &format!("\r\n\r\n{length}")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
