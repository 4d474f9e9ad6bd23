//! Fencing tokens of calls to workers.
//!
//! A worker refuses a call whose token is lower than the highest that it has seen. The token of a call consists of the
//! scheduler's own token and an epoch within its term. The scheduler's token comes first, so a worker that has heard from a
//! successor refuses its predecessors. The epoch rises with each life of a worker, so a life that has been called under its
//! own epoch refuses calls that were meant for a former life, however late they arrive.

/// Number of bits of the epoch.
const EPOCH_BITS: u32 = 32;

/// Returns the token of a call that the scheduler with this token makes in an epoch of its term.
#[must_use]
pub const fn call_token(scheduler_token: u64, epoch: u32) -> u64 {
    // The conversion is lossless; `From` is not available in a constant function.
    scheduler_token << EPOCH_BITS | epoch as u64
}

/// Returns the token of the scheduler that makes a call with this token.
#[must_use]
pub const fn scheduler_of(call_token: u64) -> u64 {
    call_token >> EPOCH_BITS
}
