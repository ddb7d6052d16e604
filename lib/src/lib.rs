//! The model of cowslipport: checked types, the fold of the control stream,
//! and the decision modules. It does no I/O and reads no clock.

pub mod arena;
pub mod budget;
pub mod config;
pub mod control;
pub mod findings;
pub mod fold;
mod fold_config;
pub mod ids;
pub mod invariant;
pub mod job;
pub mod job_class;
pub mod job_log;
mod job_queue;
pub mod placement;
mod placement_check;
mod placement_choice;
mod placement_control;
mod placement_preempt;
mod placement_settle;
mod placement_start;
pub mod preemption;
pub mod protos;
pub mod quota;
pub mod record;
pub mod rendezvous;
pub mod resources;
pub mod scheduler_decision;
pub mod scheduler_event;
pub mod share;
pub mod snapshot;
pub mod time;
mod wire_config;
mod wire_control;
mod wire_job;
pub mod worker_health;
mod worker_view;
