//! Tests of the daemon's start with invalid settings.

use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Output;

use crate::support::cluster::ANY_PORT;
use crate::support::instance::Addresses;
use crate::support::instance::Flags;
use crate::support::instance::command;

fn flags() -> Flags {
    Flags {
        failure_domain: "north".into(),
        store: ANY_PORT,
        instance_list: ANY_PORT,
        balancer_wait: "2s",
    }
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against a daemon that reports only the first invalid value, or listens before it has
/// checked all values. The caller address is taken, so any attempt to listen on it would fail with
/// an error of its own.
#[test]
fn every_invalid_value_is_reported_and_nothing_listens() {
    let addresses = Addresses::free();
    let taken = TcpListener::bind(addresses.caller).expect("the address is free");
    let bad = [
        ("--control-address", "localhost:7100"),
        ("--failure-domain", "not a name"),
        ("--store", "10.0.0.1"),
        ("--store-prefix", ""),
        ("--instance-list", "nowhere"),
        ("--currency-bound", "1ms"),
        ("--gossip-interval", "11s"),
        ("--balancer-wait", "21s"),
        ("--traffic-threads", "0"),
        ("--events-kept", "many"),
        ("--log", "camphorhold=shouting"),
    ];
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_camphorholdd"));
    command
        .arg(format!("--caller-address={}", addresses.caller))
        .arg(format!("--peer-address={}", addresses.peer))
        .arg(format!("--admin-address={}", addresses.admin));
    for (flag, value) in bad {
        command.arg(format!("{flag}={value}"));
    }
    let output = command
        .output()
        .expect("the daemon's binary can be started");
    let text = error_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for (flag, value) in bad {
        assert!(
            text.contains(&format!("{flag} is {value:?}")),
            "{flag}: {text}"
        );
    }
    assert!(!text.contains("cannot listen"), "{text}");
    for address in [addresses.peer, addresses.admin] {
        assert!(TcpStream::connect(address).is_err(), "{address} is open");
    }
    drop(taken);
}

/// Guards against an instance that runs without one of its listeners because another process has
/// its port, and against an error that does not name the flag and the address.
#[test]
fn a_taken_port_is_reported_with_its_flag() {
    for (index, flag) in [
        "--caller-address",
        "--peer-address",
        "--control-address",
        "--admin-address",
    ]
    .into_iter()
    .enumerate()
    {
        let addresses = Addresses::free();
        let all = [
            addresses.caller,
            addresses.peer,
            addresses.control,
            addresses.admin,
        ];
        let taken = TcpListener::bind(all[index]).expect("the address is free");
        let output = command(addresses, &flags())
            .output()
            .expect("the daemon's binary can be started");
        let text = error_text(&output);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(flag), "{flag}: {text}");
        // The error report wraps its lines, so the comparison ignores white space.
        let joined: String = text.split_whitespace().collect();
        assert!(joined.contains(&all[index].to_string()), "{text}");
        drop(taken);
    }
}
