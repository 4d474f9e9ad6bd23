//! Which earlier homes need not be asked.

use syc_route::Homes;
use syc_types::MemberId;
use syc_types::Millis;
use test_case::test_case;

/// Bound of the clocks' difference in these tests.
const MARGIN_MS: u64 = 500;

/// In these tests a view is the name of the request's home.
type View = &'static str;

fn homes(views: &[(View, Option<u64>)]) -> Homes<View> {
    let mut homes = Homes::new(MemberId::new("me"), Millis(0), MARGIN_MS);
    for (number, (view, active_from)) in views.iter().enumerate() {
        homes.install(*view, number == 0);
        if let Some(at) = active_from {
            homes.activate(Millis(*at));
        }
    }
    homes
}

#[test_case(&[("other", Some(0)), ("me", Some(1_000))], 1_501, true; "active before the creation")]
#[test_case(&[("other", Some(0)), ("me", Some(1_000))], 1_500, false; "within the clocks' margin")]
#[test_case(&[("other", Some(0)), ("me", None)], 9_000, false; "never active")]
#[test_case(&[("other", Some(0))], 9_000, false; "never the home")]
#[test_case(
    &[("me", Some(0)), ("other", Some(1_000)), ("me", Some(2_000))], 1_800, false;
    "another was the home in between"
)]
#[test_case(
    &[("me", Some(0)), ("other", Some(1_000)), ("me", Some(2_000)), ("other", Some(3_000))], 2_800, true;
    "the last time as home counts"
)]
fn a_home_knows_whether_an_earlier_one_can_have_run_a_request(
    views: &[(View, Option<u64>)],
    created: u64,
    expected: bool,
) {
    let homes = homes(views);
    let first = homes.is_first_home(Millis(created), |view| Some(MemberId::new(*view)));
    assert_eq!(first, expected);
}
