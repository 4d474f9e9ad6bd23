//! Calls to workers as values, so that another node can make them on behalf of the scheduler.

mod wire;

pub use wire::read_reply;
pub use wire::write_reply;

use crate::ports::OrderError;
use crate::ports::PaceCommand;
use crate::ports::Renewal;
use crate::ports::RenewalReply;
use crate::ports::StartCommand;
use crate::ports::StopCommand;
use crate::ports::WorkerAddress;
use crate::ports::WorkerPort;

/// What a worker is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Renews the leases and polls the worker's report.
    Renew(Renewal),
    /// Starts a run.
    Start(StartCommand),
    /// Stops a run.
    Stop(StopCommand),
    /// Limits the speed of a run.
    Pace(PaceCommand),
}

/// A call that one node makes on behalf of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedCall {
    /// The worker.
    pub worker: WorkerAddress,
    /// Time that the worker has to answer.
    pub timeout_ms: u64,
    /// Time on the scheduler's clock after which the call must not be sent any more.
    pub valid_until_ms: u64,
    /// What the worker is asked for.
    pub command: WorkerCommand,
}

/// Answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// It renewed the leases.
    Renewed(RenewalReply),
    /// It accepted the order.
    Accepted,
}

impl WorkerCommand {
    /// Returns the fencing token of the call.
    #[must_use]
    pub const fn token(&self) -> u64 {
        match self {
            Self::Renew(renewal) => renewal.token,
            Self::Start(command) => command.token,
            Self::Stop(command) => command.token,
            Self::Pace(command) => command.token,
        }
    }

    /// Returns the command with another fencing token.
    #[must_use]
    pub fn with_token(&self, token: u64) -> Self {
        let mut command = self.clone();
        match &mut command {
            Self::Renew(renewal) => renewal.token = token,
            Self::Start(command) => command.token = token,
            Self::Stop(command) => command.token = token,
            Self::Pace(command) => command.token = token,
        }
        command
    }

    /// Sends the command to a worker from this node.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn send<P>(
        &self,
        port: &P,
        worker: &WorkerAddress,
        timeout_ms: u64,
    ) -> Result<WorkerAnswer, OrderError>
    where
        P: WorkerPort,
    {
        match self {
            Self::Renew(renewal) => {
                let renewed = port.renew(worker, renewal, timeout_ms).await?;
                return Ok(WorkerAnswer::Renewed(renewed));
            }
            Self::Start(command) => port.start(worker, command, timeout_ms).await?,
            Self::Stop(command) => port.stop(worker, command, timeout_ms).await?,
            Self::Pace(command) => port.pace(worker, command, timeout_ms).await?,
        }
        Ok(WorkerAnswer::Accepted)
    }
}
