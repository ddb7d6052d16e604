//! The model of cowslipport: checked types, the fold of the control stream,
//! and the decision modules. It does no I/O and reads no clock.

pub mod arena;
pub mod budget;
pub mod config;
mod config_diff;
pub mod control;
pub mod file_kind;
pub mod findings;
pub mod fold;
mod fold_config;
pub mod ids;
pub mod protos;
pub mod record;
pub mod rendezvous;
pub mod resources;
pub mod settings;
pub mod snapshot;
pub mod time;
mod toml_place;
mod toml_source;
mod wire_config;
mod wire_config_encode;
mod wire_control;
mod wire_settings;
