//! Settings of a node and its intervals and timeouts.

use std::net::SocketAddr;

use smol_str::SmolStr;
use syc_net::IntakeOptions;

use crate::WallClock;

/// Bandwidth, in megabits per second, at which a new scheduler reads its predecessor's state (a few megabytes)
/// before other nodes suspect it to have failed.
const FAST_LINK_MBPS: f64 = 100.0;

/// Descriptors for each worker with which a node can be the scheduler without other nodes' help: with two connections
/// to each, half of them remain.
const FILES_PER_WORKER: u64 = 4;

/// Minimum number of jobs partitions, so that up to this many nodes each have their own. The scheduler reads all of
/// them.
const MIN_JOB_PARTITIONS: u32 = 32;

/// Longest interval between reads of a jobs partition. The scheduler reports unknown jobs as missing only while
/// every partition was read within the last 2.5 seconds.
const JOBS_INTERVAL_MAX_MS: u64 = 1_600;

/// Settings of a node, fixed when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: SmolStr,
    /// Address on which it accepts calls from other nodes.
    pub peer_address: SocketAddr,
    /// Longest lease that workers grant.
    pub lease_limit_ms: u64,
    /// Longest time that a worker needs to stop a run.
    pub stop_limit_ms: u64,
    /// How long the state of an ended job can be queried.
    pub status_ms: u64,
    /// Number of partitions of a store topic.
    pub partitions: u32,
    /// Bandwidth of the node's link in megabits per second.
    pub link_mbps: f64,
    /// Maximum number of open files of the process; 0 if unknown.
    pub files_limit: u64,
    /// Limits of what clients and other nodes make the process hold.
    pub intake: IntakeOptions,
    /// Availability zone of the node; empty if unknown.
    pub zone: SmolStr,
    /// Interval between heartbeats of a worker.
    pub worker_heartbeat_ms: u64,
    /// Duration of the maintenance of a VM.
    pub maintenance_ms: u64,
    /// How long a new scheduler waits before it sends orders to VMs, so that its predecessor's orders have expired.
    pub vm_order_pause_ms: u64,
    /// Source of the wall-clock time.
    pub wall_clock: WallClock,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Intervals and timeouts of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Lease of a run from its latest renewal. It must outlast a change of the scheduler, and be short enough that
    /// the tasks of a failed worker can be restarted within their objective.
    pub lease_ms: u64,
    /// Interval between the scheduler's heartbeats in the store.
    pub heartbeat_interval_ms: u64,
    /// A scheduler without a heartbeat in the store for this long is replaced. This covers four heartbeats and the
    /// slowest answer of a healthy store.
    pub heartbeat_timeout_ms: u64,
    /// Heartbeat timeout of a scheduler that does not answer other nodes either. One heartbeat may still be in
    /// flight.
    pub suspected_heartbeat_timeout_ms: u64,
    /// Upper bound of the jitter that each node adds to its election timeout, so that one claims first.
    pub claim_jitter_ms: u64,
    /// Additional election timeout of a node with a slow link. It is several times what another node needs to claim
    /// the role and have its claim read.
    pub slow_link_claim_delay_ms: u64,
    /// Additional election timeout of a node with few descriptors for the cell's workers.
    pub few_files_claim_delay_ms: u64,
    /// Additional election timeout of a node that the last scheduler named as no candidate.
    pub other_claim_delay_ms: u64,
    /// Upper bound of the jitter of such a node. There may be hundreds, so it is longer than that of candidates.
    pub other_claim_jitter_ms: u64,
    /// Time by which the election timeout of each candidate exceeds that of the one before. It is what a claim needs to
    /// be read by the others.
    pub candidate_spacing_ms: u64,
    /// Additional election timeout of a candidate that has not read the state ahead, so that one that has goes first.
    pub unprepared_claim_delay_ms: u64,
    /// Shortest interval between a node's contacts to the scheduler.
    pub contact_interval_ms: u64,
    /// A contact that is not answered within this time counts as missed.
    pub contact_timeout_ms: u64,
    /// Interval between probes of an unavailable store.
    pub probe_interval_ms: u64,
    /// Timeout of a probe. It is above the slowest answer of a healthy store and below the time that a caller waits.
    pub probe_timeout_ms: u64,
    /// Timeout of a node's query to the scheduler.
    pub peer_timeout_ms: u64,
    /// Timeout of a call to the store. It is above the answer time of a slow store.
    pub store_timeout_ms: u64,
    /// Timeout of a read of a full partition. It is long enough for a slow link.
    pub full_read_timeout_ms: u64,
    /// A takeover repeats the read of a partition after this time without an answer, concurrently with the earlier
    /// read, and increases the interval by half each time. Calls sent during a store outage are never answered, even
    /// after the store has recovered.
    pub full_read_hedge_ms: u64,
    /// Longest time until a submit request is answered. A caller's own shorter timeout takes precedence.
    pub submit_timeout_ms: u64,
    /// Interval between reads of the jobs topic, over all partitions. Nodes notify the scheduler of stored jobs at
    /// once, so reads only find jobs whose notice was lost, and each read has a cost.
    pub jobs_read_spacing_ms: u64,
    /// Shortest interval between appends of progress, so that one append covers several ended runs.
    pub progress_spacing_ms: u64,
    /// Interval between reads of the workers topic. A draining worker must get no new work after two seconds, and
    /// most records are only heartbeats.
    pub workers_interval_ms: u64,
    /// How long a worker waits for a run to end before it answers a renewal.
    pub renewal_wait_ms: u64,
    /// Additional time within which a healthy worker answers a renewal.
    pub renewal_slack_ms: u64,
    /// Timeout after which an unanswered start or stop order is sent again.
    pub order_timeout_ms: u64,
    /// Interval at which changes that only depend on time are checked.
    pub tick_interval_ms: u64,
    /// Time after which a refused caller is asked to retry.
    pub retry_after_ms: u64,
    /// How long a planned stop waits for the load balancer to notice it.
    pub stop_notice_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            heartbeat_interval_ms: 250,
            heartbeat_timeout_ms: 1_200,
            suspected_heartbeat_timeout_ms: 550,
            claim_jitter_ms: 90,
            slow_link_claim_delay_ms: 500,
            few_files_claim_delay_ms: 500,
            other_claim_delay_ms: 500,
            other_claim_jitter_ms: 1_000,
            candidate_spacing_ms: 10,
            unprepared_claim_delay_ms: 50,
            contact_interval_ms: 150,
            contact_timeout_ms: 200,
            probe_interval_ms: 100,
            probe_timeout_ms: 400,
            peer_timeout_ms: 400,
            store_timeout_ms: 700,
            full_read_timeout_ms: 2_800,
            full_read_hedge_ms: 400,
            submit_timeout_ms: 2_500,
            jobs_read_spacing_ms: 50,
            progress_spacing_ms: 12,
            workers_interval_ms: 250,
            renewal_wait_ms: 1_000,
            renewal_slack_ms: 400,
            order_timeout_ms: 300,
            tick_interval_ms: 100,
            retry_after_ms: 1_000,
            stop_notice_ms: 2_500,
        }
    }
}

