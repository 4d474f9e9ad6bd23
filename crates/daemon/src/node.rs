//! The state of one daemon, shared by its tasks on one arbiter.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use syc_config::Document;
use syc_config::Inventory;
use syc_config::Limits;
use syc_config::Settings;
use syc_config::effective_inventory;
use syc_coord::ConfigStore;
use syc_coord::Home;
use syc_coord::HomeOptions;
use syc_coord::Jobs;
use syc_coord::Tombstones;
use syc_coord::home::Quota;
use syc_coord::snapshot::SnapshotPart;
use syc_coord::snapshot::SnapshotProgress;
use syc_member::View;
use syc_net::Intake;
use syc_net::IntakeOptions;
use syc_platform::http::HttpPlatform;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Zone;
use tokio::sync::Notify;

use crate::log_writer::LogWriter;
use crate::members::Members;
use crate::metrics::Operators;
use crate::owner::Owner;
use crate::requests::Requests;

/// One daemon's state.
#[derive(Debug)]
pub struct Node {
    /// What it was told at its start.
    pub settings: Settings,
    /// Its own incarnation.
    pub id: MemberId,
    /// Its availability zone.
    pub zone: Zone,
    /// The platform.
    pub platform: HttpPlatform,
    /// The current view.
    pub view: RefCell<View>,
    /// Its membership and the links to the other members.
    pub members: Members,
    /// Appends to the log.
    pub log_writer: LogWriter,
    /// Offset of the next entry to read from the log.
    pub log_next: Cell<u64>,
    /// Wakes the follower before its interval is over.
    pub log_wake: Notify,
    /// Tells that records were applied.
    pub log_applied: Notify,
    /// Offset up to which some peer has read the log.
    pub log_peers: Cell<u64>,
    /// Records that never count.
    pub tombstones: RefCell<Tombstones>,
    /// Parts of snapshots that were read.
    pub snapshots: RefCell<SnapshotProgress>,
    /// What the last complete snapshot covers, and when it was read.
    pub last_snapshot: Cell<(u64, Millis)>,
    /// Whether this daemon is writing a snapshot.
    pub writing_snapshot: Cell<bool>,
    /// Snapshots that peers are fetching.
    pub peer_snapshots: RefCell<VecDeque<Vec<SnapshotPart>>>,
    /// Whether the log answered when it was last read.
    pub log_available: Cell<bool>,
    /// Whether the log has been read to its end once.
    pub caught_up: Cell<bool>,
    /// The configuration.
    pub config: RefCell<ConfigStore>,
    /// The jobs.
    pub jobs: RefCell<Jobs>,
    /// The teams that this daemon is the home of.
    pub home: RefCell<Home>,
    /// Wakes the placing of pending tasks.
    pub jobs_wake: Notify,
    /// Grants on the workers that this daemon owns.
    pub owner: Owner,
    /// The request path's state.
    pub requests: Requests,
    /// Bound on what clients and other daemons make this one hold.
    pub intake: Intake,
    /// Whether a planned stop has begun.
    pub draining: Cell<bool>,
    /// Whether it leaves its homes to others: it starts nothing new.
    pub handing_over: Cell<bool>,
    /// Placements in progress.
    pub placements: Cell<usize>,
    /// What is kept for operators.
    pub operators: Operators,
    started: Instant,
}

/// What a node is made of.
#[derive(Debug)]
pub struct NodeParts {
    /// What it was told at its start.
    pub settings: Settings,
    /// Its own incarnation.
    pub id: MemberId,
    /// Its membership.
    pub members: Members,
    /// The platform.
    pub platform: HttpPlatform,
    /// Appends to the log.
    pub log_writer: LogWriter,
}

/// Returns the bound for these limits. Other daemons and operators have connections of their own beside the callers'.
fn intake_options(limits: &Limits) -> IntakeOptions {
    IntakeOptions {
        pool_bytes: limits.client_memory_bytes,
        max_connections: limits.connections.saturating_mul(2),
        max_callers: limits.connections,
        max_links: limits.connections,
        ..IntakeOptions::default()
    }
}

impl Node {
    /// Puts a node together.
    pub fn new(parts: NodeParts) -> Rc<Self> {
        let zone = Zone::new(parts.settings.zone.clone());
        let requests = Requests::new(&parts.settings, parts.id.clone());
        Rc::new(Self {
            id: parts.id,
            zone,
            platform: parts.platform,
            view: RefCell::default(),
            members: parts.members,
            log_writer: parts.log_writer,
            log_next: Cell::new(0),
            log_peers: Cell::new(0),
            tombstones: RefCell::default(),
            snapshots: RefCell::default(),
            last_snapshot: Cell::default(),
            writing_snapshot: Cell::new(false),
            peer_snapshots: RefCell::default(),
            log_wake: Notify::new(),
            log_applied: Notify::new(),
            log_available: Cell::new(true),
            caught_up: Cell::new(false),
            config: RefCell::default(),
            jobs: RefCell::default(),
            home: RefCell::new(Home::new(HomeOptions::default())),
            jobs_wake: Notify::new(),
            owner: Owner::new(parts.settings.timing.lease_ms),
            requests,
            intake: Intake::new(intake_options(&parts.settings.limits)),
            draining: Cell::new(false),
            handing_over: Cell::new(false),
            placements: Cell::new(0),
            operators: Operators::default(),
            started: Instant::now(),
            settings: parts.settings,
        })
    }

    /// Returns the time since the start, on the monotonic clock.
    pub fn now(&self) -> Millis {
        let elapsed_ms = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Takes over a document that came into force.
    pub fn apply_document(self: &Rc<Self>, document: &Document) {
        if let Document::Team(team) = document {
            let mut home = self.home.borrow_mut();
            let quota = Quota {
                resources: team.quota,
                tasks: team.limits.running_tasks,
            };
            home.set_quota(&team.name, quota);
            self.jobs_wake.notify_one();
        }
        if matches!(document, Document::Team(_) | Document::Policy(_)) {
            crate::owner::apply_shares(self);
        }
        if !matches!(document, Document::Inventory(_) | Document::Rules(_)) {
            return;
        }
        let inventory = &self.effective_inventory();
        crate::requests::apply_inventory(self, inventory);
        crate::owner::apply_workers(self, &inventory.workers);
        self.jobs_wake.notify_one();
    }

    /// Returns the inventory in force with all rules applied.
    pub fn effective_inventory(&self) -> Inventory {
        let config = self.config.borrow();
        effective_inventory(config.documents().map(|(_, in_force)| &in_force.document))
    }
}
