//! Percentiles of request latency over a sliding window.

use std::time::Duration;

/// Buckets per doubling of latency; the relative error of a percentile is at most an eighth.
const SUB_BUCKETS: u64 = 8;

/// Buckets of the histogram; the last one holds all latencies above 2^32 microseconds.
const BUCKETS: usize = 240;

/// Latency histograms of the last two half windows.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    current: Box<[u32; BUCKETS]>,
    previous: Box<[u32; BUCKETS]>,
    /// End of the current half window.
    rotates_at: Duration,
}

impl Window {
    /// Creates an empty window of the given length.
    #[must_use]
    pub fn open(length: Duration, now: Duration) -> Self {
        Self { length, current: Box::new([0; BUCKETS]), previous: Box::new([0; BUCKETS]), rotates_at: now + length / 2 }
    }

    /// Records the latency of one request.
    pub fn record(&mut self, latency: Duration, now: Duration) {
        self.rotate(now);
        let count = &mut self.current[bucket_of(latency)];
        *count = count.saturating_add(1);
    }

    /// Discards all recorded latencies.
    pub fn clear(&mut self, now: Duration) {
        self.current.fill(0);
        self.previous.fill(0);
        self.rotates_at = now + self.length / 2;
    }

    /// Returns the number of requests in the window.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.current.iter().chain(self.previous.iter()).map(|count| u64::from(*count)).sum()
    }

    /// Returns an upper bound of the given percentile, if there are any requests.
    #[must_use]
    pub fn percentile_permille(&self, permille: u64) -> Option<Duration> {
        let rank = (self.count() * permille).div_ceil(1000).max(1);
        let mut seen = 0;
        for (bucket, (current, previous)) in self.current.iter().zip(self.previous.iter()).enumerate() {
            seen += u64::from(*current) + u64::from(*previous);
            if seen >= rank {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    /// Returns the number of requests that took longer; accurate to an eighth of the latency.
    #[must_use]
    pub fn count_above(&self, latency: Duration) -> u64 {
        let first_above = bucket_of(latency) + 1;
        self.current[first_above..].iter().chain(&self.previous[first_above..]).map(|count| u64::from(*count)).sum()
    }

    /// Advances to the half window that contains `now`.
    pub fn rotate(&mut self, now: Duration) {
        if now >= self.rotates_at + self.length / 2 {
            self.clear(now);
        } else if now >= self.rotates_at {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.fill(0);
            self.rotates_at += self.length / 2;
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
    if micros < SUB_BUCKETS {
        return usize::try_from(micros).unwrap_or(0);
    }
    let octave = u64::from(micros.ilog2()) - u64::from(SUB_BUCKETS.ilog2());
    let sub_bucket = (micros >> octave) - SUB_BUCKETS;
    usize::try_from((octave + 1) * SUB_BUCKETS + sub_bucket).unwrap_or(usize::MAX).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let bucket = bucket as u64;
    if bucket < SUB_BUCKETS {
        return Duration::from_micros(bucket);
    }
    let octave = bucket / SUB_BUCKETS - 1;
    Duration::from_micros(((bucket % SUB_BUCKETS + SUB_BUCKETS + 1) << octave) - 1)
}
