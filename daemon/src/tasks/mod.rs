//! Tasks that each own a part of the state of the process and exchange
//! messages.

pub(crate) mod control;
pub(crate) mod fleet;
pub(crate) mod jobs;
mod jobs_list;
pub(crate) mod journal;
pub(crate) mod maintenance;
pub(crate) mod peer;
mod peer_exchange;
pub(crate) mod placement;
pub(crate) mod router;
pub(crate) mod witness;
pub(crate) mod worker;
