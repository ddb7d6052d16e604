//! The model of cowslipport: checked types, the fold of the control stream,
//! and the decision modules. It does no I/O and reads no clock.

pub mod arena;
pub mod budget;
pub mod config;
pub mod control;
pub mod ejection;
pub mod findings;
pub mod fold;
mod fold_config;
pub mod ids;
pub mod keys;
pub mod protos;
pub mod record;
pub mod refusal;
pub mod rendezvous;
pub mod resources;
pub mod retry;
pub mod route_queue;
mod route_refresh;
mod route_select;
mod route_waiting;
pub mod routing;
mod slots;
pub mod snapshot;
pub mod time;
mod wire_config;
mod wire_control;
