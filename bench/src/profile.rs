//! Fleet sizes and policy weights of the two deployments, as the design states
//! them.

use clap::ValueEnum;
use cowslipport_lib::config::Policy;

/// Name of a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ProfileName {
    /// Booking services in four data centres.
    Predah,
    /// Booth rental in three data centres.
    Prairie,
}

/// A fleet and its policy weights.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    pub(crate) data_centres: u32,
    /// Number of VMs, four to a rack.
    pub(crate) vms: u32,
    /// Cores of a VM; each core has 4 GB of memory.
    pub(crate) cores_per_vm: u64,
    /// Number of services, each with a pool. One more pool holds spare VMs.
    pub(crate) services: u32,
    /// Requests that one upstream instance serves at the same time.
    pub(crate) slots_per_vm: u32,
    /// VMs of a pool that may be unavailable.
    pub(crate) pool_budget: u32,
    /// VMs of a pool that may be unavailable in one data centre.
    pub(crate) data_centre_budget: u32,
    /// VMs in the first step of a wave.
    pub(crate) initial_width: u32,
    /// VMs in the widest step of a wave.
    pub(crate) max_width: u32,
    /// Failed VMs after which a wave halts.
    pub(crate) max_failed: u32,
    /// Time that a VM must stay healthy after its reboot.
    pub(crate) soak_ms: u64,
    /// Time after which a VM that has not come back counts as failed.
    pub(crate) reboot_timeout_ms: u64,
    /// Time for which a VM that changes its pool is out of service.
    pub(crate) move_ms: u64,
    /// Policy weights.
    pub(crate) policy: Policy,
}

impl ProfileName {
    pub(crate) fn profile(self) -> Profile {
        let (data_centres, vms, cores_per_vm) = match self {
            Self::Predah => (4, 52, 32),
            Self::Prairie => (3, 48, 16),
        };
        let default = Policy::default();
        let policy = match self {
            Self::Predah => {
                Policy { weight_share_milli: 2000, weight_data_centre_work_milli: 2000, ..default }
            }
            Self::Prairie => {
                Policy { weight_buffer_milli: 2000, weight_moves_milli: 2000, ..default }
            }
        };
        Profile {
            data_centres,
            vms,
            cores_per_vm,
            services: 5,
            slots_per_vm: 8,
            pool_budget: 2,
            data_centre_budget: 1,
            initial_width: 2,
            max_width: 16,
            max_failed: 2,
            soak_ms: 60_000,
            reboot_timeout_ms: 600_000,
            move_ms: 60_000,
            policy,
        }
    }
}
