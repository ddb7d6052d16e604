//! State of the log service: streams, retention, rate limit and injected
//! faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cowslipport_lib::time::TimeMs;

/// Maximum size of the records in one page; a single larger record is a page of
/// its own. gRPC clients reject messages above 4 MiB by default.
const PAGE_BYTES: usize = 1024 * 1024;

/// Limits of the log service.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Maximum number of records that a stream retains.
    pub retained_records: usize,
    /// Time for which a stream retains a record.
    pub retained_ms: u64,
    /// Sustained rate of appends; also the size of the largest burst.
    pub appends_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        // cowslipport requires a retention of at least one hour; this is two.
        Self { retained_records: 200_000, retained_ms: 7_200_000, appends_per_second: 400 }
    }
}

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Every call fails.
    pub down: bool,
    /// Time by which every call is delayed before it takes effect.
    pub delay_ms: u64,
    /// Number of next appends that are written but whose reply is lost.
    pub lost_replies: u32,
    /// How a lost reply appears to the writer: if true, the call never returns;
    /// if false, it fails as if the record had not been written.
    pub lost_replies_hang: bool,
    /// Share of calls, in thousandths, that are rejected without effect.
    pub rejected_permille: u32,
}

/// Why a call failed without effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The service is down.
    #[error("the log is down")]
    Down,
    /// The call is one of the share that is rejected at random.
    #[error("the call was rejected")]
    Rejected,
    /// The append exceeds the rate limit.
    #[error("the append rate is exceeded")]
    RateLimited,
}

/// Result of an append that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
    /// True if the reply to the writer is to be lost.
    pub reply_lost: bool,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// Offset of the oldest retained record.
    pub first_offset: u64,
    /// Offset of the next record to be appended.
    pub next_offset: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Counters of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Appends that were written.
    pub appends: u64,
    /// Bytes of written records.
    pub appended_bytes: u64,
    /// Appends rejected by the rate limit.
    pub rate_limited: u64,
    /// Calls rejected at random.
    pub rejected: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(TimeMs, Vec<u8>)>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn trim(&mut self, now: TimeMs, limits: &LogLimits) {
        while let Some((written_at, _)) = self.records.front() {
            let expired = now.since(*written_at) >= limits.retained_ms;
            if !expired && self.records.len() <= limits.retained_records {
                break;
            }
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

/// All streams of the service.
#[derive(Debug)]
pub struct LogStore {
    limits: LogLimits,
    faults: LogFaults,
    streams: BTreeMap<String, Stream>,
    /// Token bucket of the rate limit, in thousandths of an append.
    rate_tokens_milli: u64,
    refilled_at: TimeMs,
    rng: ChaCha8Rng,
    stats: LogStats,
}

impl LogStore {
    /// Creates an empty store. `seed` determines which calls are rejected at
    /// random.
    pub fn new(limits: LogLimits, seed: u64) -> Self {
        Self {
            limits,
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            rate_tokens_milli: u64::from(limits.appends_per_second) * 1000,
            refilled_at: TimeMs::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            stats: LogStats::default(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: LogFaults) {
        self.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> LogFaults {
        self.faults
    }

    /// Returns the counters of the service.
    pub fn stats(&self) -> LogStats {
        self.stats
    }

    /// Appends a record to a stream.
    pub fn append(
        &mut self,
        now: TimeMs,
        stream: &str,
        record: Vec<u8>,
    ) -> Result<Appended, LogError> {
        self.check_faults()?;
        self.take_rate_token(now)?;
        self.stats.appends += 1;
        self.stats.appended_bytes += record.len() as u64;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back((now, record));
        stream.trim(now, &self.limits);
        let reply_lost = self.faults.lost_replies > 0;
        self.faults.lost_replies = self.faults.lost_replies.saturating_sub(1);
        Ok(Appended { offset, reply_lost })
    }

    /// Reads at most `max_records` records from `from_offset` on, or from the
    /// oldest retained record if that is later.
    pub fn read(
        &mut self,
        now: TimeMs,
        stream: &str,
        from_offset: u64,
        max_records: u32,
    ) -> Result<ReadPage, LogError> {
        self.check_faults()?;
        Ok(self.read_admitted(now, stream, from_offset, max_records))
    }

    /// Reads as [`LogStore::read`] does, but without injected faults: for a
    /// long poll that was admitted earlier.
    pub fn read_admitted(
        &mut self,
        now: TimeMs,
        stream: &str,
        from_offset: u64,
        max_records: u32,
    ) -> ReadPage {
        let Some(stream) = self.streams.get_mut(stream) else { return ReadPage::default() };
        stream.trim(now, &self.limits);
        let first = from_offset.max(stream.first_offset);
        let skipped = usize::try_from(first - stream.first_offset).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut records = Vec::new();
        let kept = stream.records.iter().skip(skipped).take(max_records as usize);
        for (offset, (_, record)) in (first..).zip(kept) {
            bytes += record.len();
            if bytes > PAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push((offset, record.clone()));
        }
        ReadPage { first_offset: stream.first_offset, next_offset: stream.next_offset(), records }
    }

    fn check_faults(&mut self) -> Result<(), LogError> {
        if self.faults.down {
            return Err(LogError::Down);
        }
        let share = self.faults.rejected_permille;
        if share > 0 && self.rng.random_range(0..1000) < share {
            self.stats.rejected += 1;
            return Err(LogError::Rejected);
        }
        Ok(())
    }

    fn take_rate_token(&mut self, now: TimeMs) -> Result<(), LogError> {
        let rate = u64::from(self.limits.appends_per_second);
        let refill = now.since(self.refilled_at).saturating_mul(rate);
        self.refilled_at = now;
        self.rate_tokens_milli = self.rate_tokens_milli.saturating_add(refill).min(rate * 1000);
        if self.rate_tokens_milli < 1000 {
            self.stats.rate_limited += 1;
            return Err(LogError::RateLimited);
        }
        self.rate_tokens_milli -= 1000;
        Ok(())
    }
}
