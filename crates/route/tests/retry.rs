//! What may be sent again, and within which budget.

use syc_route::Finish;
use syc_route::Next;
use syc_route::RetryBudget;
use syc_route::RetryOptions;
use syc_route::Sending;
use syc_types::Millis;
use test_case::test_case;

const FIRST: Sending = Sending {
    finish: Finish::Lost,
    idempotent: true,
    sendings: 1,
    deadline: Millis(1_000),
};

fn next(sending: Sending, doubted: bool) -> Next {
    RetryBudget::new(RetryOptions::default()).next(sending, doubted, Millis(10))
}

#[test_case(Finish::Lost, true => Next::Elsewhere)]
#[test_case(Finish::TimedOut { waited_ms: 5 }, true => Next::Elsewhere)]
#[test_case(Finish::Lost, false => Next::Unknown)]
#[test_case(Finish::TimedOut { waited_ms: 5 }, false => Next::Unknown)]
#[test_case(Finish::NotSent, true => Next::Elsewhere)]
#[test_case(Finish::NotSent, false => Next::Elsewhere)]
#[test_case(Finish::Draining, false => Next::Elsewhere)]
#[test_case(Finish::Busy, false => Next::Wait)]
fn after_a_first_sending(finish: Finish, idempotent: bool) -> Next {
    let sending = Sending {
        finish,
        idempotent,
        ..FIRST
    };
    next(sending, false)
}

#[test_case(Finish::Busy, 7, false => Next::Wait; "not yet refused by all")]
#[test_case(Finish::Busy, 8, false => Next::NotRun; "refused by all")]
#[test_case(Finish::Busy, 8, true => Next::Unknown; "refused after a lost answer")]
#[test_case(Finish::Lost, 3, false => Next::Elsewhere; "not yet lost")]
#[test_case(Finish::Lost, 4, false => Next::Unknown; "lost")]
fn after_the_last_sending(finish: Finish, sendings: u32, doubted: bool) -> Next {
    let sending = Sending {
        finish,
        sendings,
        ..FIRST
    };
    next(sending, doubted)
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let sending = Sending {
        deadline: Millis(10),
        finish: Finish::NotSent,
        ..FIRST
    };
    assert_eq!(next(sending, false), Next::NotRun);
}

#[test]
fn retries_stay_a_tenth_of_the_first_sendings() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.first();
        let next = budget.next(FIRST, false, Millis(10));
        retries += u32::from(next == Next::Elsewhere);
    }
    assert!((100..=110).contains(&retries), "{retries} retries");
}
