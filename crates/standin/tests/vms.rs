//! The VM list through the daemon's adapter.

use syc_platform::VmList;
use syc_platform::http::HttpPlatform;
use syc_platform::http::HttpPlatformOptions;
use syc_platform::types::VmState;
use syc_standin::VmListStandIn;

#[actix_rt::test]
async fn an_unchanged_list_is_not_sent_again_and_a_change_is_seen() {
    let names = ["one", "two"].map(Into::into);
    let vms = VmListStandIn::start(names, 0).expect("stand-in");
    let platform = HttpPlatform::new("127.0.0.1:1", vms.address(), HttpPlatformOptions::default());
    let first = platform.list().await.expect("list");
    let again = platform.list().await.expect("list");
    assert_eq!(first, again);
    assert_eq!((first.len(), vms.whole_answers()), (2, 1));
    vms.set("two", Some(VmState::Leaving));
    let changed = platform.list().await.expect("list");
    assert_eq!(changed[1].state, VmState::Leaving);
    assert_eq!(vms.whole_answers(), 2);
}
