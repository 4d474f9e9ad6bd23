//! The steady clock of a node.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use syc_types::Millis;

/// Returns the time on the clock that also counts while the VM is suspended, so that a lease that
/// lapsed meanwhile is seen as lapsed.
#[must_use]
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    Millis(seconds.saturating_mul(1_000).saturating_add(millis))
}

/// Returns the time of day in milliseconds since 1970; it may jump.
#[must_use]
pub fn time_of_day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}

/// Waits for a time.
pub async fn pause(time_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(time_ms)).await;
}
