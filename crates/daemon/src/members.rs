//! This daemon's membership: the view that it is in, and whether it may act in it.

use std::rc::Rc;

use syc_coord::records::ViewRecord;
use syc_member::Member;
use syc_member::View;
use syc_types::Epoch;

use crate::home;
use crate::node::Node;
use crate::owner;

/// Says whether this daemon may act as owner and home in the current epoch, now.
///
/// Asked again right before each command is written.
pub fn may_act(node: &Rc<Node>) -> bool {
    let view = node.view.borrow();
    view.member(&node.id).is_some()
}

/// Applies a change of the member list that the log's order has reached.
pub fn apply_view(node: &Rc<Node>, record: &ViewRecord) {
    if node.view.borrow().epoch != record.base {
        return;
    }
    let epoch = Epoch(record.base.0 + 1);
    *node.view.borrow_mut() = View::new(epoch, record.members.clone());
    owner::view_changed(node);
    home::view_changed(node);
}

/// Takes over the view of a snapshot, unless a later one is known.
pub fn restore_view(node: &Rc<Node>, epoch: Epoch, members: &[Member]) {
    if epoch <= node.view.borrow().epoch {
        return;
    }
    *node.view.borrow_mut() = View::new(epoch, members.to_vec());
    owner::view_changed(node);
    home::view_changed(node);
}
