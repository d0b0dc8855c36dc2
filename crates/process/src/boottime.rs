//! Monotonic clock that includes the time for which the VM is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the time since the VM was booted, including suspensions.
///
/// `CLOCK_MONOTONIC` stops during a suspension, so the age of data measured with it would be too low.
pub fn now() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // The call fails only for an unknown clock; `CLOCK_BOOTTIME` exists since Linux 2.6.39.
    read.map_or(Duration::ZERO, Duration::from)
}
