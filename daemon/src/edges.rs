//! Where the process meets the platform: traits that the real clients and the
//! fakes of tests implement.

use std::future::Future;

use cowslipport_lib::ids::Offset;
use cowslipport_lib::record::VmJoined;

/// Records that a read of a stream returned.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// First offset that the log still keeps.
    pub first_offset: Offset,
    /// Offset that the next append will get.
    pub next_offset: Offset,
    /// Records with their offsets.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LogError {
    /// Nothing was written.
    #[error("log service is unavailable: {reason}")]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
    /// The record may have been written.
    #[error("outcome of the append is unknown: {reason}")]
    OutcomeUnknown {
        /// What the client saw.
        reason: String,
    },
}

/// The append-only log of the platform.
pub trait LogService: Clone + 'static {
    /// Appends a record to a stream.
    fn append(
        &self,
        stream: &str,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<Offset, LogError>>;

    /// Reads records from an offset; waits up to `wait_ms` if there is none.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: u32,
    ) -> impl Future<Output = Result<ReadBatch, LogError>>;
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmJoined,
    /// True if the platform is about to take it away.
    pub leaving: bool,
}

/// The call to the VM list failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("VM list is unavailable: {reason}")]
pub struct VmListError {
    /// What the client saw.
    pub reason: String,
}

/// The lagging list of VMs.
pub trait VmList: Clone + 'static {
    /// All VMs that the platform shows.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>, VmListError>>;

    /// Reboots a VM; a repeated token has no further effect.
    fn reboot(&self, vm: &str, token: &str) -> impl Future<Output = Result<(), VmListError>>;
}
