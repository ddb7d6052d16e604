//! A node: one of several equal processes that serve submitters. One of the
//! nodes is the owner, which orders the workers. All durable state is in the
//! store.

mod advice_task;
mod append_timeout;
pub mod calls;
mod core;
mod core_calls;
mod core_log;
mod core_records;
mod membership_task;
mod messages;
mod order_task;
mod owner;
mod owner_jobs;
mod owner_tasks;
mod owner_vms;
mod owner_workers;
mod owner_writer;
mod ownership_check;
pub mod platform;
mod poll_task;
mod preview;
mod recovery;
pub mod settings;
pub mod start;
mod submissions;
mod topic_reader;
mod vm_task;
mod worker_connections;
