//! A node: one of several equal processes that serve submitters. One of the
//! nodes is the owner, which orders the workers. All durable state is in the
//! store.

mod advice_task;
mod append_timeout;
pub mod calls;
mod core;
mod core_calls;
mod core_log;
mod hold;
mod messages;
mod orders;
mod owner;
mod owner_jobs;
mod owner_tasks;
mod owner_vms;
mod owner_workers;
mod owner_writer;
pub mod platform;
mod recovery;
mod seat_task;
pub mod settings;
pub mod start;
mod submissions;
mod tail;
mod vm_task;
mod worker_links;
