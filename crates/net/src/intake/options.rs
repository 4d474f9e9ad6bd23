//! Limits of an [`Intake`](super::Intake), and how they follow from those of the process.

/// Part of the process's memory, as a divisor, that callers' connections may take beside what they hold of the pool.
const CONNECTIONS_DIVISOR: usize = 4;

/// Part of the process's memory, as a divisor, that the pool takes. More than half is left for the process's own work.
const POOL_DIVISOR: usize = 6;

/// Memory that an open connection takes beside what it holds of the pool: its buffers, its task, what the kernel
/// keeps for it, and a small request.
const CONNECTION_BYTES: usize = 48 * 1024;

/// Descriptors that are no sockets.
const RESERVED_FILES: usize = 200;

/// Share of the other descriptors, in percent, that connections to the process may take. Those that the process opens
/// to workers, nodes and the store take the rest.
const INBOUND_PERCENT: usize = 45;

/// Share of the connections, in percent, that other nodes may take. Each of them keeps one to the scheduler's node.
const LINKS_PERCENT: usize = 70;

/// Fewest connections that the limits allow, however small the process.
const MIN_CONNECTIONS: usize = 32;

/// Part of a limit of connections, as a divisor, by which rejected connections may exceed it.
const REJECTED_DIVISOR: usize = 4;

/// Most connections by which a limit is exceeded.
const MAX_REJECTED: usize = 64;

/// Bytes per megabyte.
const MEGABYTE: usize = 1_000_000;

/// Limits of an [`Intake`](super::Intake).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeOptions {
    /// Bytes that all connections together may hold beyond what each may hold anyway.
    pub pool_bytes: usize,
    /// Open connections at all listeners together.
    pub max_connections: usize,
    /// Those of callers among them.
    pub max_callers: usize,
    /// Links of other nodes among them.
    pub max_links: usize,
    /// Time that a request may take from its first byte to its last.
    pub receive_timeout_ms: u64,
    /// Time for which a client may read nothing of its response.
    pub write_timeout_ms: u64,
    /// Time without progress after which a connection makes place for a new one.
    pub stall_ms: u64,
}

impl Default for IntakeOptions {
    fn default() -> Self {
        Self {
            pool_bytes: 64 * MEGABYTE,
            max_connections: 8_192,
            max_callers: 8_192,
            max_links: 4_096,
            receive_timeout_ms: 15_000,
            write_timeout_ms: 15_000,
            stall_ms: 1_000,
        }
    }
}

impl IntakeOptions {
    /// Returns the limits of a process with this much memory and this many descriptors.
    #[must_use]
    pub fn for_process(memory_mb: usize, files: usize) -> Self {
        let memory_bytes = memory_mb.saturating_mul(MEGABYTE);
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let sockets = files.saturating_sub(RESERVED_FILES);
        let by_files = sockets.saturating_mul(INBOUND_PERCENT) / 100;
        let max_connections = by_files.max(MIN_CONNECTIONS);
        Self {
            pool_bytes: memory_bytes / POOL_DIVISOR,
            max_connections,
            max_callers: by_memory.clamp(MIN_CONNECTIONS, max_connections),
            max_links: max_connections.saturating_mul(LINKS_PERCENT) / 100,
            ..Self::default()
        }
    }

    /// Returns by how many connections, which are answered that they are too many, a limit may be exceeded.
    pub(crate) fn rejected_connections(max_connections: usize) -> usize {
        (max_connections / REJECTED_DIVISOR).clamp(1, MAX_REJECTED)
    }
}
