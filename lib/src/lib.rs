//! The model of cowslipport: checked types, the fold of the control stream,
//! and the decision modules. It does no I/O and reads no clock.

pub mod arena;
pub mod budget;
pub mod buffer;
pub mod config;
pub mod control;
pub mod data_centre_change;
pub mod drain;
pub mod findings;
pub mod fold;
mod fold_config;
mod fold_vms;
pub mod ids;
mod move_choice;
pub mod move_decision;
pub mod moves;
pub mod operation;
pub mod protos;
pub mod record;
pub mod rendezvous;
pub mod resources;
pub mod snapshot;
pub mod time;
pub mod wave;
pub mod wave_decision;
mod wave_order;
mod wire_config;
mod wire_control;
