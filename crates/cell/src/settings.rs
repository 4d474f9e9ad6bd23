//! What a node is told at its start, and the times that it works by.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::WallClock;

/// A link that carries this much, in megabits a second, brings a scheduler what it reads at its start,
/// some megabytes, within the time that others wait for a sign of it.
const FAST_LINK_MBPS: f64 = 100.0;

/// Partitions of jobs, at least: one for each of so many nodes. A scheduler reads them all.
const MIN_JOB_PARTITIONS: u32 = 32;

/// Each partition of jobs is read at least this often: a state is told only while each was read in the
/// last two and a half seconds.
const JOBS_INTERVAL_MAX_MS: u64 = 1_600;

/// What a node is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Its name.
    pub name: SmolStr,
    /// Where it takes calls of other nodes.
    pub peer_address: SocketAddr,
    /// Longest lease that workers grant.
    pub lease_limit_ms: u64,
    /// Time that a stop takes at most on a worker.
    pub stop_limit_ms: u64,
    /// Time for which a job's state can be asked after it has ended.
    pub status_ms: u64,
    /// Partitions that a topic of the store has.
    pub partitions: u32,
    /// What its link carries, in megabits a second.
    pub link_mbps: f64,
    /// Time from one heartbeat of a worker to the next.
    pub worker_heartbeat_ms: u64,
    /// Time that the upkeep of a VM takes.
    pub upkeep_ms: u64,
    /// A new scheduler gives no orders about VMs for this long: those of its predecessor are old then.
    pub vm_order_pause_ms: u64,
    /// Where it reads the time of day.
    pub wall_clock: WallClock,
    /// Times that it works by.
    pub timing: Timing,
}

/// Times that a node works by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Lease of a run from its latest renewal: long enough to outlast a change of the scheduler,
    /// short enough that work of a dead worker is not late for its objective.
    pub lease_ms: u64,
    /// The scheduler tells the store this often that it is there.
    pub heartbeat_interval_ms: u64,
    /// A scheduler that has not told the store for this long is replaced; four heartbeats and the
    /// store's slowest sound answer.
    pub heartbeat_timeout_ms: u64,
    /// The same where it does not answer other nodes either: one heartbeat may still be under way.
    pub suspected_heartbeat_timeout_ms: u64,
    /// Nodes that see the same wait up to this long, each another time, so that one claims first.
    pub claim_jitter_ms: u64,
    /// A node with a thin link waits this much longer before it claims: several times what others
    /// need to claim and be seen.
    pub slow_link_claim_delay_ms: u64,
    /// Nodes call the scheduler this often.
    pub contact_interval_ms: u64,
    /// A scheduler that does not answer such a call within this time is missed once.
    pub contact_timeout_ms: u64,
    /// While the store does not answer, it is asked this often whether it does again.
    pub probe_interval_ms: u64,
    /// Such a question is given up after this time: above the slowest sound answer, below the time
    /// that a caller waits.
    pub probe_timeout_ms: u64,
    /// Time that the scheduler has for an answer to another node.
    pub peer_timeout_ms: u64,
    /// A call to the store without an answer is given up after this time: above the answers of a slow
    /// store.
    pub store_timeout_ms: u64,
    /// A read of a whole partition is given up after this time: enough for a thin link.
    pub full_read_timeout_ms: u64,
    /// A takeover reads a partition once more, beside the read under way, after this time without an
    /// answer, and again after half as long again each time: what is sent to a store that is silent is
    /// never answered, though the store is back.
    pub full_read_hedge_ms: u64,
    /// Whoever submits something is answered by this time, or sooner where it waits less.
    pub submit_timeout_ms: u64,
    /// Reads that look for jobs in the store are this far apart, all partitions together. Nodes tell of
    /// what they stored at once, so that this finds only what they could not tell; each read is paid for.
    pub jobs_read_spacing_ms: u64,
    /// Appends of progress are at least this far apart, so that more ends share one.
    pub progress_spacing_ms: u64,
    /// The list of workers is read this often: a worker that drains may get nothing new after two
    /// seconds, and most records only say that a worker is still there.
    pub workers_interval_ms: u64,
    /// A worker waits this long for an end before it answers a renewal.
    pub renewal_wait_ms: u64,
    /// Time beyond that wait within which a sound worker answers.
    pub renewal_slack_ms: u64,
    /// A start or stop order without an answer is sent again after this time.
    pub order_timeout_ms: u64,
    /// What time alone changes is looked at this often.
    pub tick_interval_ms: u64,
    /// A refused caller is told to come back after this time.
    pub retry_after_ms: u64,
    /// A planned stop waits this long for the balancer to notice.
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
    /// Returns the lease that is set, which is within what workers grant.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        self.timing.lease_ms.min(self.lease_limit_ms)
    }

    /// Returns the time that the node leaves others to claim first.
    ///
    /// A scheduler reads all that its predecessor left. Over a thin link it cannot be reached meanwhile,
    /// and would be taken to be gone.
    #[must_use]
    pub fn claim_delay_ms(&self) -> u64 {
        if self.link_mbps < FAST_LINK_MBPS {
            self.timing.slow_link_claim_delay_ms
        } else {
            0
        }
    }

    /// Returns the number of partitions over which nodes spread the jobs that they store.
    ///
    /// A partition takes one append at a time; with one for each of some dozens of nodes, a submit waits
    /// for one append, not for a queue of them, which a slow store would not get done within its timeout.
    #[must_use]
    pub fn job_partitions(&self) -> u32 {
        let topics = MIN_JOB_PARTITIONS.div_ceil(self.partitions.max(1));
        topics * self.partitions.max(1)
    }

    /// Returns how often each partition of jobs is read: the more there are, the less often each, so
    /// that the reads of all cost the same.
    #[must_use]
    pub fn jobs_interval_ms(&self) -> u64 {
        let all_ms = self.timing.jobs_read_spacing_ms * u64::from(self.job_partitions());
        all_ms.min(JOBS_INTERVAL_MAX_MS)
    }
}
