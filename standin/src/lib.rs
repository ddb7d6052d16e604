//! Stand-ins for the services of the platform, for tests and for the demo.
//!
//! Each stand-in has a state module without I/O, which gets the time as an
//! argument, and a server module, in which one task owns the state and receives
//! messages through one bounded mailbox. Faults are injected by messages to
//! that mailbox.

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
