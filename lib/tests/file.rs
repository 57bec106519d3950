//! Tests of the operators' file: its problems with their spans, and the differences between two
//! files.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes them when it updates a snapshot"
)]

use std::fmt::Write;

use camphorhold::state::file::File;
use camphorhold::state::file::difference;
use expect_test::Expect;
use expect_test::expect;

const GOOD: &str = r#"
system = "almisse"
objective = "coverage"

[[failure_domain]]
name = "a"

[[failure_domain]]
name = "b"

[[tenant]]
name = "almisse"

[[service]]
name = "roster"
tenants = ["almisse"]
deadline = "120ms"
slots = 2
connections = 25
partition = 1
shards = 1
serving = "v1"

[[service.version]]
name = "v1"

[[service.version.leafs]]
address = "10.0.0.1:7001"
shard = 0
failure_domain = "a"

[[service.version]]
name = "v2"

[[service.version.leafs]]
address = "10.0.0.2:7001"
shard = 0
failure_domain = "b"

[[rollout]]
id = "roster-v2"
services = ["roster"]
from = "v1"
to = "v2"
deadline = "2026-12-04T12:00:00Z"
"#;

/// Checks the problems of a file. Each line consists of the text that the span covers and the
/// message.
#[allow(clippy::needless_pass_by_value)]
fn check_problems(text: &str, expected: Expect) {
    let problems = File::parse(text).expect_err("the file has problems");
    let mut shown = String::new();
    for problem in problems {
        let found = &text[problem.span.clone()];
        writeln!(shown, "{found}: {}", problem.message).expect("a string can be written");
    }
    expected.assert_eq(&shown);
}

fn good() -> File {
    File::parse(GOOD).expect("the file is valid")
}

/// Guards against a valid file that is rejected, and against unintended changes of the defaults.
#[test]
fn a_valid_file_is_read() {
    let file = good();
    assert_eq!(file.leafs().count(), 2);
    let service = &file.services[&"roster".parse().expect("a valid name")];
    assert_eq!(service.cold_start.answers, 20);
    assert!(service.hedging && service.canary);
}

/// Guards against a check that stops at the first problem, so that operators correct a file problem
/// by problem, and against spans that point to other text.
#[test]
fn all_problems_are_reported_with_their_spans() {
    let text = GOOD
        .replace("\"coverage\"", "\"speed\"")
        .replace("slots = 2", "slots = 0")
        .replace(
            "shard = 0\nfailure_domain = \"b\"",
            "shard = 7\nfailure_domain = \"c\"",
        )
        .replace("to = \"v2\"", "to = \"v3\"")
        .replace("2026-12-04T12:00:00Z", "noon");
    check_problems(
        &text,
        expect![[r#"
        "speed": objective is "speed": use "coverage" or "worth"
        0: slots must be at least 1
        7: shard 7 is out of range: the service has 1 shards
        "c": failure domain c is not listed
        "roster": service roster has no version v3
        "noon": "noon" is not a time: write for instance "2026-12-04T12:00:00Z"
    "#]],
    );
}

/// Guards against a backend server that is listed twice under one address. Its load would be
/// counted separately for each entry and could exceed its limit.
#[test]
fn an_address_may_occur_only_once() {
    let text = GOOD.replace("10.0.0.2:7001", "10.0.0.1:7001");
    check_problems(
        &text,
        expect![[r#"
        "10.0.0.1:7001": the address 10.0.0.1:7001 is listed more than once
    "#]],
    );
}

/// Guards against a mistyped key that is ignored, so that the intended setting has no effect.
#[test]
fn an_unknown_key_is_a_problem() {
    let text = GOOD.replace("slots = 2", "slot = 2");
    check_problems(
        &text,
        expect![[r#"
        slot: unknown field `slot`, expected one of `name`, `tenants`, `deadline`, `partial`, `hedging`, `canary`, `worth`, `slots`, `connections`, `connect_cost`, `cold_start`, `partition`, `shards`, `serving`, `version`
    "#]],
    );
}

/// Guards against a file that takes every failure domain out of service, so that no leaf can be
/// called.
#[test]
fn at_least_one_failure_domain_must_be_in_service() {
    let text = GOOD
        .replace("name = \"a\"\n", "name = \"a\"\nin_service = false\n")
        .replace("name = \"b\"\n", "name = \"b\"\nin_service = false\n");
    check_problems(
        &text,
        expect![[r#"
        "a": no failure domain is in service
    "#]],
    );
}

/// Guards against a changed value that is missing in the difference shown to operators before they
/// apply a file.
#[test]
fn the_difference_lists_each_changed_value() {
    let text = GOOD
        .replace("slots = 2", "slots = 4")
        .replace("name = \"b\"\n", "name = \"b\"\nin_service = false\n")
        .replace("10.0.0.2:7001", "10.0.0.3:7001");
    let new = File::parse(&text).expect("the file is valid");
    let changes: Vec<String> = difference(&good(), &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect![[r#"
        failure_domain.b: InService -> OutOfService
        service.roster.slots: 2 -> 4
        service.roster.version.v2.leaf.10.0.0.2:7001: shard 0 in b, in service -> -
        service.roster.version.v2.leaf.10.0.0.3:7001: - -> shard 0 in b, in service"#]]
    .assert_eq(&changes.join("\n"));
    assert!(difference(&new, &new).is_empty());
}
