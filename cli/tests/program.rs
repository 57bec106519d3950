//! Tests of the help, the exit codes, `check` and `completions`.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes them when it updates a snapshot"
)]

mod support;

use expect_test::expect;
use support::CLOSED;
use support::FILE;
use support::file;
use support::path;
use support::run;

/// Guards against help that lacks the exit codes or the examples, which scripts and operators rely
/// on. clap does not generate them: they are a separate text in `arguments.rs`.
#[tokio::test]
async fn the_help_documents_options_exit_codes_and_examples() {
    let output = run(&["--help"]).await;
    expect![[r#"
        Operates a camphorhold query tier

        Usage: camphorhold [OPTIONS] <COMMAND>

        Commands:
          apply        Put a configuration file in force
          status       Show instances, services and leafs
          moves        Show rollouts: done, running, taken back, and why
          query        Send a query to an entry instance
          timeline     Show events of all instances, sorted by time
          check        Check a file without sending it
          completions  Print a completion script
          help         Print this message or the help of the given subcommand(s)

        Options:
              --instance <ADDR>  The control address of an instance; repeat it or separate several by commas
                                 [env: CAMPHORHOLD_INSTANCES=]
              --json             Print JSON instead of text
          -h, --help             Print help
          -V, --version          Print version

        Exit codes:
          0  done
          1  refused or rejected
          2  wrong usage or a bad file
          3  no instance answered
          4  the outcome is unknown

        Examples:
          camphorhold check examples/almisse.toml
          camphorhold --instance 10.0.0.1:7100 apply examples/almisse.toml --dry-run
          camphorhold --instance 10.0.0.1:7100,10.0.1.1:7100 apply examples/almisse.toml
          camphorhold --instance 10.0.0.1:7100 moves
          camphorhold --instance 10.0.0.1:7100 timeline --move round-app-v2
          camphorhold query --entry 10.0.0.1:7000 --tenant almisse --service roster \
              --route search '{"name":"kim"}'
    "#]].assert_eq(&output.stdout);
    assert_eq!(output.code, Some(0));
}

/// Guards against diagnostics that show the wrong place in the file, or only the first problem. The
/// file has two values that are not permitted; text and JSON must show the location of both.
#[tokio::test]
async fn check_points_at_every_problem() {
    let text = FILE
        .replace("slots = 2", "slots = 0")
        .replace("failure_domain = \"a\"", "failure_domain = \"c\"");
    let file = file(&text);
    let output = run(&["check", path(&file)]).await;
    let shown = output.stderr.replace(path(&file), "FILE");
    expect![[r#"
          × slots must be at least 1
            ╭─[FILE:10:9]
          9 │ deadline = "120ms"
         10 │ slots = 0
            ·         ┬
            ·         ╰── here
         11 │ connections = 25
            ╰────

          × failure domain c is not listed
            ╭─[FILE:22:18]
         21 │ shard = 0
         22 │ failure_domain = "c"
            ·                  ─┬─
            ·                   ╰── here
            ╰────

        camphorhold: the file is not valid: 2 problem(s)
    "#]]
    .assert_eq(&shown);
    assert_eq!(output.stdout, "");
    assert_eq!(output.code, Some(2));
    let output = run(&["--json", "check", path(&file)]).await;
    expect![[r#"
        {
          "problems": [
            {
              "end": 130,
              "message": "slots must be at least 1",
              "start": 129
            },
            {
              "end": 304,
              "message": "failure domain c is not listed",
              "start": 301
            }
          ]
        }
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(2));
}

/// Guards against a check that rejects a valid file, or that does not summarise what it has found.
#[tokio::test]
async fn check_accepts_a_valid_file() {
    let file = file(FILE);
    let output = run(&["check", path(&file)]).await;
    let shown = output.stdout.replace(path(&file), "FILE");
    expect![[r#"
        FILE: valid, 1 services, 1 leafs, 0 rollouts
    "#]]
    .assert_eq(&shown);
    assert_eq!(output.code, Some(0));
}

/// Guards against exit codes other than the documented ones, which scripts depend on: 2 for wrong
/// usage or a bad file, 3 when no instance answers.
#[tokio::test]
async fn failures_have_the_documented_exit_codes() {
    let closed = CLOSED.to_string();
    let bad = file("system = 1");
    let cases: [(&[&str], i32); 7] = [
        (&["status"], 2),
        (&["status", "--no-such-option"], 2),
        (&["check", "/no/such/file"], 2),
        (&["--instance", &closed, "apply", path(&bad)], 2),
        (&["--instance", &closed, "status"], 3),
        (&["--instance", &closed, "moves"], 3),
        (&["--instance", &closed, "timeline"], 3),
    ];
    for (arguments, code) in cases {
        let output = run(arguments).await;
        assert_eq!(output.code, Some(code), "{arguments:?}: {}", output.stderr);
    }
}

/// Guards against a completion script that is registered for another program name, which the shell
/// would never use.
#[tokio::test]
async fn completions_are_for_this_program() {
    let output = run(&["completions", "bash"]).await;
    assert!(output.stdout.contains("complete -F _camphorhold"));
    assert_eq!(output.code, Some(0));
}
