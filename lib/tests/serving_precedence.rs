//! Tests of which requests give way while there is no room for all.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::precedence::Order;
use camphorhold::coordination::serving::precedence::Precedence;

/// Guards against requests that are refused although nobody else is.
#[test]
fn requests_sent_ahead_are_served_while_there_is_room() {
    let precedence = Precedence::default();
    let now = Instant::now();
    assert!(precedence.may_start(Order::Ahead, now));
    assert!(precedence.may_start(Order::InTurn, now));
}

/// Guards against callers that are refused again and again, because what becomes free is taken by
/// requests that were there before.
#[test]
fn requests_sent_ahead_give_way_to_callers_that_were_refused() {
    let mut precedence = Precedence::default();
    let now = Instant::now();
    assert!(!precedence.on_refusal(Order::InTurn, now));
    assert!(!precedence.may_start(Order::Ahead, now));
    assert!(precedence.may_start(Order::InTurn, now));
    let later = now + Duration::from_secs(1);
    assert!(!precedence.may_start(Order::Ahead, later));
    assert!(!precedence.on_refusal(Order::InTurn, later));
    assert!(!precedence.may_start(Order::Ahead, now + Duration::from_millis(2_500)));
    assert!(precedence.may_start(Order::Ahead, now + Duration::from_secs(4)));
}

/// Guards against a connection whose further requests are refused one by one, and against ordinary
/// callers that count as crowded out by each other's pipelines.
#[test]
fn a_connection_with_requests_ahead_ends_when_one_is_refused() {
    let mut precedence = Precedence::default();
    let now = Instant::now();
    assert!(precedence.on_refusal(Order::Ahead, now));
    assert!(precedence.may_start(Order::Ahead, now));
}
