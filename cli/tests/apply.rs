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

/// Guards against a dry run that applies the file, hides a difference, or ignores that the expected
/// revision is not in force.
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

/// Guards against a success without the new revision, which later commands refer to.
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

/// Guards against a change that overwrites the change of another operator. Revision 5 was accepted
/// after this operator had read revision 4, and the request expects revision 4.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_shows_what_another_operator_changed() {
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

/// Guards against a lost answer that is reported as a failure, or whose change is applied a second
/// time. A proxy closes the connection after the instance has applied the file.
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
        warning: the outcome of the request is unknown; looking it up
    "#]]
    .assert_eq(&output.stderr);
    assert_eq!(output.code, Some(0));
    assert_eq!(instance.state().applied, 1);
}

/// Guards against a wrong result, or a change applied twice, when the instance itself answers that
/// the outcome is unknown. In one case the change has taken effect, in the other it was dropped.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_looked_up_and_the_file_applied_once() {
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

/// Guards against a change that is applied twice, or reported as rejected, because it takes effect
/// late. The look-up does not find it, so the same request is sent again, and only then the first
/// one takes effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_takes_effect_late_is_reported_as_accepted() {
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

/// Guards against a request without an expected revision, which would overwrite a change accepted
/// after the program has read the file in force.
#[tokio::test(flavor = "multi_thread")]
async fn every_request_contains_the_revision_it_replaces() {
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

/// Guards against a dropped change that is sent again and overwrites the change of another
/// operator, which was accepted in its place.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_change_is_rejected_if_another_was_accepted_first() {
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

/// Guards against a definite result although the outcome is unknown, and against an operation that
/// cannot be resumed. No time is left for a look-up in the first run; the second run gets the id of
/// the operation.
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

/// Guards against a failure although another instance can apply the file. The first address refuses
/// connections, and the first instance refuses the change.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_instance_is_tried_after_a_refusal() {
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

/// Guards against a refusal that is reported as unknown or as success. The only instance cannot
/// reach the key-value service.
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
