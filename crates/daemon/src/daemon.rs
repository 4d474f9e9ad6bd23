//! Starting and stopping a daemon.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_config::Settings;
use syc_coord::AppendOptions;
use syc_net::HttpListener;
use syc_net::HttpOptions;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::http::HttpPlatform;
use syc_platform::http::HttpPlatformOptions;
use thiserror::Error;

use crate::callers;
use crate::control;
use crate::follower;
use crate::home_run;
use crate::intake_log;
use crate::log_writer::LogWriter;
use crate::members;
use crate::members::Members;
use crate::members_run;
use crate::node::Node;
use crate::node::NodeParts;
use crate::owner;
use crate::peers;
use crate::requests;

/// Time that a planned stop waits for placements: an owner keeps an offer for a second, and its
/// intents and withdrawals are appended after that.
const HANDOVER_WAIT_MS: u64 = 3_000;

/// Open connections of operators' tools.
const CONTROL_CONNECTIONS: usize = 64;

/// Interval at which requests that take too long are looked for.
const SWEEP_INTERVAL_MS: u64 = 250;

/// How often a planned stop looks whether requests are still in progress.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Says why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("can't listen on {address}")]
    Listen {
        /// The address in the settings, `ip:port`.
        address: SmolStr,
        /// The system's reason.
        source: std::io::Error,
    },
}

/// The open sockets of a daemon.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    control: TcpListener,
}

impl Listeners {
    /// Opens the sockets that the settings name; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be listened on.
    pub fn bind(settings: &Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind(&settings.listen.callers)?,
            peers: bind(&settings.listen.peers)?,
            control: bind(&settings.listen.control)?,
        })
    }

    /// Returns the settings with the addresses that are really listened on.
    ///
    /// # Errors
    ///
    /// Fails where the system does not tell an address.
    pub fn resolve(&self, mut settings: Settings) -> std::io::Result<Settings> {
        let text = |address: SocketAddr| SmolStr::new(address.to_string());
        settings.listen.callers = text(self.callers.local_addr()?);
        settings.listen.peers = text(self.peers.local_addr()?);
        settings.listen.control = text(self.control.local_addr()?);
        Ok(settings)
    }
}

