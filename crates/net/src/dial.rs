//! Opening connections, counted for each address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::Connector;
use actix_tls::connect::ConnectorService;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;

/// Addresses whose counts are kept; beyond them, all counts of single addresses begin anew.
const ADDRESSES_LIMIT: usize = 4_096;

/// Connections that a client opened.
#[derive(Debug, Clone, Default)]
pub struct Dials {
    counts: Rc<RefCell<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    opened: u64,
    opened_to: HashMap<String, u64>,
}

impl Dials {
    /// Returns how many were opened in all.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.counts.borrow().opened
    }

    /// Returns how many were opened to an address (`host:port`).
    #[must_use]
    pub fn opened_to(&self, address: &str) -> u64 {
        let counts = self.counts.borrow();
        counts.opened_to.get(address).copied().unwrap_or(0)
    }

    fn count(&self, address: &str) {
        let mut counts = self.counts.borrow_mut();
        counts.opened += 1;
        if let Some(opened) = counts.opened_to.get_mut(address) {
            *opened += 1;
            return;
        }
        if counts.opened_to.len() >= ADDRESSES_LIMIT {
            counts.opened_to.clear();
        }
        counts.opened_to.insert(address.to_owned(), 1);
    }
}

/// Opens the connections of a client.
#[derive(Clone)]
pub(crate) struct Dialer {
    connector: ConnectorService,
    dials: Dials,
}

impl Dialer {
    pub(crate) fn new(dials: Dials) -> Self {
        Self {
            connector: Connector::default().service(),
            dials,
        }
    }
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        if let Some(authority) = req.request().authority() {
            self.dials.count(authority.as_str());
        }
        Box::pin(self.connector.call(req))
    }
}
