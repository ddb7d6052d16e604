//! Clients of the platform, the workers, the upstreams and the other processes.

pub(crate) mod peer;
pub mod platform;
pub(crate) mod upstream;
pub(crate) mod witness;
pub mod worker;
