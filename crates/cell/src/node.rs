//! State and background tasks that every node of a cell has.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use smol_str::SmolStr;
use syc_net::Intake;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use syc_obs::CellMetrics;
use syc_obs::CellReadings;
use syc_obs::ClientReadings;
use syc_obs::flush_lines;
use syc_sched::ConfigurationAge;
use syc_sched::ConfigurationFreshness;
use syc_sched::ContactTimeout;
use syc_sched::ElectionBackoff;
use syc_sched::Event;
use syc_sched::Wave;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::ServiceName;
use syc_wire::cell::ContactReply;
use tokio::sync::Notify;

use crate::Configuration;
use crate::NodeSettings;
use crate::carrier::RelayedCalls;
use crate::claims;
use crate::clock::now;
use crate::clock::pause;
use crate::clock_agreement::AgreedTime;
use crate::clock_agreement::reported_anchor;
use crate::configuration_relay;
use crate::contact;
use crate::contact::HolderLink;
use crate::follow;
use crate::intake_log::IntakeLog;
use crate::leader::Leader;
use crate::log;
use crate::ports::Platform;
use crate::ports::Record;
use crate::store_calls::StoreHealth;
use crate::stored_state;
use crate::stored_state::ReadAhead;
use crate::submit::SubmitQueue;
use crate::submit::run_admission_timer;
use crate::submit_shedding::SubmitsUnderWay;
use crate::unreadable::Unreadable;

/// Interval at which a planned stop checks whether the node is idle.
const IDLE_POLL_MS: u64 = 50;

/// Longest interval between probes of an unavailable store.
const MAX_PROBE_INTERVAL_MS: u64 = 1_600;

/// The node that holds the scheduler role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the node.
    pub node: SmolStr,
    /// Address on which it accepts calls from other nodes, `ip:port`.
    pub address: SmolStr,
    /// Identifies one run of the node's process.
    pub incarnation: u64,
    /// Fencing token of its orders.
    pub token: u64,
}

/// A wave of VM maintenance, and when this node first read it.
#[derive(Debug, Clone)]
pub(crate) struct PublishedWave {
    pub(crate) wave: Wave,
    pub(crate) seen_at: Millis,
}

