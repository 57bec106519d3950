//! A bound on the memory that incomplete answers occupy, over all connections of an instance.
//!
//! Servers in trouble may send bytes without end. A limit for each answer alone does not bound their
//! sum, and a limit that many such answers share equally would be too small for a proper one. When
//! the budget is used up, the longest answer is given up: it is the one that is most likely to have
//! no end, and the other answers go on.

use std::cell::RefCell;
use std::rc::Rc;

use slab::Slab;
use thiserror::Error;

/// The error returned when an answer is given up because all answers together are too long.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the answers in progress use up the memory reserved for them")]
pub struct Exceeded;

#[derive(Debug)]
struct Reader {
    bytes: usize,
    given_up: bool,
}

#[derive(Debug)]
struct State {
    max_bytes: usize,
    used_bytes: usize,
    readers: Slab<Reader>,
}

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    state: Rc<RefCell<State>>,
}

impl ReadBudget {
    /// Creates a budget of that many bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        let state = State {
            max_bytes,
            used_bytes: 0,
            readers: Slab::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Starts an answer, which has no bytes yet.
    #[must_use]
    pub fn start(&self) -> Reservation {
        let key = self.state.borrow_mut().readers.insert(Reader {
            bytes: 0,
            given_up: false,
        });
        Reservation {
            state: Rc::clone(&self.state),
            key,
        }
    }

    /// Returns the number of bytes that incomplete answers occupy now.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.state.borrow().used_bytes
    }
}

/// The bytes of one incomplete answer. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct Reservation {
    state: Rc<RefCell<State>>,
    key: usize,
}

impl Reservation {
    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer has to be given up: it is the longest one, or was the longest
    /// one when another answer needed its bytes.
    pub fn take(&self, bytes: usize) -> Result<(), Exceeded> {
        let state = &mut *self.state.borrow_mut();
        state.used_bytes += bytes;
        state.readers[self.key].bytes += bytes;
        if state.used_bytes > state.max_bytes {
            // Those that are given up return their bytes with their next read.
            let longest = state
                .readers
                .iter_mut()
                .filter(|(_, reader)| !reader.given_up)
                .max_by_key(|(_, reader)| reader.bytes);
            if let Some((_, longest)) = longest {
                longest.given_up = true;
            }
        }
        if state.readers[self.key].given_up {
            Err(Exceeded)
        } else {
            Ok(())
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        let reader = state.readers.remove(self.key);
        state.used_bytes -= reader.bytes;
    }
}
