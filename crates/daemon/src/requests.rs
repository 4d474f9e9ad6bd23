//! Callers' requests: through their home where they may run only once, then to an endpoint.

mod attempt;
mod home;
mod run;
mod services;
mod slots;
mod vms;
mod wire;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use home::Kept;
use home::Runs;
pub use home::tell;
pub use home::view_changed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::Services;
pub use services::apply_inventory;
use smol_str::SmolStr;
use syc_api::ErrorBody;
use syc_config::Settings;
use syc_member::View;
use syc_platform::types::EndpointAnswer;
use syc_route::Homes;
use syc_route::Once;
use syc_route::OnceOptions;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;
use syc_types::ServiceName;
use syc_types::TeamId;
pub use vms::vms_listed;
pub use wire::run_for_peer;

use crate::node::Node;

/// How often waiting requests and authority are looked at.
const REVIEW_MS: u64 = 20;

/// Most memory that the bodies of requests in progress take together.
const BODIES_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// The request path's state.
#[derive(Debug)]
pub struct Requests {
    /// Requests that wait for a slot.
    pub waiting: Cell<usize>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    body_bytes: Cell<usize>,
    services: RefCell<Services>,
    random: RefCell<SmallRng>,
    once: RefCell<Once<Kept>>,
    homes: RefCell<Homes<View>>,
    runs: RefCell<Runs>,
    /// VMs that were ever listed.
    vms_seen: RefCell<HashSet<SmolStr>>,
    once_options: OnceOptions,
    /// Epoch of the latest view in `homes`; 0 for none.
    epoch: Cell<u64>,
    settled: Cell<bool>,
    /// Time since 1970 at the start; the monotonic clock goes on from it.
    started: Millis,
}

impl Requests {
    /// Makes an empty state for the member `me`.
    pub fn new(settings: &Settings, me: MemberId) -> Self {
        let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let started_ms = since_1970.unwrap_or_default().as_millis();
        let started = Millis(u64::try_from(started_ms).unwrap_or(u64::MAX));
        let once_options = OnceOptions {
            window_ms: settings.timing.once_window_ms,
            ..OnceOptions::default()
        };
        let homes = Homes::new(me, started, once_options.margin_ms);
        Self {
            waiting: Cell::new(0),
            in_progress: Cell::new(0),
            body_bytes: Cell::new(0),
            services: RefCell::default(),
            random: RefCell::new(SmallRng::from_os_rng()),
            once: RefCell::new(Once::new(once_options, started)),
            homes: RefCell::new(homes),
            runs: RefCell::default(),
            vms_seen: RefCell::default(),
            once_options,
            epoch: Cell::new(0),
            settled: Cell::new(false),
            started,
        }
    }
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: RequestId,
    /// Whether the id was made here, so that no earlier sending can have run.
    pub fresh: bool,
    /// The service that is asked.
    pub service: ServiceName,
    /// The path below the service.
    pub path: String,
    /// Who asks.
    pub caller: CallerId,
    /// The caller's team.
    pub team: TeamId,
    /// How urgent it is.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Says that this sending was given up before any member could run it.
    ///
    /// An earlier sending of a non-idempotent request may have run unseen, so that "not run" is
    /// said only where there can't have been one.
    fn given_up(&self, code: &str, message: &str, retry_after_ms: u64) -> ErrorBody {
        if self.idempotent || self.fresh {
            return ErrorBody::not_run(code, message, Some(retry_after_ms));
        }
        ErrorBody {
            retry_after_ms: Some(retry_after_ms),
            ..ErrorBody::unknown(code, message)
        }
    }
}

type Answer = Result<EndpointAnswer, ErrorBody>;

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress(Rc<Node>);

impl InProgress {
    /// Begins to count.
    pub fn new(node: &Rc<Node>) -> Self {
        let count = &node.requests.in_progress;
        count.set(count.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.requests.in_progress;
        count.set(count.get() - 1);
    }
}

/// Memory for the body of a request, until it is dropped.
#[derive(Debug)]
pub struct BodyBytes {
    node: Rc<Node>,
    bytes: usize,
}

impl BodyBytes {
    /// Takes memory, where the bodies of other requests leave some.
    pub fn take(node: &Rc<Node>, bytes: usize) -> Option<Self> {
        let held = &node.requests.body_bytes;
        if held.get() + bytes > BODIES_LIMIT_BYTES {
            return None;
        }
        held.set(held.get() + bytes);
        let node = Rc::clone(node);
        Some(Self { node, bytes })
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        let held = &self.node.requests.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// Serves a request.
pub async fn serve(node: &Rc<Node>, request: CallerRequest) -> Answer {
    if request.idempotent {
        return run::run(node, &request).await;
    }
    home::serve(node, request).await
}

/// Says whether requests that were created since the start can run here as their home.
///
/// Later changes of the view don't take that back: former homes are asked then. Who is no member
/// is no home, and only passes such requests on.
pub fn ready(node: &Rc<Node>) -> bool {
    if node.view.borrow().member(&node.id).is_none() {
        return true;
    }
    let requests = &node.requests;
    if !requests.settled.get() {
        let now = wall_now(node);
        let settled = requests.homes.borrow().settled(now);
        requests.settled.set(settled);
    }
    requests.settled.get()
}

/// Looks after waiting requests and authority, for ever.
pub async fn run(node: Rc<Node>) {
    view_changed(&node);
    loop {
        home::tick(&node);
        slots::review(&node);
        actix_rt::time::sleep(Duration::from_millis(REVIEW_MS)).await;
    }
}

/// Returns the time since 1970 on a clock that does not jump.
fn wall_now(node: &Rc<Node>) -> Millis {
    node.requests.started.plus(node.now().0)
}

type ByService<T> = HashMap<ServiceName, T>;