/// A node of a cell. All of its tasks run on one arbiter.
#[derive(Debug)]
pub struct Node<P>
where
    P: Platform,
{
    /// Access to the store, the workers and the other services of the platform.
    pub platform: P,
    /// Settings, fixed when the node starts.
    pub settings: NodeSettings,
    /// Metrics of this node.
    pub metrics: CellMetrics,
    /// Bound on what clients and other nodes make the process hold.
    pub intake: Intake,
    /// Refusals that were already logged.
    pub(crate) intake_log: IntakeLog,
    /// Unreadable input that was already logged.
    pub(crate) unreadable: Unreadable,
    /// Identifies this run of the process.
    pub(crate) incarnation: u64,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    /// Record of the configuration in force, as operators published it.
    pub(crate) configuration_record: RefCell<Option<Record>>,
    pub(crate) configuration_freshness: RefCell<ConfigurationFreshness>,
    /// Node that last told this one, the scheduler, of a newer configuration.
    pub(crate) newer_peer: Cell<Option<SocketAddr>>,
    pub(crate) read_ahead: ReadAhead,
    /// Asks for a contact to the scheduler without delay.
    pub(crate) contact_wanted: Notify,
    /// Notifies that another node has a newer configuration than this one.
    pub(crate) configuration_wanted: Notify,
    /// Whether this node has looked for claims in the store since it last relied on the scheduler to learn of them.
    pub(crate) has_looked_for_claims: Cell<bool>,
    /// Position among the candidates for the scheduler role, from 1, that a scheduler last stated; 0 if it stated that
    /// this node is none.
    pub(crate) candidate_rank: Cell<Option<u32>>,
    /// Waves of VM maintenance that operators have published.
    pub(crate) waves: RefCell<Vec<PublishedWave>>,
    pub(crate) store: StoreHealth,
    pub(crate) holder: RefCell<Option<Holder>>,
    /// Newer scheduler that another node reported and that this node does not follow yet.
    pub(crate) reported_holder: RefCell<Option<Holder>>,
    pub(crate) link: RefCell<Option<Rc<HolderLink>>>,
    pub(crate) leader: RefCell<Option<Rc<Leader<P>>>>,
    pub(crate) submit_queue: SubmitQueue,
    pub(crate) submits: Rc<SubmitsUnderWay>,
    /// Partition to which this node appends jobs.
    pub(crate) partition: Cell<u32>,
    /// Notifies that the scheduler changed or is suspected to have failed.
    pub(crate) holder_changed: Notify,
    /// Whether the holder's process is suspected to have ended.
    pub(crate) holder_suspected: Cell<bool>,
    /// Whether the scheduler said that the store answers other nodes but not its own.
    pub(crate) holder_yields: Cell<bool>,
    /// Timeout of contacts to the scheduler.
    pub(crate) contact_timeout: Cell<ContactTimeout>,
    /// Lengthens election timeouts while live schedulers are replaced one after the other.
    pub(crate) election_backoff: RefCell<ElectionBackoff>,
    pub(crate) stopping: Cell<bool>,
    /// Earliest time for the next claim, set when this node gives up the role.
    pub(crate) claim_not_before: Cell<Millis>,
    /// Wall-clock time that the scheduler last reported.
    pub(crate) reported_time: Cell<Option<AgreedTime>>,
    pub(crate) unsent_replies: UnsentReplies,
    /// Calls to workers in progress that this node makes on behalf of the scheduler.
    pub(crate) relayed_calls: RelayedCalls,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Starts a node on the current arbiter. `peers` accepts calls from other nodes.
    pub fn start(platform: P, settings: NodeSettings, peers: TcpListener) -> Rc<Self> {
        let started_at = now();
        let node = Rc::new(Self {
            platform,
            metrics: CellMetrics::new(),
            intake: Intake::new(settings.intake),
            intake_log: IntakeLog::default(),
            unreadable: Unreadable::default(),
            incarnation: rand::rngs::SmallRng::from_os_rng().random_range(1..=u64::from(u32::MAX)),
            configuration: RefCell::default(),
            configuration_record: RefCell::default(),
            configuration_freshness: RefCell::new(ConfigurationFreshness::new(started_at)),
            newer_peer: Cell::new(None),
            read_ahead: ReadAhead::default(),
            contact_wanted: Notify::new(),
            configuration_wanted: Notify::new(),
            has_looked_for_claims: Cell::new(false),
            candidate_rank: Cell::new(None),
            waves: RefCell::default(),
            store: StoreHealth::new(started_at),
            holder: RefCell::default(),
            reported_holder: RefCell::default(),
            link: RefCell::default(),
            leader: RefCell::default(),
            partition: Cell::new(0),
            submit_queue: SubmitQueue::new(),
            submits: Rc::default(),
            holder_changed: Notify::new(),
            holder_suspected: Cell::new(false),
            holder_yields: Cell::new(false),
            contact_timeout: Cell::default(),
            election_backoff: RefCell::default(),
            stopping: Cell::new(false),
            claim_not_before: Cell::new(started_at),
            reported_time: Cell::new(None),
            unsent_replies: UnsentReplies::default(),
            relayed_calls: RelayedCalls::default(),
            settings,
        });
        actix_rt::spawn(follow::follow_configuration(Rc::clone(&node)));
        actix_rt::spawn(configuration_relay::run_fetch_loop(Rc::clone(&node)));
        actix_rt::spawn(claims::follow_claims(Rc::clone(&node)));
        actix_rt::spawn(contact::run_contact_loop(Rc::clone(&node)));
        actix_rt::spawn(stored_state::run_read_ahead(Rc::clone(&node)));
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

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map_or(0, |current| current.version)
    }

    /// Returns how current the configuration in force is.
    pub(crate) fn configuration_age(&self) -> ConfigurationAge {
        self.configuration_freshness.borrow().age(now())
    }

    /// Logs that the configuration in force may be old, or no longer may.
    fn review_configuration(&self) {
        let change = self.configuration_freshness.borrow_mut().take_change(now());
        let Some(may_be_old) = change else {
            return;
        };
        let age = self.configuration_age();
        if may_be_old {
            log::configuration_unconfirmed(&age, self.is_informed(), self.store_answers());
        } else {
            log::configuration_confirmed(&age);
        }
    }

    /// Returns whether workers of a service may be used. Without a configuration, all may.
    pub(crate) fn allows_service(&self, service: &ServiceName) -> bool {
        let configuration = self.configuration();
        configuration.is_none_or(|current| current.allows_service(service))
    }

    /// Returns whether the load balancer should send new connections to this node.
    ///
    /// A node is ready when it has a configuration and can store submitted jobs, either itself or through the
    /// scheduler's node. A node that is stopping is not ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.stopping.get() || self.configuration.borrow().is_none() {
            return false;
        }
        let link = self.link.borrow();
        let can_relay = link.as_ref().is_some_and(|link| link.can_relay());
        self.store_answers() || can_relay
    }

    /// Returns whether the scheduler keeps this node informed of claims and configurations, so that this node need not
    /// follow the store itself.
    pub(crate) fn is_informed(&self) -> bool {
        let link = self.link.borrow();
        link.as_ref().is_some_and(|link| link.is_informing())
    }

    /// Returns whether this node is the scheduler and has loaded the state of its predecessor.
    #[must_use]
    pub fn is_scheduler(&self) -> bool {
        self.leader().is_some_and(|leader| leader.is_loaded())
    }

    /// Returns whether this node is the scheduler and had read the state of its predecessor ahead of its election.
    #[must_use]
    pub fn has_taken_over_prepared(&self) -> bool {
        self.leader().is_some_and(|leader| leader.had_read_ahead())
    }

    /// Returns the scheduler if this node holds the role.
    pub(crate) fn leader(&self) -> Option<Rc<Leader<P>>> {
        self.leader.borrow().clone()
    }

    /// Reads this node's wall clock.
    pub(crate) fn read_wall_clock(&self) -> DayAnchor {
        let day = self.settings.wall_clock.read();
        DayAnchor { at: now(), day }
    }

    /// Returns the wall-clock time that the nodes agree on, if the scheduler has reported it to this node.
    #[must_use]
    pub fn agreed_time(&self) -> Option<AgreedTime> {
        let leader = self.leader();
        leader.map_or(self.reported_time.get(), |leader| {
            Some(leader.agreed_time())
        })
    }

    pub(crate) fn record_reported_time(&self, reply: &ContactReply) {
        let Some(anchor) = reported_anchor(now(), reply.day_ms) else {
            return;
        };
        let clocks = reply.day_clocks;
        self.reported_time.set(Some(AgreedTime { anchor, clocks }));
    }

    /// Renders the metrics page.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let connections = self.platform.connections();
        let intake = self.intake.readings();
        let mut readings = CellReadings {
            clients: ClientReadings {
                connections: intake.connections,
                held_bytes: intake.pooled_bytes,
                refusals: intake.refusals.by_reason(),
            },
            worker_connections_opened: connections.opened,
            worker_connections_withheld: connections.withheld,
            ..CellReadings::default()
        };
        if let Some(configuration) = self.configuration() {
            readings.configuration = configuration.version;
            readings.configuration_age_ms = self.configuration_age().unconfirmed_ms;
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
            readings.held_ends = counts.held_ends;
            readings.late_start_tasks = counts.late_start_tasks;
            readings.doubtful_runs = counts.doubtful_runs;
            readings.oldest_doubt_ms = counts.oldest_doubt_ms;
            readings.longest_silence_ms = counts.longest_silence_ms;
            readings.longest_lease_ms = counts.longest_lease_ms;
            let carried = leader.carrier_load();
            readings.carriers = carried.carriers;
            readings.relayed_workers = carried.workers;
            readings.most_relayed_workers = carried.most_workers;
            let speeds = leader.speed_counts();
            readings.normal_speed_workers = speeds.normal;
            readings.slow_workers = speeds.slow;
            readings.unknown_speed_workers = speeds.unknown;
            readings.longest_slow_ms = speeds.longest_slow_ms;
            self.metrics.duration_errors(&leader.duration_errors());
            self.metrics.workspaces(&leader.workspace_readings());
            self.metrics.workspace_rates(&leader.rate_readings());
        }
        self.metrics.page(&readings)
    }

    /// Begins a planned stop: the node reports that it is not ready and hands over the scheduler role. Pending
    /// submit requests are answered by `answer_by`, even if the store does not respond.
    pub async fn begin_stop(self: &Rc<Self>, answer_by: Millis) {
        if self.stopping.replace(true) {
            return;
        }
        self.submit_queue.stop_by(answer_by);
        log::stopping(self.leader.borrow().is_some());
        if let Some(leader) = self.leader() {
            leader.hand_over_to_prepared("planned_stop").await;
        }
    }

    /// Waits until every pending submit request is answered, for at most `limit_ms`.
    pub async fn finish_stop(&self, limit_ms: u64) {
        let deadline = now().plus(limit_ms);
        while now() < deadline {
            if !self.submit_queue.is_busy() && self.unsent_replies.count() == 0 {
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
        node.review_configuration();
        node.intake.sweep();
        node.intake_log.review(&node.intake, now());
        if let Some(leader) = node.leader() {
            leader.update_agreed_time();
            leader.review_peers();
            leader.apply(Event::Ticked);
            leader.update_shed_view();
            leader.request_leadership_proof();
            leader.hand_over_if_isolated();
        }
        flush_lines();
    }
}

/// Probes the store while it is unavailable, so that its recovery is noticed quickly.
///
/// A node that the scheduler keeps informed stores jobs through it, so it probes ever less often. Hundreds of nodes that
/// the store turns away would otherwise add to its load.
async fn run_store_probe<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let min_interval_ms = node.settings.timing.probe_interval_ms;
    let mut interval_ms = min_interval_ms;
    loop {
        pause(interval_ms).await;
        node.update_store_health("review", "silent");
        if node.store_answers() {
            interval_ms = min_interval_ms;
            continue;
        }
        node.probe().await;
        interval_ms = if node.is_informed() {
            (2 * interval_ms).min(MAX_PROBE_INTERVAL_MS)
        } else {
            min_interval_ms
        };
    }
}

async fn serve_peer_calls<P>(node: Rc<Node<P>>, listener: TcpListener)
where
    P: Platform,
{
    let unsent = node.unsent_replies.clone();
    let intake = node.intake.clone();
    let max_links = intake.options().max_links;
    let served = serve_peers(listener, max_links, intake, unsent, move |call: Bytes| {
        let node = Rc::clone(&node);
        async move { contact::handle_call(&node, &call).await }
    });
    if let Err(error) = served.await {
        log::peer_listener_failed(&error);
    }
}
