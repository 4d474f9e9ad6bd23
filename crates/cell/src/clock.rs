//! Clocks of a node: the monotonic clock and the wall clock.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use syc_types::Millis;
use syc_types::TimeOfDay;

/// Returns the monotonic time. This clock also advances while the VM is suspended, so a lease that expired during a
/// suspension is seen as expired.
#[must_use]
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    Millis(seconds.saturating_mul(1_000).saturating_add(millis))
}

/// Wall clock of a node. It may jump; tests set an offset to simulate this.
#[derive(Debug, Clone, Default)]
pub struct WallClock {
    offset_ms: Arc<AtomicI64>,
}

impl WallClock {
    /// Reads the wall clock, including the offset.
    #[must_use]
    pub fn read(&self) -> TimeOfDay {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let read_ms = since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        TimeOfDay(read_ms.saturating_add_signed(self.offset_ms.load(Ordering::Relaxed)))
    }

    /// Sets the offset from the VM's clock.
    pub fn set_offset_ms(&self, offset_ms: i64) {
        self.offset_ms.store(offset_ms, Ordering::Relaxed);
    }
}

/// Compares the offsets, so that settings with equal clocks are equal.
impl PartialEq for WallClock {
    fn eq(&self, other: &Self) -> bool {
        let offset_ms = |clock: &Self| clock.offset_ms.load(Ordering::Relaxed);
        offset_ms(self) == offset_ms(other)
    }
}

/// Waits for `time_ms` milliseconds.
pub async fn pause(time_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(time_ms)).await;
}
