//! What a daemon is told when it starts.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Findings;
use crate::parse::Checked;
use crate::parse::check_address;

/// Settings of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Where it listens.
    pub listen: Listen,
    /// The other entry VMs.
    pub peers: Vec<PeerSettings>,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Bounds of what it takes in.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// What an operator's tool must show on the control address; empty refuses all changes.
    pub control_token: SmolStr,
    /// The least level that is logged to the standard error stream; the environment variable
    /// `SYC_LOG` goes first.
    pub log_level: LogLevel,
}

/// How much a log event matters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something is broken and needs a person.
    Error,
    /// Something went wrong, and the daemon goes on.
    Warn,
    /// What an operator wants to follow.
    #[default]
    Info,
    /// For the search for a fault.
    Debug,
}

/// Addresses that a daemon listens on, `ip:port`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SmolStr,
    /// For the other daemons.
    pub peers: SmolStr,
    /// For operators.
    pub control: SmolStr,
}

/// Another entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its address for daemons, `ip:port`.
    pub address: SmolStr,
}

/// Addresses of the platform's services, `ip:port`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The log.
    pub log: SmolStr,
    /// The VM list.
    pub vms: SmolStr,
}

/// Bounds of what a daemon takes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Memory that requests and responses in progress may take together, beyond 16 KB of each connection.
    pub client_memory_bytes: usize,
    /// Requests that wait for an endpoint.
    pub queue_requests: usize,
    /// Appends a second to the log that all entry VMs together may sustain.
    pub appends_per_s: u64,
    /// Entries of the log after which a snapshot is written; far fewer than the log keeps.
    pub snapshot_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            body_bytes: 1024 * 1024,
            client_memory_bytes: 64 * 1024 * 1024,
            queue_requests: 1_024,
            appends_per_s: 18,
            snapshot_entries: 20_000,
        }
    }
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Timing {
    /// Interval of reading the log.
    pub log_poll_ms: u64,
    /// Interval of reading the VM list.
    pub vm_poll_ms: u64,
    /// Length of a task's lease on a worker.
    pub lease_ms: u64,
    /// Time that a worker may hold a poll.
    pub worker_poll_ms: u64,
    /// Deadline of a request whose caller gives none.
    pub request_timeout_ms: u64,
    /// Time that the answer of a non-idempotent request is kept.
    pub once_window_ms: u64,
    /// Time that a record waits for others before it is appended.
    pub group_commit_ms: u64,
    /// Time that a caller waits for its record to be in the log.
    pub append_wait_ms: u64,
    /// Time after which a snapshot is written; far shorter than the log's retention.
    pub snapshot_age_ms: u64,
    /// Time that an ended job and its results are kept.
    pub ended_jobs_ms: u64,
    /// Time between telling the balancer and refusing connections.
    pub drain_notice_ms: u64,
    /// Longest time that a planned stop waits for requests in progress.
    pub drain_limit_ms: u64,
    /// Time that a stopped daemon still tells other homes what it ran, for requests that were under
    /// way to it.
    pub drain_linger_ms: u64,
    /// Interval of heartbeats between entry VMs.
    pub heartbeat_ms: u64,
    /// Length of the lease under which an entry VM acts as owner and home.
    pub authority_ms: u64,
    /// Bound on what two clocks may differ over one such lease.
    pub drift_ms: u64,
    /// Silence after which an entry VM is suspected.
    pub suspect_ms: u64,
    /// Longest time that the VM list may lag.
    pub vm_lag_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            log_poll_ms: 1_000,
            vm_poll_ms: 1_000,
            lease_ms: 30_000,
            worker_poll_ms: 10_000,
            request_timeout_ms: 10_000,
            once_window_ms: 600_000,
            group_commit_ms: 5,
            append_wait_ms: 4_000,
            snapshot_age_ms: 3_600_000,
            ended_jobs_ms: 600_000,
            drain_notice_ms: 2_000,
            drain_limit_ms: 30_000,
            drain_linger_ms: 3_000,
            heartbeat_ms: 1_000,
            authority_ms: 3_000,
            drift_ms: 100,
            suspect_ms: 3_200,
            vm_lag_ms: 60_000,
        }
    }
}

/// Reads and checks settings; `name` is what findings call the text.
///
/// # Errors
///
/// Fails with every finding, in the order of the text.
pub fn parse_settings(name: &str, text: &str) -> Result<Settings, Findings> {
    let mut checked = Checked::new(name, text);
    let settings = checked.read::<Settings>(&crate::schema::settings())?;
    check_names(&settings, &mut checked);
    check_addresses(&settings, &mut checked);
    check_timing(&settings.timing, &mut checked);
    checked.finish()?;
    Ok(settings)
}

fn check_names(settings: &Settings, checked: &mut Checked<'_>) {
    if settings.name.is_empty() {
        checked.add("name", "the entry VM needs a name".to_owned());
    }
    if settings.zone.is_empty() {
        checked.add("zone", "the availability zone is missing".to_owned());
    }
    for (index, peer) in settings.peers.iter().enumerate() {
        if peer.name == settings.name {
            let message = format!("`{}` is this entry VM itself", peer.name);
            checked.add(&format!("peers.{index}.name"), message);
        }
        let earlier = &settings.peers[..index];
        if earlier.iter().any(|other| other.name == peer.name) {
            let message = format!("`{}` is listed twice", peer.name);
            checked.add(&format!("peers.{index}.name"), message);
        }
    }
}

fn check_addresses(settings: &Settings, checked: &mut Checked<'_>) {
    let fixed = [
        ("listen.callers", &settings.listen.callers),
        ("listen.peers", &settings.listen.peers),
        ("listen.control", &settings.listen.control),
        ("platform.log", &settings.platform.log),
        ("platform.vms", &settings.platform.vms),
    ];
    for (path, address) in fixed {
        check_address(path, address, checked);
    }
    for (index, peer) in settings.peers.iter().enumerate() {
        check_address(&format!("peers.{index}.address"), &peer.address, checked);
    }
}

fn check_timing(timing: &Timing, checked: &mut Checked<'_>) {
    if timing.lease_ms < timing.worker_poll_ms.saturating_mul(2) {
        let message = format!(
            "a lease of {} ms lapses before a poll of {} ms is repeated; use twice as much or more",
            timing.lease_ms, timing.worker_poll_ms
        );
        checked.add("timing.lease_ms", message);
    }
    check_membership_timing(timing, checked);
    if timing.log_poll_ms == 0 {
        let message = "must be at least 1".to_owned();
        checked.add("timing.log_poll_ms", message);
    }
}

fn check_membership_timing(timing: &Timing, checked: &mut Checked<'_>) {
    if timing.heartbeat_ms == 0 {
        let message = "must be at least 1".to_owned();
        checked.add("timing.heartbeat_ms", message);
    }
    let beats_ms = timing.heartbeat_ms.saturating_mul(2);
    let used_ms = timing.authority_ms.saturating_sub(timing.drift_ms);
    if used_ms < beats_ms {
        let message = format!(
            "less the drift of {} ms it must outlast two heartbeats, {beats_ms} ms",
            timing.drift_ms
        );
        checked.add("timing.authority_ms", message);
    }
    if timing.suspect_ms < beats_ms {
        let message = format!("must be at least two heartbeats, {beats_ms} ms");
        checked.add("timing.suspect_ms", message);
    }
}
