//! Record of the learned demand of pools, for a successor of the owner.

use prost::Message;

use crate::findings::Findings;
use crate::protos::workload as raw;
use crate::wire::control::decode_error;

/// What an owner has learned of the demand of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandRecord {
    /// Time of day at which the record was made, in milliseconds since 1970.
    pub recorded_unix_ms: u64,
    /// The queues, each with the names of its pool and of itself.
    pub queues: Vec<(String, String, QueueDemandRecord)>,
}

/// What an owner has learned of the demand of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueDemandRecord {
    /// Mean work of a job in core-microseconds.
    pub work_core_us: u64,
    /// Mean time for which the work of a job stays in the pool.
    pub residence_ms: u64,
    /// Turns of the demand.
    pub turns: TurnsRecord,
}

/// What an owner has learned of the turns of the demand of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TurnsRecord {
    /// Rate in a turn, in thousandths of a job a second; zero before the first.
    pub level_milli: u64,
    /// Rate between turns, in thousandths of a job a second.
    pub low_milli: u64,
    /// Length of a turn.
    pub length_ms: u64,
    /// Time from the beginning of one turn to that of the next; zero if they are
    /// not regular.
    pub period_ms: u64,
    /// Times from the beginnings of the last turns to the record, newest first.
    pub ages_ms: Vec<u64>,
}

impl DemandRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let queues = self.queues.iter().map(|(pool, queue, demand)| raw::QueueDemand {
            pool: pool.clone(),
            queue: queue.clone(),
            work_core_us: demand.work_core_us,
            residence_ms: demand.residence_ms,
            turn_level_milli: demand.turns.level_milli,
            turn_low_milli: demand.turns.low_milli,
            turn_length_ms: demand.turns.length_ms,
            turn_period_ms: demand.turns.period_ms,
            turn_ages_ms: demand.turns.ages_ms.clone(),
        });
        raw::Demand { recorded_unix_ms: self.recorded_unix_ms, queues: queues.collect() }
            .encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Demand::decode(bytes)
            .map_err(|error| decode_error("demand", error.to_string()))?;
        let queues = raw.queues.into_iter().map(|demand| {
            let turns = TurnsRecord {
                level_milli: demand.turn_level_milli,
                low_milli: demand.turn_low_milli,
                length_ms: demand.turn_length_ms,
                period_ms: demand.turn_period_ms,
                ages_ms: demand.turn_ages_ms,
            };
            let (work_core_us, residence_ms) = (demand.work_core_us, demand.residence_ms);
            (demand.pool, demand.queue, QueueDemandRecord { work_core_us, residence_ms, turns })
        });
        Ok(Self { recorded_unix_ms: raw.recorded_unix_ms, queues: queues.collect() })
    }
}
