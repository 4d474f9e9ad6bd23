//! Outgoing connections: counters, and a budget for each address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::Connector;
use actix_tls::connect::ConnectorService;
use awc::error::SendRequestError;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use futures_util::future::ready;
use thiserror::Error;

/// Number of tracked addresses from which those with a fully refilled budget are dropped before another is added.
const MAX_TRACKED_ADDRESSES: usize = 4_096;

/// Token bucket that limits how many connections are opened to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DialBudget {
    /// Capacity of the bucket: connections that can be opened at once when it is full.
    pub burst: u32,
    /// Tokens for an address that this process has not connected to before. The address may still count connections
    /// of a previous process, which this one does not know of.
    pub initial_burst: u32,
    /// Time in which one token is added.
    pub refill_ms: u64,
}

impl DialBudget {
    const fn refill(self) -> Duration {
        Duration::from_millis(self.refill_ms)
    }

    /// Returns the time until the bucket of a new address is full.
    fn initial_refill(self) -> Duration {
        self.refill() * self.burst.saturating_sub(self.initial_burst)
    }
}

/// A connection was not opened because the budget of its address is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("connection budget of the address is used up")]
struct DialBudgetExceeded;

/// Returns whether a call was not sent because no connection was free and the budget did not allow another.
#[must_use]
pub fn is_dial_budget_exceeded(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(awc::error::ConnectError::Io(error)) = error else {
        return false;
    };
    let Some(inner) = error.get_ref() else {
        return false;
    };
    inner.is::<DialBudgetExceeded>()
}

/// Counts the connections that a client opens, and tracks the budget of each address.
#[derive(Debug, Clone, Default)]
pub struct DialTracker {
    counts: Rc<RefCell<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    opened: u64,
    rejected: u64,
    by_address: HashMap<String, AddressState>,
}

/// Counter and budget of one address.
#[derive(Debug, Clone, Copy)]
struct AddressState {
    opened: u64,
    /// Time at which the bucket is full again.
    refilled_at: Instant,
}

impl DialTracker {
    /// Returns the number of connections opened to all addresses.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.counts.borrow().opened
    }

    /// Returns the number of connections not opened because the budget of their address was used up.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.counts.borrow().rejected
    }

    /// Returns the number of connections opened to an address (`host:port`).
    #[must_use]
    pub fn opened_to(&self, address: &str) -> u64 {
        let counts = self.counts.borrow();
        counts
            .by_address
            .get(address)
            .map_or(0, |state| state.opened)
    }

    /// Counts a connection about to be opened at `now`. Returns false if the budget does not allow it.
    #[must_use]
    pub fn try_open(&self, address: &str, budget: Option<DialBudget>, now: Instant) -> bool {
        let mut counts = self.counts.borrow_mut();
        let initial_refill = budget.map_or(Duration::ZERO, DialBudget::initial_refill);
        let state = counts.address_state(address, now, initial_refill);
        if let Some(budget) = budget
            && !state.try_spend(budget, now)
        {
            counts.rejected += 1;
            return false;
        }
        state.opened += 1;
        counts.opened += 1;
        true
    }
}

impl Counts {
    fn address_state(
        &mut self,
        address: &str,
        now: Instant,
        initial_refill: Duration,
    ) -> &mut AddressState {
        if self.by_address.len() >= MAX_TRACKED_ADDRESSES && !self.by_address.contains_key(address)
        {
            self.by_address.retain(|_, state| state.refilled_at > now);
        }
        let new_state = AddressState {
            opened: 0,
            refilled_at: now + initial_refill,
        };
        self.by_address
            .entry(address.to_owned())
            .or_insert(new_state)
    }
}

impl AddressState {
    /// Takes a token from the bucket; returns false if it is empty.
    fn try_spend(&mut self, budget: DialBudget, now: Instant) -> bool {
        let refilled_at = self.refilled_at.max(now) + budget.refill();
        if refilled_at.duration_since(now) > budget.refill() * budget.burst {
            return false;
        }
        self.refilled_at = refilled_at;
        true
    }
}

/// Connector that applies the dial budget.
#[derive(Clone)]
pub(crate) struct Dialer {
    connector: ConnectorService,
    dials: DialTracker,
    budget: Option<DialBudget>,
}

impl Dialer {
    pub(crate) fn new(dials: DialTracker, budget: Option<DialBudget>) -> Self {
        Self {
            connector: Connector::default().service(),
            dials,
            budget,
        }
    }
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let address = req
            .request()
            .authority()
            .map_or("", |authority| authority.as_str());
        if self.dials.try_open(address, self.budget, Instant::now()) {
            return Box::pin(self.connector.call(req));
        }
        let rejected = io::Error::other(DialBudgetExceeded);
        Box::pin(ready(Err(ConnectError::Io(rejected))))
    }
}
