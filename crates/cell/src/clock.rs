//! The clocks of a node: the steady one, and the time of day.

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

/// Returns the time on the clock that also counts while the VM is suspended, so that a lease that
/// lapsed meanwhile is seen as lapsed.
#[must_use]
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    Millis(seconds.saturating_mul(1_000).saturating_add(millis))
}

/// Where a node reads the time of day. It may jump; tests make it.
#[derive(Debug, Clone, Default)]
pub struct WallClock {
    offset_ms: Arc<AtomicI64>,
}

impl WallClock {
    /// Returns the time of day.
    #[must_use]
    pub fn read(&self) -> TimeOfDay {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let read_ms = since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        TimeOfDay(read_ms.saturating_add_signed(self.offset_ms.load(Ordering::Relaxed)))
    }

    /// Sets how far it is off from the clock of the VM.
    pub fn set_offset_ms(&self, offset_ms: i64) {
        self.offset_ms.store(offset_ms, Ordering::Relaxed);
    }
}

/// Clocks that are off by as much are the same for a node.
impl PartialEq for WallClock {
    fn eq(&self, other: &Self) -> bool {
        let offset_ms = |clock: &Self| clock.offset_ms.load(Ordering::Relaxed);
        offset_ms(self) == offset_ms(other)
    }
}

/// Waits for a time.
pub async fn pause(time_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(time_ms)).await;
}
