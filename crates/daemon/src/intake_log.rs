//! Logs that clients are refused for what they make the daemon hold.

use std::rc::Rc;
use std::time::Duration;

use syc_net::RefusalCounts;
use syc_obs::catalogue;
use syc_obs::emit;

use crate::node::Node;

/// How often the refusals are looked at.
const INTERVAL: Duration = Duration::from_secs(1);

/// Logs refusals, at most one line an interval, until it is dropped.
pub async fn run(node: Rc<Node>) {
    let mut logged = RefusalCounts::default();
    loop {
        actix_rt::time::sleep(INTERVAL).await;
        let readings = node.intake.readings();
        let refusals = readings.refusals;
        if refusals == logged {
            continue;
        }
        emit(
            catalogue::CLIENTS_REFUSED,
            format_args!(
                "memory={} too_slow={} displaced={} too_many_connections={} connections={} held_bytes={} held_limit_bytes={}",
                refusals.memory - logged.memory,
                refusals.too_slow - logged.too_slow,
                refusals.displaced - logged.displaced,
                refusals.too_many_connections - logged.too_many_connections,
                readings.connections,
                readings.pooled_bytes,
                readings.pool_bytes,
            ),
        );
        logged = refusals;
    }
}
