//! What every node of a cell has and does.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use smol_str::SmolStr;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use syc_obs::CellMetrics;
use syc_obs::CellReadings;
use syc_obs::flush_lines;
use syc_sched::Event;
use syc_sched::Wave;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::ServiceName;
use syc_wire::cell::ContactReply;
use tokio::sync::Notify;

use crate::Configuration;
use crate::NodeSettings;
use crate::claims;
use crate::clock::now;
use crate::clock::pause;
use crate::clock_agreement::AgreedTime;
use crate::clock_agreement::reported_anchor;
use crate::contact;
use crate::contact::HolderLink;
use crate::follow;
use crate::leader::Leader;
use crate::log;
use crate::ports::Platform;
use crate::store_calls::StoreHealth;
use crate::submissions::SubmissionQueue;
use crate::submissions::run_admission_timer;
use crate::unreadable::Unreadable;

/// A planned stop looks this often whether the node is idle.
const IDLE_POLL_MS: u64 = 50;

/// The scheduler, as a node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the node.
    pub node: SmolStr,
    /// Where it takes calls of other nodes, `ip:port`.
    pub address: SmolStr,
    /// Names one incarnation of the node's process.
    pub incarnation: u64,
    /// Its fencing token.
    pub token: u64,
}

/// A wave of upkeep, and when this node read of it.
#[derive(Debug, Clone)]
pub(crate) struct PublishedWave {
    pub(crate) wave: Wave,
    pub(crate) seen_at: Millis,
}

