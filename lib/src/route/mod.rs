//! Routing of requests to upstreams, and the queues in which requests wait.

pub mod queue;
mod refresh;
pub mod routing;
mod select;
mod waiting;
