//! Passes the configuration in force from the scheduler's node to the nodes that it keeps informed.
//!
//! The load that this handles: if every node read each configuration from the store, the store would send it once for
//! each node at the same time.

use std::rc::Rc;

use syc_wire::cell::CellBody;
use syc_wire::cell::ConfigurationQuery;
use syc_wire::cell::ConfigurationReply;

use crate::Node;
use crate::ports::Platform;
use crate::ports::Record;

/// Timeout of a query. The scheduler answers hundreds of nodes at the same time.
const QUERY_TIMEOUT_MS: u64 = 700;

/// Answers with the configuration in force if the asking node has an older one.
///
/// A node with a slow link sends none, so that the others read the store, which is faster.
pub(crate) fn answer<P>(node: &Node<P>, query: &ConfigurationQuery) -> ConfigurationReply
where
    P: Platform,
{
    let is_newer = node.configuration_version() > query.known_version;
    if !is_newer || !node.settings.has_fast_link() {
        return ConfigurationReply::default();
    }
    let record = node.configuration_record.borrow();
    let reply = record.as_ref().map(|record| ConfigurationReply {
        key: record.key.to_string(),
        value: record.value.clone(),
    });
    reply.unwrap_or_default()
}

/// Asks the scheduler's node for the configuration in force there. Returns `None` if it sends none.
pub(crate) async fn query<P>(node: &Rc<Node<P>>) -> Option<Record>
where
    P: Platform,
{
    let link = node.link.borrow().clone()?;
    let query = CellBody::ConfigurationQuery(ConfigurationQuery {
        known_version: node.configuration_version(),
    });
    let reply = link.call_without_reset(query, QUERY_TIMEOUT_MS).await;
    let Ok(CellBody::ConfigurationReply(reply)) = reply else {
        return None;
    };
    let record = Record {
        key: reply.key.into(),
        value: reply.value,
    };
    (!record.key.is_empty()).then_some(record)
}
