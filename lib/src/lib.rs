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
mod fold_vms;
pub mod freshness;
pub mod ids;
pub mod keys;
pub mod protos;
pub mod record;
pub mod refusal;
pub mod rendezvous;
pub mod replica;
pub mod resources;
pub mod retry;
pub mod route_queue;
mod route_refresh;
mod route_select;
pub mod routing;
pub mod session;
pub mod settings;
mod slots;
pub mod snapshot;
pub mod time;
mod toml_place;
mod toml_source;
mod wire_config;
mod wire_config_encode;
mod wire_control;
mod wire_settings;
