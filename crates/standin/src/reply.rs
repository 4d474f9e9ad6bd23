//! Bodies in and out of the stand-ins.

use std::net::TcpListener;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::body::SizedStream;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use syc_net::HttpListener;
use syc_net::HttpOptions;
use syc_net::read_body;

/// A response with only a status.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).map_into_boxed_body()
}

/// A response with a JSON body.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::with_body(status, BoxBody::new(body))
}

/// Reads a whole body; a cut one is `None`.
pub(crate) async fn body(request: &mut Request) -> Option<Bytes> {
    read_body(request, usize::MAX).await.ok()
}

/// Reads a JSON body.
pub(crate) async fn read<T>(request: &mut Request) -> Option<T>
where
    T: DeserializeOwned,
{
    let bytes = body(request).await?;
    serde_json::from_slice(&bytes).ok()
}

/// Opens a loopback socket on a free port and answers each request on it by `handler`.
pub(crate) fn listen<F, R>(handler: F) -> std::io::Result<(HttpListener, String)>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let socket = TcpListener::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?.to_string();
    let listener = HttpListener::start(socket, HttpOptions::default(), handler)?;
    Ok((listener, address))
}

/// Makes an answer whose connection is cut before its body is whole.
pub fn cut() -> Response<BoxBody> {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let chunks = futures_util::stream::iter([Err::<Bytes, _>(broken)]);
    let body = SizedStream::new(64, chunks);
    Response::with_body(StatusCode::OK, BoxBody::new(body))
}
