//! Types that are generated from the schemas. Code outside the conversions and
//! the clients and servers of the programs uses the validated types instead.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::too_many_lines,
    clippy::disallowed_types
)]

/// Manifest and settings.
pub mod config {
    include!("cowslipport.config.rs");
}

/// Log records and snapshots.
pub mod control {
    include!("cowslipport.control.rs");
}

/// Services of the platform: log, VM list and workers.
pub mod platform {
    include!("cowslipport.platform.rs");
}

/// Calls between entry processes, and calls of operators.
pub mod peer {
    include!("cowslipport.peer.rs");
}

/// JSON bodies of the job API.
pub mod caller {
    include!("cowslipport.caller.rs");
}

/// JSON bodies of the operators' calls to a node.
pub mod node {
    include!("cowslipport.node.rs");
}

/// Stored records of jobs with several steps.
pub mod workload {
    include!("cowslipport.workload.rs");
}