/// A node of a cell; it lives on one arbiter.
#[derive(Debug)]
pub struct Node<P>
where
    P: Platform,
{
    /// The platform.
    pub platform: P,
    /// What it was told at its start.
    pub settings: NodeSettings,
    /// Its metrics.
    pub metrics: CellMetrics,
    /// What others wrote and this node can't read.
    pub(crate) unreadable: Unreadable,
    /// Names this incarnation of the process.
    pub(crate) incarnation: u64,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    /// Waves of upkeep that operators have published.
    pub(crate) waves: RefCell<Vec<PublishedWave>>,
    pub(crate) store: StoreHealth,
    pub(crate) holder: RefCell<Option<Holder>>,
    pub(crate) link: RefCell<Option<Rc<HolderLink>>>,
    pub(crate) leader: RefCell<Option<Rc<Leader<P>>>>,
    pub(crate) submissions: SubmissionQueue,
    /// The partition that this node writes jobs to.
    pub(crate) partition: Cell<u32>,
    /// Wakes whoever waits for news of the scheduler.
    pub(crate) holder_changed: Notify,
    /// Whether the holder's process seems to be gone.
    pub(crate) holder_suspected: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// No claim before this time, after having given the role up.
    pub(crate) claim_not_before: Cell<Millis>,
    /// The time of day that the scheduler last told.
    pub(crate) reported_time: Cell<Option<AgreedTime>>,
    pub(crate) unsent_replies: UnsentReplies,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Starts a node on the current arbiter; `peers` is where it takes calls of other nodes.
    pub fn start(platform: P, settings: NodeSettings, peers: TcpListener) -> Rc<Self> {
        let began = now();
        let node = Rc::new(Self {
            platform,
            metrics: CellMetrics::new(),
            unreadable: Unreadable::default(),
            incarnation: rand::rngs::SmallRng::from_os_rng().random_range(1..=u64::from(u32::MAX)),
            configuration: RefCell::default(),
            waves: RefCell::default(),
            store: StoreHealth::new(began),
            holder: RefCell::default(),
            link: RefCell::default(),
            leader: RefCell::default(),
            partition: Cell::new(0),
            submissions: SubmissionQueue::new(),
            holder_changed: Notify::new(),
            holder_suspected: Cell::new(false),
            stopping: Cell::new(false),
            claim_not_before: Cell::new(began),
            reported_time: Cell::new(None),
            unsent_replies: UnsentReplies::default(),
            settings,
        });
        actix_rt::spawn(follow::follow_configuration(Rc::clone(&node)));
        actix_rt::spawn(claims::follow_claims(Rc::clone(&node)));
        actix_rt::spawn(contact::run_contact_loop(Rc::clone(&node)));
        actix_rt::spawn(tick(Rc::clone(&node)));
        actix_rt::spawn(run_store_probe(Rc::clone(&node)));
        actix_rt::spawn(run_admission_timer(Rc::clone(&node)));
        actix_rt::spawn(serve_peer_calls(Rc::clone(&node), peers));
        log::started(&node.settings, node.incarnation);
        node
    }

    /// Returns the configuration in force, if any.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Says whether workers of a service may be used; before there is a configuration, any.
    pub(crate) fn names_service(&self, service: &ServiceName) -> bool {
        let configuration = self.configuration();
        configuration.is_none_or(|current| current.names_service(service))
    }

    /// Says whether new connections should come here.
    ///
    /// A node is ready once it has a configuration and knows a scheduler, as long as it can store
    /// what is submitted, itself or through the scheduler.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.stopping.get() || self.configuration.borrow().is_none() {
            return false;
        }
        let link = self.link.borrow();
        let can_relay = link.as_ref().is_some_and(|link| link.can_relay());
        self.store_answers() || can_relay
    }

    /// Says whether this node is the scheduler, and has read what its predecessor left.
    #[must_use]
    pub fn is_scheduler(&self) -> bool {
        self.leader().is_some_and(|leader| leader.is_loaded())
    }

    /// Returns the scheduler, if this node is it.
    pub(crate) fn leader(&self) -> Option<Rc<Leader<P>>> {
        self.leader.borrow().clone()
    }

    /// Reads this node's clock of the day.
    pub(crate) fn read_wall_clock(&self) -> DayAnchor {
        let day = self.settings.wall_clock.read();
        DayAnchor { at: now(), day }
    }

    /// Returns the time of day that the scheduler believes in, as far as it is known here.
    #[must_use]
    pub fn agreed_time(&self) -> Option<AgreedTime> {
        let leader = self.leader();
        leader.map_or(self.reported_time.get(), |leader| Some(leader.agreed_day()))
    }

    pub(crate) fn record_reported_time(&self, reply: &ContactReply) {
        let Some(anchor) = reported_anchor(now(), reply.day_ms) else {
            return;
        };
        let clocks = reply.day_clocks;
        self.reported_time.set(Some(AgreedTime { anchor, clocks }));
    }

    /// Returns the page of metrics.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let connections = self.platform.connections();
        let mut readings = CellReadings {
            worker_connections_opened: connections.opened,
            worker_connections_withheld: connections.withheld,
            ..CellReadings::default()
        };
        if let Some(configuration) = self.configuration() {
            readings.configuration = configuration.version;
        }
        if let Some(holder) = self.holder.borrow().as_ref() {
            readings.token = holder.token;
        }
        if let Some(leader) = self.leader() {
            let counts = leader.counts();
            readings.leading = true;
            readings.open_jobs = counts.open_jobs;
            readings.waiting_tasks = counts.waiting_tasks;
            readings.runs = counts.runs;
            readings.usable_workers = counts.usable_workers;
            readings.silent_workers = counts.silent_workers;
            readings.doubtful_runs = counts.doubtful_runs;
            readings.oldest_doubt_ms = counts.oldest_doubt_ms;
            readings.longest_silence_ms = counts.longest_silence_ms;
            readings.longest_lease_ms = counts.longest_lease_ms;
        }
        self.metrics.page(&readings)
    }

    /// Begins a planned stop: new connections go elsewhere, and the role of scheduler is handed over. Whoever
    /// submits something is answered by a time, whatever the store does.
    pub async fn begin_stop(self: &Rc<Self>, answer_by: Millis) {
        if self.stopping.replace(true) {
            return;
        }
        self.submissions.stop_by(answer_by);
        log::stopping(self.leader.borrow().is_some());
        if let Some(leader) = self.leader() {
            leader.hand_over("planned_stop").await;
        }
    }

    /// Waits until nothing that was accepted is left to be answered, at most `limit_ms`.
    pub async fn finish_stop(&self, limit_ms: u64) {
        let deadline = now().plus(limit_ms);
        while now() < deadline {
            if !self.submissions.is_busy() && self.unsent_replies.count() == 0 {
                break;
            }
            pause(IDLE_POLL_MS).await;
        }
        log::stopped();
        flush_lines();
    }
}

async fn tick<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        pause(node.settings.timing.tick_interval_ms).await;
        if let Some(leader) = node.leader() {
            leader.update_day();
            leader.apply(Event::Ticked);
            leader.request_leadership_proof();
            leader.hand_over_if_isolated();
        }
        flush_lines();
    }
}

/// Finds out quickly that the store answers again.
async fn run_store_probe<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        pause(node.settings.timing.probe_interval_ms).await;
        node.update_store_health("review", "silent");
        if !node.store_answers() {
            node.probe().await;
        }
    }
}

async fn serve_peer_calls<P>(node: Rc<Node<P>>, listener: TcpListener)
where
    P: Platform,
{
    let unsent = node.unsent_replies.clone();
    let served = serve_peers(listener, unsent, move |call: Bytes| {
        let node = Rc::clone(&node);
        async move { contact::handle_call(&node, &call).await }
    });
    if let Err(error) = served.await {
        log::peer_listener_failed(&error);
    }
}
