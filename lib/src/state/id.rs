//! Newtypes for the identifiers of the tier.

use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Defines an identifier that wraps an unsigned integer and prints in decimal.
macro_rules! decimal_id {
    ($(#[$attribute:meta])* $name:ident($integer:ty)) => {
        $(#[$attribute])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $integer);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

/// Defines an identifier that wraps an unsigned integer and prints in fixed-width hexadecimal.
///
/// Serialises as its hexadecimal text, because JSON numbers lose precision above 2^53.
macro_rules! hex_id {
    ($(#[$attribute:meta])* $name:ident($integer:ty), $width:literal) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $integer);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$integer>::from_str_radix(text, 16).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: serde::Serializer,
            {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    text.parse().map_err(serde::de::Error::custom)
                } else {
                    <$integer>::deserialize(deserializer).map(Self)
                }
            }
        }
    };
}

/// The error returned when a name is empty, too long or has a character outside `[A-Za-z0-9._:-]`.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text:?} is not a name: use 1 to {MAX_NAME_LENGTH} of the characters A-Z a-z 0-9 . _ : -")]
pub struct InvalidName {
    /// The rejected text, truncated to [`MAX_NAME_LENGTH`] characters.
    pub text: Box<str>,
}

/// The longest permitted name, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;

fn check_name(text: &str) -> Result<(), InvalidName> {
    let permitted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    if text.is_empty() || text.len() > MAX_NAME_LENGTH || !text.chars().all(permitted) {
        let text = text.chars().take(MAX_NAME_LENGTH).collect();
        return Err(InvalidName { text });
    }
    Ok(())
}

/// Defines an identifier that wraps a validated name.
macro_rules! name_id {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.into_string()
            }
        }
    };
}

hex_id!(
    /// Identifies one run of a daemon process. The process draws it at random at start, so a
    /// restarted process is a new instance.
    InstanceId(u64), 16
);
hex_id!(
    /// Identifies one attempt of an operator to change the control record. A resent request carries
    /// the same id.
    OperationId(u128), 32
);
hex_id!(
    /// Identifies one request of a caller in logs and on the timeline.
    RequestId(u128), 32
);
hex_id!(
    /// A hash of the content of a request: equal requests have equal fingerprints.
    Fingerprint(u64), 16
);
hex_id!(
    /// Identifies one run of a backend server process, as reported by the server.
    ServerIncarnation(u64), 16
);
decimal_id!(
    /// The version of the control record: rises by one with each change, from 0.
    Generation(u64)
);
decimal_id!(
    /// The version of the operators' file: rises by one with each accepted file. 0 means that there
    /// is none.
    Revision(u64)
);
decimal_id!(
    /// Numbers a shard within a service, from 0.
    ShardId(u32)
);
decimal_id!(
    /// Identifies an index snapshot of a service. Later snapshots have higher numbers.
    SnapshotId(u64)
);
decimal_id!(
    /// Identifies a partition map of a service: which key belongs to which shard.
    PartitionId(u64)
);
name_id!(
    /// Names a service, for instance `round-app`.
    ServiceName
);
name_id!(
    /// Names a failure domain: backend servers and instances that may fail together.
    FailureDomain
);
name_id!(
    /// Names a tenant: a group of callers with its own share of capacity.
    Tenant
);
name_id!(
    /// Names a version of a service. Each version has its own leafs.
    VersionName
);
name_id!(
    /// Names a route of a service: one kind of request.
    Route
);
name_id!(
    /// Names a rollout, which moves traffic from an old to a new version.
    RolloutId
);
name_id!(
    /// Identifies a non-idempotent request across all its attempts; chosen by the caller.
    IdempotencyKey
);

/// Identifies a leaf: a backend server's replica of one shard, by the address it listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeafId(pub SocketAddr);

impl fmt::Display for LeafId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LeafId {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
