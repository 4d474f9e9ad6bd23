//! The HTTP client: what it counts of the connections that it opens.

use std::net::SocketAddr;
use std::net::TcpListener;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use futures_util::future::join_all;
use syc_net::Dials;
use syc_net::HttpClientOptions;
use syc_net::HttpListener;
use syc_net::HttpOptions;
use syc_net::counted_http_client;

struct Server {
    _listener: HttpListener,
    address: SocketAddr,
}

fn serve() -> Server {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("an address");
    let listener = HttpListener::start(socket, HttpOptions::default(), |_request| async {
        Response::with_body(StatusCode::OK, BoxBody::new("answer"))
    });
    Server {
        _listener: listener.expect("a listener"),
        address,
    }
}

async fn call(client: &awc::Client, address: SocketAddr) {
    let response = client.get(format!("http://{address}/")).send().await;
    let body = response.expect("a response").body().await;
    assert_eq!(body.expect("a body"), "answer");
}

#[actix_rt::test]
async fn calls_in_turn_share_a_connection_and_calls_at_once_open_more() {
    let (first, second) = (serve(), serve());
    let dials = Dials::default();
    let client = counted_http_client(HttpClientOptions::default(), dials.clone());
    for _ in 0..3 {
        call(&client, first.address).await;
    }
    assert_eq!(dials.opened_to(&first.address.to_string()), 1);
    join_all((0..3).map(|_| call(&client, second.address))).await;
    assert_eq!(dials.opened_to(&second.address.to_string()), 3);
    assert_eq!(dials.opened(), 4);
}
