//! Amounts of resources.

use std::fmt;

/// Processor time, memory and accelerators that a task requests or uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { cpu_milli: 0, memory_bytes: 0, accelerators: 0 };

    /// True if the amount of every resource is zero.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// True if each resource of `self` is at most that of `other`.
    pub fn fits_in(self, other: Self) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_bytes <= other.memory_bytes
            && self.accelerators <= other.accelerators
    }

    /// The sum, capped at the largest value of each field.
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, at least zero in each field.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The smaller amount of each resource.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Each resource times `numerator / denominator`, rounded up so that a
    /// small amount does not become zero.
    pub fn scaled_up(self, numerator: u64, denominator: u64) -> Self {
        let scale = |value: u64| {
            let scaled = u128::from(value) * u128::from(numerator);
            u64::try_from(scaled.div_ceil(u128::from(denominator.max(1)))).unwrap_or(u64::MAX)
        };
        Self {
            cpu_milli: scale(self.cpu_milli),
            memory_bytes: scale(self.memory_bytes),
            accelerators: u32::try_from(scale(u64::from(self.accelerators))).unwrap_or(u32::MAX),
        }
    }

    /// Dominant share: the largest part of any resource of `total` that `self`
    /// takes, in millionths. A resource that `total` lacks counts as one whole
    /// if `self` contains any of it.
    pub fn dominant_share_ppm(self, total: Self) -> u64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0,
            (_, 0) => 1_000_000,
            (part, whole) => {
                u64::try_from(u128::from(part) * 1_000_000 / u128::from(whole)).unwrap_or(u64::MAX)
            }
        };
        share(self.cpu_milli, total.cpu_milli)
            .max(share(self.memory_bytes, total.memory_bytes))
            .max(share(u64::from(self.accelerators), u64::from(total.accelerators)))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m cpu, {} B", self.cpu_milli, self.memory_bytes)?;
        if self.accelerators > 0 {
            write!(f, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
