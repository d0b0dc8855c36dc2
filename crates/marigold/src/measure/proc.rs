//! CPU time and memory of a process, from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system CPU time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage of a process.
///
/// # Errors
/// Returns an error if there is no such process.
pub fn usage(pid: u32) -> anyhow::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name in parentheses may contain spaces.
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: u64 =
        resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
    Ok(Usage {
        cpu: Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_S),
        resident_bytes: kib * 1024,
    })
}
