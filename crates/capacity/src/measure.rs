//! Memory and processor time of this process.

use std::{hint, thread, time};

use procfs::process;

/// Counts the bytes that are allocated; the binary installs it as the global allocator. The
/// counts are requested bytes, without the allocator's rounding.
pub const ALLOCATOR: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;
/// Repetitions of a timing, of which the median counts.
const REPETITIONS: usize = 5;

/// Result of a build with the bytes that it holds.
pub struct Held<T> {
    pub value: T,
    pub bytes: f64,
    /// Bytes allocated at most while it was built, beyond those before.
    pub peak: f64,
}

/// Builds a value and counts the bytes that stay allocated.
pub fn held<T>(build: impl FnOnce() -> T) -> Held<T> {
    let before = ALLOCATOR.current_usage();
    ALLOCATOR.reset_peak_usage();
    let value = build();
    let after = ALLOCATOR.current_usage();
    let peak = ALLOCATOR.peak_usage();
    Held {
        value,
        bytes: float(after.saturating_sub(before)),
        peak: float(peak.saturating_sub(before)),
    }
}

/// Median time of one of `count` calls, in nanoseconds. `prepare` is not timed.
pub fn nanoseconds<S>(
    count: usize,
    mut prepare: impl FnMut() -> S,
    mut run: impl FnMut(&mut S, usize),
) -> f64 {
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let mut state = prepare();
            let start = time::Instant::now();
            for index in 0..count {
                run(hint::black_box(&mut state), index);
            }
            start.elapsed().as_secs_f64() * 1e9 / float(count.max(1))
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPETITIONS / 2]
}

/// Processor time in seconds of the threads of this process whose names start with `prefix`, from
/// `/proc/self/task`; threads that have ended do not count.
#[must_use]
pub fn thread_seconds(prefix: &str) -> f64 {
    process::Process::myself().map_or(0.0, |own| task_seconds(&own, prefix))
}

fn task_seconds(process: &process::Process, prefix: &str) -> f64 {
    let Ok(tasks) = process.tasks() else {
        return 0.0;
    };
    let named = tasks
        .flatten()
        .filter(|task| task.stat().is_ok_and(|stat| stat.comm.starts_with(prefix)));
    named
        .filter_map(|task| task.schedstat().ok())
        .map(|stat| time::Duration::from_nanos(stat.sum_exec_runtime).as_secs_f64())
        .sum()
}

/// Use of a running process over a period.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUse {
    /// Share of a core.
    pub core: f64,
    /// Resident bytes at the end.
    pub resident: f64,
    /// Largest resident bytes since its start.
    pub largest: f64,
}

/// Watches another process for a period.
///
/// # Errors
/// The error of `/proc` when the process does not exist or ends.
pub fn watch(pid: i32, period: time::Duration) -> procfs::ProcResult<ProcessUse> {
    let process = process::Process::new(pid)?;
    let before = task_seconds(&process, "");
    let start = time::Instant::now();
    thread::sleep(period);
    let used = task_seconds(&process, "") - before;
    let status = process.status()?;
    let bytes = |kibibytes: Option<u64>| float64(kibibytes.unwrap_or(0)) * 1024.0;
    Ok(ProcessUse {
        core: used / start.elapsed().as_secs_f64(),
        resident: bytes(status.vmrss),
        largest: bytes(status.vmhwm),
    })
}

/// Resident memory of this process in bytes.
#[must_use]
pub fn resident_bytes() -> f64 {
    let statm = process::Process::myself().and_then(|own| own.statm());
    statm.map_or(0.0, |statm| {
        float64(statm.resident) * float64(procfs::page_size())
    })
}

/// Count as a floating-point number; counts here are far below 2^53.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
pub fn float(count: usize) -> f64 {
    count as f64
}

/// As [`float`] for 64-bit counts.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
pub fn float64(count: u64) -> f64 {
    count as f64
}
