//! Amounts of processor, memory and accelerators, in integers with checked arithmetic.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// An amount of each kind of resource that workers have and tasks ask for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// Says why an amount could not be computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// The sum does not fit its integer.
    #[error("resource amount overflows")]
    Overflow,
    /// More was taken away than there was.
    #[error("resource amount falls below zero")]
    Underflow,
}

impl Resources {
    /// Nothing of any kind.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_bytes: 0,
        accelerators: 0,
    };

    /// Says whether this amount fits in `room` in every kind.
    #[must_use]
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_bytes <= room.memory_bytes
            && self.accelerators <= room.accelerators
    }

    /// Adds `other`.
    ///
    /// # Errors
    ///
    /// Fails with [`ResourceError::Overflow`] where a kind does not fit its integer.
    pub fn checked_add(&self, other: &Self) -> Result<Self, ResourceError> {
        let sum = || {
            Some(Self {
                cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
                memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
                accelerators: self.accelerators.checked_add(other.accelerators)?,
            })
        };
        sum().ok_or(ResourceError::Overflow)
    }

    /// Subtracts `other`.
    ///
    /// # Errors
    ///
    /// Fails with [`ResourceError::Underflow`] where a kind has less than is taken away.
    pub fn checked_sub(&self, other: &Self) -> Result<Self, ResourceError> {
        let difference = || {
            Some(Self {
                cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
                memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
                accelerators: self.accelerators.checked_sub(other.accelerators)?,
            })
        };
        difference().ok_or(ResourceError::Underflow)
    }

    /// Subtracts `other`, stopping at zero in each kind.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds `other`, stopping at the greatest amount in each kind.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the greater amount of each kind.
    #[must_use]
    pub fn max_each(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the greatest part that it is of any kind of `pool`, which may be above 1.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a part needs no more digits than a float has"
    )]
    pub fn dominant_part(&self, pool: &Self) -> f64 {
        let part = |amount: u64, all: u64| amount as f64 / all.max(1) as f64;
        let cpu = part(self.cpu_millis, pool.cpu_millis);
        let memory = part(self.memory_bytes, pool.memory_bytes);
        let accelerators = part(u64::from(self.accelerators), u64::from(pool.accelerators));
        cpu.max(memory).max(accelerators)
    }

    /// Multiplies it, stopping at the greatest amount in each kind.
    #[must_use]
    pub fn saturating_mul(&self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(u64::from(count)),
            memory_bytes: self.memory_bytes.saturating_mul(u64::from(count)),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}