impl NodeSettings {
    /// Returns the lease of a run, limited to what workers grant.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        self.timing.lease_ms.min(self.lease_limit_ms)
    }

    /// Returns the delay that lets nodes with faster links claim first.
    ///
    /// A new scheduler reads the state of its predecessor. Over a slow link, other nodes can't reach it in the meantime
    /// and would suspect it to have failed.
    #[must_use]
    pub fn claim_delay_ms(&self) -> u64 {
        if self.has_fast_link() {
            0
        } else {
            self.timing.slow_link_claim_delay_ms
        }
    }

    /// Returns whether the node's link is fast enough to read the state of a predecessor without delay.
    #[must_use]
    pub fn has_fast_link(&self) -> bool {
        self.link_mbps >= FAST_LINK_MBPS
    }

    /// Returns the delay that lets nodes with more descriptors claim first, in a cell with this many workers.
    ///
    /// A new scheduler calls the workers itself until it has heard of nodes that can relay its calls.
    #[must_use]
    pub const fn files_claim_delay_ms(&self, workers: u64) -> u64 {
        if self.files_limit > 0 && self.files_limit < workers.saturating_mul(FILES_PER_WORKER) {
            self.timing.few_files_claim_delay_ms
        } else {
            0
        }
    }

    /// Returns the number of partitions over which nodes distribute the jobs that they store.
    ///
    /// A partition handles one append at a time. With one partition for each of a few dozen nodes, a submit waits
    /// for one append instead of a queue of them, which a slow store could not complete within the timeout.
    #[must_use]
    pub fn job_partitions(&self) -> u32 {
        let topics = MIN_JOB_PARTITIONS.div_ceil(self.partitions.max(1));
        topics * self.partitions.max(1)
    }

    /// Returns the interval between reads of one jobs partition. It grows with the number of partitions, so that the
    /// total cost of reads stays the same.
    #[must_use]
    pub fn jobs_interval_ms(&self) -> u64 {
        let all_ms = self.timing.jobs_read_spacing_ms * u64::from(self.job_partitions());
        all_ms.min(JOBS_INTERVAL_MAX_MS)
    }
}
