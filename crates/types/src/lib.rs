//! Identifiers, resource amounts and time, shared by every crate of the workspace.
//!
//! This crate performs no I/O and reads no clock. Everything in it is a plain value.

pub mod hash;
mod ids;
mod incarnation;
mod job;
mod resources;
mod time;

pub use ids::CallerId;
pub use ids::EndpointId;
pub use ids::Epoch;
pub use ids::JobId;
pub use ids::MemberId;
pub use ids::RackId;
pub use ids::RequestId;
pub use ids::Revision;
pub use ids::ServiceName;
pub use ids::TaskRef;
pub use ids::TeamId;
pub use ids::VmId;
pub use ids::WorkerId;
pub use ids::WorkspaceName;
pub use ids::Zone;
pub use job::Class;
pub use job::JobKind;
pub use job::JobSpec;
pub use job::TaskOutcome;
pub use resources::ResourceError;
pub use resources::Resources;
pub use time::CellTime;
pub use time::DayAnchor;
pub use time::Millis;
pub use time::TimeOfDay;
