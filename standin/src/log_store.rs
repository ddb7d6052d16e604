//! State of the log service: streams, retention, rate limit and faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cowslipport_lib::time::TimeMs;

/// Bytes of records that one page holds, unless a single record is larger.
/// gRPC clients refuse messages above 4 MiB by default.
const PAGE_BYTES: usize = 1024 * 1024;

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Records that a stream keeps at most.
    pub retained_records: usize,
    /// Time for which a stream keeps a record.
    pub retained_ms: u64,
    /// Appends per second that the service sustains; also the largest burst.
    pub appends_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        // Two hours is above the hour that cowslipport requires.
        Self { retained_records: 200_000, retained_ms: 7_200_000, appends_per_second: 400 }
    }
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Every call fails.
    pub down: bool,
    /// Time by which every call takes effect later.
    pub delay_ms: u64,
    /// Number of following appends whose reply is lost after the write.
    pub lost_replies: u32,
    /// True if a lost reply is a call that never ends, false if it is a
    /// failed call that looks like one that was not written.
    pub lost_replies_hang: bool,
    /// Share of calls that fail without effect, in thousandths.
    pub rejected_permille: u32,
}

/// Why a call has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The service is down.
    #[error("the log is down")]
    Down,
    /// The call was chosen by the share of rejected calls.
    #[error("the call was rejected")]
    Rejected,
    /// The append exceeds the rate that the service sustains.
    #[error("the append rate is exceeded")]
    RateLimited,
}

/// An append that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
    /// True if the writer does not learn of it.
    pub reply_lost: bool,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// First offset that is still kept.
    pub first_offset: u64,
    /// Offset that the next append gets.
    pub next_offset: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// What the service has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Written appends.
    pub appends: u64,
    /// Bytes of written records.
    pub appended_bytes: u64,
    /// Appends refused by the rate limit.
    pub rate_limited: u64,
    /// Calls rejected by the share of rejected calls.
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
    /// Appends that the rate limit allows at once, in thousandths.
    allowance_milli: u64,
    allowance_at: TimeMs,
    rng: ChaCha8Rng,
    stats: LogStats,
}

impl LogStore {
    /// An empty store. `seed` decides which calls are rejected.
    pub fn new(limits: LogLimits, seed: u64) -> Self {
        Self {
            limits,
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            allowance_milli: u64::from(limits.appends_per_second) * 1000,
            allowance_at: TimeMs::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            stats: LogStats::default(),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: LogFaults) {
        self.faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> LogFaults {
        self.faults
    }

    /// What the service has done so far.
    pub fn stats(&self) -> LogStats {
        self.stats
    }

    /// Writes a record at the end of a stream.
    pub fn append(
        &mut self,
        now: TimeMs,
        stream: &str,
        record: Vec<u8>,
    ) -> Result<Appended, LogError> {
        self.admit()?;
        self.take_allowance(now)?;
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

    /// Reads at most `max_records` from `from_offset` on, or from the first
    /// kept record if that is later.
    pub fn read(
        &mut self,
        now: TimeMs,
        stream: &str,
        from_offset: u64,
        max_records: u32,
    ) -> Result<ReadPage, LogError> {
        self.admit()?;
        Ok(self.read_admitted(now, stream, from_offset, max_records))
    }

    /// As [`LogStore::read`] for a call that was admitted and has waited.
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

    fn admit(&mut self) -> Result<(), LogError> {
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

    fn take_allowance(&mut self, now: TimeMs) -> Result<(), LogError> {
        let rate = u64::from(self.limits.appends_per_second);
        let earned = now.since(self.allowance_at).saturating_mul(rate);
        self.allowance_at = now;
        self.allowance_milli = self.allowance_milli.saturating_add(earned).min(rate * 1000);
        if self.allowance_milli < 1000 {
            self.stats.rate_limited += 1;
            return Err(LogError::RateLimited);
        }
        self.allowance_milli -= 1000;
        Ok(())
    }
}
