//! Tasks, sockets and edges of the daemon.

mod admin_server;
mod admin_status;
pub mod app;
mod append;
mod authority;
mod callers;
mod clock;
mod control_task;
pub mod credentials;
pub mod edges;
mod fleet_task;
mod health;
mod log_reader;
mod log_sampling;
pub mod logging;
mod peer_client;
mod peer_server;
mod peer_task;
mod peer_wire;
pub mod platform_client;
mod router_task;
mod subscriber;
mod token;
