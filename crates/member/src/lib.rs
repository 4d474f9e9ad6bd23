//! Membership decisions: the view of the entry VMs, who may act in it, and when it changes.
//!
//! [`Membership`] is a pure state machine: it is told what was received and what time it is, and
//! says what to send, what to propose in the log, and whether its daemon may act.

mod event;
mod former;
mod gone;
mod incarnation;
mod membership;
mod message;
mod options;
mod peer;
mod propose;
mod round;
mod view;

pub use event::Action;
pub use event::Event;
pub use incarnation::incarnation;
pub use incarnation::vm_name;
pub use membership::Membership;
pub use membership::Seed;
pub use message::Ack;
pub use message::Contact;
pub use message::Heartbeat;
pub use message::Silence;
pub use options::Options;
pub use view::Key;
pub use view::Member;
pub use view::View;
pub use view::Views;
