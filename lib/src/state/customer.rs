//! The customers whose keys callers send, and the digests of their keys.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

/// The SHA-256 digest of a key. Its debug form does not show it: short keys can be found from their
/// digests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A customer, without its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The name, which leafs and other instances are told.
    pub name: Arc<str>,
    /// The priority of its requests in place of that of their routes, if it has one; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
}

/// Why keys of the configuration belong to nobody. The texts name customers, never keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Several customers have the same key.
    #[error("{} customers have the same key, which belongs to none of them: {}", .0.len(), join(.0))]
    SharedKey(Vec<Arc<str>>),
    /// A customer has an empty key.
    #[error("the customer {0} has an empty key, which no request can carry")]
    EmptyKey(Arc<str>),
    /// The name of a customer cannot be the value of a header.
    #[error("the customer name {0:?} cannot be sent in a header; its keys belong to nobody")]
    UnusableName(Arc<str>),
}

fn join(names: &[Arc<str>]) -> String {
    names.join(", ")
}

/// Whom a key belongs to.
#[derive(Clone, Debug)]
enum Owner {
    One(Arc<Customer>),
    // The names of at least two customers.
    Several(BTreeSet<Arc<str>>),
}

/// The customers of one version of the configuration. Entries with the same name are one customer.
#[derive(Clone, Debug, Default)]
pub struct Customers {
    owners: HashMap<KeyDigest, Owner>,
    by_name: HashMap<Arc<str>, Arc<Customer>>,
    problems: Vec<Problem>,
}

impl Customers {
    /// Adds a customer with its keys, of which only the digests are kept.
    pub fn add<'a, Keys>(&mut self, customer: Customer, keys: Keys)
    where
        Keys: IntoIterator<Item = &'a [u8]>,
    {
        let name = Arc::clone(&customer.name);
        if !is_usable_name(&name) {
            self.problems.push(Problem::UnusableName(name));
            return;
        }
        let customer = self
            .by_name
            .entry(Arc::clone(&name))
            .or_insert_with(|| Arc::new(customer));
        for key in keys {
            if key.is_empty() {
                self.problems.push(Problem::EmptyKey(Arc::clone(&name)));
                continue;
            }
            let owner = self
                .owners
                .entry(KeyDigest::new(key))
                .or_insert_with(|| Owner::One(Arc::clone(customer)));
            match owner {
                Owner::One(other) if other.name == name => {}
                Owner::One(other) => {
                    let names = [Arc::clone(&other.name), Arc::clone(&name)];
                    *owner = Owner::Several(names.into());
                }
                Owner::Several(names) => {
                    names.insert(Arc::clone(&name));
                }
            }
        }
    }

    /// Returns the customer that a key belongs to. A key of several customers belongs to none.
    #[must_use]
    pub fn find(&self, key: KeyDigest) -> Option<&Customer> {
        match self.owners.get(&key)? {
            Owner::One(customer) => Some(customer),
            Owner::Several(_) => None,
        }
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Customer> {
        self.by_name.get(name).map(|customer| &**customer)
    }

    /// Returns the number of customers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there is no customer, so that no key is accepted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of different keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.owners.len()
    }

    /// Returns why keys belong to nobody, each reason once.
    #[must_use]
    pub fn problems(&self) -> Vec<Problem> {
        let shared: BTreeSet<&BTreeSet<Arc<str>>> = self
            .owners
            .values()
            .filter_map(|owner| match owner {
                Owner::One(_) => None,
                Owner::Several(names) => Some(names),
            })
            .collect();
        let mut problems = self.problems.clone();
        problems.dedup();
        problems.extend(
            shared
                .into_iter()
                .map(|names| Problem::SharedKey(names.iter().cloned().collect())),
        );
        problems
    }
}

/// Returns whether a name arrives unchanged as the value of a header.
fn is_usable_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}
