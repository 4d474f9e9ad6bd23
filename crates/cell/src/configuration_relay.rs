//! Passes configurations between the scheduler's node and the nodes that contact it, in both directions.
//!
//! The load that this handles: if every node read each configuration from the store, the store would send it once for
//! each node at the same time. And a node that the store turns away would not get it at all.

use std::rc::Rc;

use syc_net::PeerClient;
use syc_wire::cell::CellBody;
use syc_wire::cell::ConfigurationQuery;
use syc_wire::cell::ConfigurationReply;

use crate::Node;
use crate::clock::pause;
use crate::contact;
use crate::contact::peer_options;
use crate::follow;
use crate::ports::Platform;
use crate::ports::Record;

/// Timeout of a query. The scheduler answers hundreds of nodes at the same time.
const QUERY_TIMEOUT_MS: u64 = 700;

/// Answers with the configuration in force if the asking node has an older one.
///
/// A node with a slow link sends it only to nodes that do not get it from the store. The store is faster for the others.
pub(crate) fn answer<P>(node: &Node<P>, query: &ConfigurationQuery) -> ConfigurationReply
where
    P: Platform,
{
    let is_newer = node.configuration_version() > query.known_version;
    let may_send = node.settings.has_fast_link() || query.lacks_store;
    if !is_newer || !may_send {
        return ConfigurationReply::default();
    }
    let record = node.configuration_record.borrow();
    let reply = record.as_ref().map(|record| ConfigurationReply {
        key: record.key.to_string(),
        value: record.value.clone(),
    });
    reply.unwrap_or_default()
}

/// Fetches each configuration that another node has and this node has not.
pub(crate) async fn run_fetch_loop<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        node.configuration_wanted.notified().await;
        pause(node.configuration_fetch_delay_ms()).await;
        if !node.is_behind_configuration() {
            continue;
        }
        if node.is_informed() {
            fetch_as_informed(&node).await;
        } else {
            // The store has not sent it within its head start.
            fetch(&node, true).await;
        }
    }
}

/// Fetches the configuration from the scheduler's node, or reads it from the store if that node leaves it to the store.
async fn fetch_as_informed<P>(node: &Rc<Node<P>>)
where
    P: Platform,
{
    if fetch(node, false).await {
        return;
    }
    tokio::select! {
        _position = follow::read_newest(node) => {}
        () = fetch_without_store(node) => {}
    }
    if node.is_behind_configuration() {
        fetch(node, true).await;
    }
}

/// Waits until the store has had time to answer, and fetches the configuration from the scheduler's node. Waits forever
/// if that node does not send it.
async fn fetch_without_store<P>(node: &Rc<Node<P>>)
where
    P: Platform,
{
    pause(node.settings.timing.store_timeout_ms).await;
    if !fetch(node, true).await {
        std::future::pending::<()>().await;
    }
}

/// Asks another node for its configuration and applies it. Returns whether that node has sent one.
async fn fetch<P>(node: &Rc<Node<P>>, lacks_store: bool) -> bool
where
    P: Platform,
{
    let Some(record) = query(node, lacks_store).await else {
        return false;
    };
    follow::apply_from_node(node, &record);
    true
}

/// Asks the scheduler's node for its configuration. The scheduler asks the node that last stated a newer version.
async fn query<P>(node: &Node<P>, lacks_store: bool) -> Option<Record>
where
    P: Platform,
{
    let query = CellBody::ConfigurationQuery(ConfigurationQuery {
        known_version: node.configuration_version(),
        lacks_store,
    });
    let link = node.link.borrow().clone();
    let reply = if let Some(link) = link {
        link.call_without_reset(query, QUERY_TIMEOUT_MS).await
    } else {
        let client = PeerClient::new(node.newer_peer.take()?, peer_options());
        contact::call(&client, query, QUERY_TIMEOUT_MS).await
    };
    let Ok(CellBody::ConfigurationReply(reply)) = reply else {
        return None;
    };
    let record = Record {
        key: reply.key.into(),
        value: reply.value,
    };
    (!record.key.is_empty()).then_some(record)
}
