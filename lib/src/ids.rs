//! Small `Copy` identifiers of the entities in the system.

use std::fmt;

use crate::arena::ArenaKey;

macro_rules! arena_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

arena_id! {
    /// A VM of the fleet.
    VmId
}
arena_id! {
    /// An organisation that submits work.
    OrganisationId
}
arena_id! {
    /// A pool of VMs.
    PoolId
}
arena_id! {
    /// A data centre.
    DataCentreId
}
arena_id! {
    /// A region, which holds one or more data centres.
    RegionId
}
arena_id! {
    /// A rack, unique across data centres.
    RackId
}
arena_id! {
    /// A maintenance wave.
    WaveId
}
arena_id! {
    /// A job in the queue of one partition.
    JobId
}

/// One incarnation of an entry process as a member: a random number that the
/// process chooses when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Position of a record in a stream of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of the configuration; each valid commit increments it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing token of a partition's owner: the offset of the record that made
/// the session the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// The part of a pool in one region, which is the unit of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId {
    /// The pool.
    pub pool: PoolId,
    /// The region.
    pub region: RegionId,
}

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.pool, self.region)
    }
}

/// Identifies an append, so that a retry takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordId {
    /// Session that wrote the record.
    pub writer: u64,
    /// Number of the record among those of its writer, from 1.
    pub sequence: u64,
}

/// Identifies an operation on a VM: the offset of the record that began its
/// drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub Offset);
