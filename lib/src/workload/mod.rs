//! Jobs of several steps on the workers of pools: what is known of them, which
//! task starts where, and what has to last.

pub mod admission;
pub mod advice;
pub mod candidacy;
pub mod catalog;
pub mod dispatcher;
pub mod event;
pub mod job_registry;
pub mod key;
pub mod lease;
pub mod order;
pub mod order_rate;
pub mod owner_record;
pub mod pace;
pub mod pool_balance;
pub mod pool_size;
pub mod record;
pub mod report;
pub mod seat;
pub mod spec;
pub mod tenure;
pub mod upkeep;
pub mod vm;
pub mod vm_handover;

mod batch;
mod ended;
mod explain;
mod job;
mod job_record;
mod place;
mod places;
mod rank;
mod settle;
mod silence;
mod stall;
mod worker;
