//! Scheduling of jobs with several steps on the workers of pools: the state of
//! jobs, the placement of their tasks, and the records that the store keeps.

pub mod admission;
pub mod advice;
pub mod candidacy;
pub mod catalog;
pub mod dispatcher;
pub mod event;
pub mod former_owners;
pub mod job_registry;
pub mod key;
pub mod lease;
pub mod maintenance;
pub mod order;
pub mod order_rate_limiter;
pub mod owner_record;
pub mod ownership;
pub mod pace;
pub mod pool_autoscaler;
pub mod pool_load;
pub mod record;
pub mod report;
pub mod run_time;
pub mod scheduling;
pub mod spec;
pub mod start_budget;
pub mod vm;
pub mod vm_handover;

mod attempt_lease;
mod batch;
mod checkpoint;
mod ended;
mod explain;
mod job;
mod job_record;
mod placements;
mod rank;
mod renewal;
mod stall;
mod unreachable;
mod vm_drain;
mod worker;
mod worker_choice;
mod worker_reports;
mod worker_restart;
mod worker_room;
