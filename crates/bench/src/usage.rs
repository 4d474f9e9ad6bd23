//! What a process used, as the system tells it.

use std::path::Path;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads so far, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory now, in bytes.
    pub memory_bytes: u64,
}

/// Reads the usage of a process; one that is gone used nothing.
#[must_use]
pub fn of_process(pid: u32) -> Usage {
    Usage {
        cpu_ns: cpu_ns(pid),
        memory_bytes: memory_bytes(pid),
    }
}

fn cpu_ns(pid: u32) -> u64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else {
        return 0;
    };
    let mut sum = 0;
    for thread in threads.flatten() {
        sum += first_number(&thread.path().join("schedstat"));
    }
    sum
}

fn first_number(path: &Path) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let word = text.split_whitespace().next().unwrap_or_default();
    word.parse().unwrap_or(0)
}

fn memory_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    kibibytes
        .and_then(|word| word.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}

/// Returns the bytes that crossed the loopback interface so far, headers included.
#[must_use]
pub fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    received.and_then(|word| word.parse().ok()).unwrap_or(0)
}
