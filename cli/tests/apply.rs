//! Tests of `apply` against stand-ins for instances.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes them when it updates a snapshot"
)]

mod support;

use camphorhold::protocol::control::Refusal;
use camphorhold::state::id::Revision;
use expect_test::expect;
use support::CLOSED;
use support::FILE;
use support::Instance;
use support::Script;
use support::file;
use support::lossy_proxy;
use support::path;
use support::run;

fn changed() -> String {
    FILE.replace("slots = 2", "slots = 4")
}

/// Guards against a dry run that changes something or hides a difference.
#[tokio::test(flavor = "multi_thread")]
async fn a_dry_run_shows_the_difference_and_changes_nothing() {
    let instance = Instance::new(1);
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "apply", path(&file), "--dry-run"]).await;
    expect![[r#"
        would change revision 4:
          service.roster.slots: 2 -> 4
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert_eq!(instance.state().applied, 0);
    let expect = ["--dry-run", "--expect-revision", "3"];
    let arguments = ["--instance", &address, "apply", path(&file)];
    let output = run(&[&arguments[..], &expect[..]].concat()).await;
    expect![[r#"
        rejected: the revision in force is 4, not 3
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(1));
}

/// Guards against a success that does not name the revision to refer to.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_file_is_reported_with_its_revision() {
    let instance = Instance::new(1);
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "apply", path(&file)]).await;
    expect![[r#"
        changes to revision 4:
          service.roster.slots: 2 -> 4
        accepted at revision 5 (generation 10)
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert_eq!(instance.state().applied, 1);
}

/// Guards against an operator who overwrites another one's change unknowingly.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_tells_what_another_operator_changed() {
    let instance = Instance::new(1);
    instance.state().other_change();
    let address = instance.clone().serve().await.to_string();
    let file = file(&FILE.replace("connections = 25", "connections = 30"));
    let arguments = ["--instance", &address, "apply", path(&file)];
    let expect = ["--expect-revision", "4"];
    let output = run(&[&arguments[..], &expect[..]].concat()).await;
    expect![[r#"
        changes to revision 5:
          service.roster.connections: 25 -> 30
          service.roster.slots: 3 -> 2
        rejected: another change was accepted meanwhile; the revision in force is 5
          service.roster.slots: 2 -> 3
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(1));
    assert_eq!(instance.state().applied, 0);
}

/// Guards against a lost answer that is reported as a failure, or repeated as a second change.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_looked_up_and_applied_once() {
    let instance = Instance::new(1);
    let target = instance.clone().serve().await;
    let address = lossy_proxy(target, 2).await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "apply", path(&file)]).await;
    expect![[r#"
        changes to revision 4:
          service.roster.slots: 2 -> 4
        accepted at revision 5 (generation 10)
    "#]]
    .assert_eq(&output.stdout);
    expect![[r#"
        warning: the answer was lost; the outcome is unknown, looking it up
    "#]]
    .assert_eq(&output.stderr);
    assert_eq!(output.code, Some(0));
    assert_eq!(instance.state().applied, 1);
}

/// Guards against the same where the instance itself does not know the outcome.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_resolved_both_ways() {
    for (script, name) in [
        (Script::ApplyUnknown, "applied"),
        (Script::DropUnknown, "dropped"),
    ] {
        let instance = Instance::new(1);
        instance.state().script = vec![script];
        let address = instance.clone().serve().await.to_string();
        let file = file(&changed());
        let output = run(&["--instance", &address, "apply", path(&file)]).await;
        assert_eq!(output.code, Some(0), "{name}: {}", output.stdout);
        assert_eq!(instance.state().applied, 1, "{name}");
    }
}

/// Guards against a change that is applied twice, or called rejected, because it takes effect only
/// after it was looked up and sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_lands_late_is_recognised() {
    let instance = Instance::new(1);
    instance.state().script = vec![Script::ApplyLate];
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "apply", path(&file)]).await;
    assert_eq!(output.code, Some(0), "{}", output.stdout);
    let state = instance.state();
    assert_eq!((state.applied, state.revision), (1, 5));
    assert_eq!(state.requests.len(), 2);
    assert_eq!(state.requests[0], state.requests[1]);
}

/// Guards against a request that could overwrite a change accepted after the file was read.
#[tokio::test(flavor = "multi_thread")]
async fn every_request_names_the_revision_it_follows() {
    let instance = Instance::new(1);
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    run(&["--instance", &address, "apply", path(&file)]).await;
    let expected: Vec<_> = instance
        .state()
        .requests
        .iter()
        .map(|r| r.expected_revision)
        .collect();
    assert_eq!(expected, [Some(Revision(4))]);
}

/// Guards against a change that is sent again over the change of another operator.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_change_is_rejected_when_another_one_went_first() {
    let instance = Instance::new(1);
    instance.state().script = vec![Script::DropForOther];
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "apply", path(&file)]).await;
    expect![[r#"
        changes to revision 4:
          service.roster.slots: 2 -> 4
        rejected: another change became generation 10
          service.roster.slots: 2 -> 3
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(1));
    assert_eq!(instance.state().applied, 0);
}

/// Guards against a claim about an outcome that cannot be known, and against an operation that
/// cannot be taken up again.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_that_stays_unknown_has_its_own_exit_code() {
    let instance = Instance::new(1);
    instance.state().script = vec![Script::ApplyUnknown];
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let arguments = [
        "--instance",
        &address,
        "apply",
        path(&file),
        "--resolve-for",
        "0s",
    ];
    let output = run(&arguments).await;
    assert_eq!(output.code, Some(4), "{}", output.stdout);
    let (_, operation) = output
        .stdout
        .split_once("--operation ")
        .expect("the operation");
    let resumed = [&arguments[..], &["--operation", operation.trim()]].concat();
    let output = run(&resumed).await;
    assert_eq!(output.code, Some(0), "{}", output.stdout);
    assert!(
        output
            .stdout
            .ends_with("accepted at revision 5 (generation 10)\n")
    );
    assert_eq!(instance.state().applied, 1);
}

/// Guards against giving up although another instance can do it.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_instance_is_tried() {
    let instance = Instance::new(1);
    instance.state().script = vec![Script::Refuse(Refusal::NoMajority)];
    let first = instance.clone().serve().await;
    let second = instance.clone().serve().await;
    let instances = format!("{CLOSED},{first},{second}");
    let file = file(&changed());
    let output = run(&["--instance", &instances, "apply", path(&file)]).await;
    assert_eq!(output.code, Some(0), "{}", output.stdout);
    assert_eq!(instance.state().applied, 1);
}

/// Guards against a refusal that is reported as unknown or as success.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_all_instances_is_a_rejection() {
    let instance = Instance::new(1);
    instance.state().store_down = true;
    let address = instance.clone().serve().await.to_string();
    let file = file(&changed());
    let output = run(&["--instance", &address, "--json", "apply", path(&file)]).await;
    let shown = output.stdout.replace(&address, "ADDRESS");
    expect![[r#"
        {
          "result": "rejected",
          "reason": "ADDRESS: the key-value service is unreachable",
          "changes": []
        }
    "#]]
    .assert_eq(&shown);
    assert_eq!(output.code, Some(1));
}
