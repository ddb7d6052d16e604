//! Stand-ins for the services of the platform, used by tests and by the demo.
//!
//! Each stand-in has a module of pure state, which gets the time as an
//! argument, and a server module: one task that owns the state and has one
//! bounded mailbox. Faults are messages to that mailbox.

pub mod clock;
pub mod fleet;
pub mod history;
pub mod log_server;
pub mod log_store;
pub mod recorder;
pub mod serve;
mod upstream_http;
pub mod upstream_model;
pub mod upstream_server;
pub mod vm;
pub mod vm_inventory;
pub mod vm_list_server;
pub mod worker_agent;
pub mod worker_server;
pub mod worker_task;
