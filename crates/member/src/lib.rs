//! Membership decisions: the view of the entry VMs and what it says of ownership.

mod view;

pub use view::Member;
pub use view::View;
