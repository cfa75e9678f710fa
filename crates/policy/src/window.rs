//! Percentiles of request latency over a sliding window.

use std::time::Duration;

/// Sub-buckets of each doubling of latency; the error of a percentile is at most an eighth.
const SUB_BUCKETS: u64 = 8;

/// Buckets of the histogram; the last one takes everything above 2^32 microseconds.
const BUCKETS: usize = 240;

/// Latencies of the last two half windows.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    current: Box<[u32; BUCKETS]>,
    previous: Box<[u32; BUCKETS]>,
    /// End of the current half window.
    turns_at: Duration,
}

impl Window {
    /// Opens an empty window of the given length.
    #[must_use]
    pub fn open(length: Duration, now: Duration) -> Self {
        Self { length, current: Box::new([0; BUCKETS]), previous: Box::new([0; BUCKETS]), turns_at: now + length / 2 }
    }

    /// Notes the latency of one request.
    pub fn record(&mut self, latency: Duration, now: Duration) {
        self.turn(now);
        let count = &mut self.current[bucket_of(latency)];
        *count = count.saturating_add(1);
    }

    /// Forgets everything.
    pub fn clear(&mut self, now: Duration) {
        self.current.fill(0);
        self.previous.fill(0);
        self.turns_at = now + self.length / 2;
    }

    /// Number of requests in the window.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.current.iter().chain(self.previous.iter()).map(|count| u64::from(*count)).sum()
    }

    /// Latency that the given part of requests doesn't exceed, if there are any requests.
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

    /// Number of requests that took longer, give or take an eighth of the latency.
    #[must_use]
    pub fn count_above(&self, latency: Duration) -> u64 {
        let above = bucket_of(latency) + 1;
        self.current[above..].iter().chain(&self.previous[above..]).map(|count| u64::from(*count)).sum()
    }

    /// Moves on to the half window that `now` lies in.
    pub fn turn(&mut self, now: Duration) {
        if now >= self.turns_at + self.length / 2 {
            self.clear(now);
        } else if now >= self.turns_at {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.fill(0);
            self.turns_at += self.length / 2;
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
