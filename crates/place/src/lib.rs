//! Placement decisions: capacity ledgers, the choice of a worker, and the owner's queue.

mod choose;
mod error;
mod event;
mod health;
mod history;
mod index;
mod ledger;
mod owner;
mod refusal;
mod shares;

pub use choose::Spread;
pub use error::GrantError;
pub use event::Action;
pub use event::Ended;
pub use event::Event;
pub use event::KeptEnd;
pub use event::OfferKey;
pub use event::Order;
pub use event::PollPlan;
pub use event::Report;
pub use event::Reported;
pub use event::StartAnswer;
pub use history::History;
pub use ledger::Grant;
pub use ledger::Ledger;
pub use ledger::Tier;
pub use ledger::WorkerInfo;
pub use ledger::WorkerKey;
pub use owner::Explanation;
pub use owner::KnownTask;
pub use owner::Load;
pub use owner::Owner;
pub use owner::OwnerOptions;
pub use refusal::NearMiss;
pub use refusal::Refusal;
