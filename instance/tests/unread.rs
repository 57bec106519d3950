//! Tests of instances whose clients send more than the instance reads. The tests run one at a time, as
//! those of `clients.rs`.

mod support;

use camphorhold_testutils::platform::leaf::Behaviour;
use support::crowd::Kind;
use support::crowd::MANY_DESCRIPTORS;
use support::crowd::Target;
use support::crowd::run_alone;

/// Guards against ordinary callers that are refused for as long as others have sent requests ahead:
/// these take all of the room that becomes free.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_caller_is_answered_beside_requests_sent_ahead() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    target.platform.leafs[0].set_behaviour(Behaviour::Hang);
    let address = target.instance.caller_address();
    let clients = target.send(address, Kind::Behind, "").await;
    target.platform.leafs[0].set_behaviour(Behaviour::Answer);
    target.check_answer("beside requests sent ahead").await;
    drop(clients);
}