fn bind(address: &SmolStr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address.as_str()).map_err(|source| StartError::Listen {
        address: address.clone(),
        source,
    })
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Rc<Node>,
    callers: HttpListener,
    unsent: UnsentReplies,
    _control: HttpListener,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails where a socket can't be handed to the runtime.
    pub fn start(settings: Settings, listeners: Listeners) -> Result<Self, StartError> {
        let node = make_node(settings);
        let listen = node.settings.listen.clone();
        let failed = |address: SmolStr| |source| StartError::Listen { address, source };

        let state = Rc::clone(&node);
        let intake = node.intake.clone();
        let options = HttpOptions {
            max_connections: node.settings.limits.connections,
            ..HttpOptions::default()
        };
        let callers =
            HttpListener::start_bounded(listeners.callers, options, &intake, move |request| {
                callers::answer(Rc::clone(&state), request)
            })
            .map_err(failed(listen.callers))?;

        let state = Rc::clone(&node);
        let options = HttpOptions {
            max_connections: CONTROL_CONNECTIONS,
            ..HttpOptions::default()
        };
        let control =
            HttpListener::start_bounded(listeners.control, options, &intake, move |request| {
                control::answer(Rc::clone(&state), request)
            })
            .map_err(failed(listen.control))?;

        let state = Rc::clone(&node);
        let unsent = UnsentReplies::default();
        let max_links = intake.options().max_links;
        let handler = move |payload| peers::answer(Rc::clone(&state), payload);
        let serving = serve_peers(listeners.peers, max_links, intake, unsent.clone(), handler);
        let tasks = vec![
            actix_rt::spawn(async move {
                let _stopped = serving.await;
            }),
            actix_rt::spawn(follower::run(Rc::clone(&node))),
            actix_rt::spawn(home_run::run(Rc::clone(&node))),
            actix_rt::spawn(members_run::run(Rc::clone(&node))),
            actix_rt::spawn(members_run::watch_vms(Rc::clone(&node))),
            actix_rt::spawn(owner::run(Rc::clone(&node))),
            actix_rt::spawn(requests::run(Rc::clone(&node))),
            actix_rt::spawn(intake_log::run(Rc::clone(&node))),
            actix_rt::spawn(node.intake.clone().run_sweeps(SWEEP_INTERVAL_MS)),
        ];
        let listen = &node.settings.listen;
        emit(
            catalogue::STARTED,
            format_args!(
                "member={} callers={} peers={} control={}",
                node.id, listen.callers, listen.peers, listen.control
            ),
        );
        Ok(Self {
            node,
            callers,
            unsent,
            _control: control,
            tasks,
        })
    }

    /// Says whether it is a member that has the configuration and takes work.
    #[must_use]
    pub fn ready(&self) -> bool {
        members::ready(&self.node)
    }

    /// Waits until an operator asks for a planned stop.
    pub async fn drain_asked(&self) {
        self.node.operators.drain_asked.notified().await;
    }

    /// Stops as planned: tells the balancer, takes nothing new, and waits for what is in progress.
    pub async fn stop(self) {
        let timing = self.node.settings.timing;
        emit(catalogue::DRAINING, format_args!("member={}", self.node.id));
        self.node.draining.set(true);
        actix_rt::time::sleep(Duration::from_millis(timing.drain_notice_ms)).await;
        self.finish_placements().await;
        members::leave(&self.node).await;
        self.callers.shut_down();
        let limit = Duration::from_millis(timing.drain_limit_ms);
        if tokio::time::timeout(limit, self.drained()).await.is_err() {
            let left = self.node.requests.in_progress.get();
            emit(catalogue::DRAIN_LIMIT, format_args!("requests={left}"));
        }
        owner::stop_acting(&self.node);
        // A request that was sent before the handover may reach its new home only now.
        actix_rt::time::sleep(Duration::from_millis(timing.drain_linger_ms)).await;
        for task in &self.tasks {
            task.abort();
        }
        emit(catalogue::STOPPED, format_args!("member={}", self.node.id));
    }

    // The next home finds either started tasks or none; it does not meet one in the middle.
    async fn finish_placements(&self) {
        self.node.handing_over.set(true);
        let finished = async {
            while self.node.placements.get() > 0 {
                actix_rt::time::sleep(DRAIN_CHECK).await;
            }
        };
        let limit = Duration::from_millis(HANDOVER_WAIT_MS);
        if tokio::time::timeout(limit, finished).await.is_err() {
            let left = self.node.placements.get();
            emit(catalogue::DRAIN_LIMIT, format_args!("placements={left}"));
        }
    }

    async fn drained(&self) {
        // A connection closes when the response to its last request is written whole. Peers wait
        // for what they passed on to this daemon while it was a home.
        while self.open_work() > 0 {
            actix_rt::time::sleep(DRAIN_CHECK).await;
        }
    }

    fn open_work(&self) -> usize {
        let requests = self.node.requests.in_progress.get();
        requests + self.callers.open_connections() + self.unsent.count()
    }
}

fn make_node(settings: Settings) -> Rc<Node> {
    let members = Members::new(&settings);
    let id = members.state.borrow().me().id.clone();
    let platform = HttpPlatform::new(
        &settings.platform.log,
        &settings.platform.vms,
        HttpPlatformOptions::default(),
    );
    let log_writer = LogWriter::start(
        platform.clone(),
        AppendOptions {
            prompt_delay_ms: settings.timing.group_commit_ms,
            appends_per_s: settings.limits.appends_per_s,
            ..AppendOptions::default()
        },
        settings.timing.append_wait_ms,
    );
    Node::new(NodeParts {
        settings,
        id,
        members,
        platform,
        log_writer,
    })
}
