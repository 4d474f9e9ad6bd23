//! HTTP client shared by the platform adapters.

use std::time::Duration;

use awc::Client;
use awc::Connector;

use crate::dial::DialBudget;
use crate::dial::DialTracker;
use crate::dial::Dialer;

/// Connection options of an HTTP client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// Timeout of a connection attempt.
    pub connect_timeout_ms: u64,
    /// Time for which an idle connection is kept. It must be shorter than the server's keep-alive time.
    pub keep_alive_ms: u64,
    /// Age from which a connection is not reused.
    pub lifetime_ms: u64,
    /// Limits how many connections are opened to each address. A call that would exceed it fails without being sent.
    pub dial_budget: Option<DialBudget>,
}

impl Default for HttpClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            keep_alive_ms: 15_000,
            lifetime_ms: 75_000,
            dial_budget: None,
        }
    }
}

/// Creates a client for the current arbiter.
///
/// It does not follow redirects and has no response timeout; callers set one for each call. The number of open
/// connections is unlimited, since the time that a call waits for a free connection would go unnoticed.
#[must_use]
pub fn http_client(options: HttpClientOptions) -> Client {
    tracked_http_client(options, DialTracker::default())
}

/// Creates a client like [`http_client`] that records the connections it opens in `dials`.
#[must_use]
pub fn tracked_http_client(options: HttpClientOptions, dials: DialTracker) -> Client {
    let connector = Connector::new()
        .connector(Dialer::new(dials, options.dial_budget))
        .timeout(Duration::from_millis(options.connect_timeout_ms))
        .conn_keep_alive(Duration::from_millis(options.keep_alive_ms))
        .conn_lifetime(Duration::from_millis(options.lifetime_ms))
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .finish()
}
