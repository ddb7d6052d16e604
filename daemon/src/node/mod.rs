//! A node: one of the equal processes that serve submitters together. One of
//! them holds the seat and orders the workers; what must last is in the store.

mod advice_task;
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
mod patience;
pub mod platform;
mod recovery;
mod seat_task;
pub mod settings;
pub mod start;
mod submissions;
mod tail;
mod vm_task;
mod worker_links;
