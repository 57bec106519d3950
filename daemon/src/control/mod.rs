//! The control thread: runs the control state machine and carries out its actions.

mod instance_rpc;
mod operator_rpc;
mod peers;
mod platform;
mod releases;
mod store;
mod thread;

use std::sync::Arc;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::proposal;
use camphorhold::coordination::proposal::Accepted;
use camphorhold::state::id::OperationId;
use camphorhold::state::view::View;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

pub use self::peers::client;
pub use self::thread::Dependencies;
pub use self::thread::spawn;

/// A request of another thread to the control thread.
pub enum Request {
    /// Handles an input.
    Input(Box<Input>),
    /// Handles an input that starts an operation, and replies with the result of the operation.
    Operation {
        /// Identifies the operation whose end sends the reply.
        operation: OperationId,
        /// The input that starts it.
        input: Box<Input>,
        /// Receives the result; dropped without one if the control thread ends first.
        reply: oneshot::Sender<Result<Accepted, proposal::Error>>,
    },
}

/// A handle to the control thread for the other threads of the process.
#[derive(Clone)]
pub struct Handle {
    requests: mpsc::UnboundedSender<Request>,
    views: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// Sends an input to the control state machine, without waiting for its effects. Does nothing
    /// after the control thread has ended.
    pub fn input(&self, input: Input) {
        let _ = self.requests.send(Request::Input(Box::new(input)));
    }

    /// Starts an operation with `input` and waits for its result. Returns `None` if the control
    /// thread has ended.
    pub async fn run_operation(
        &self,
        operation: OperationId,
        input: Input,
    ) -> Option<Result<Accepted, proposal::Error>> {
        let (reply, answer) = oneshot::channel();
        let input = Box::new(input);
        let request = Request::Operation {
            operation,
            input,
            reply,
        };
        self.requests.send(request).ok()?;
        answer.await.ok()
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        self.views.borrow().clone()
    }

    /// Waits until the newest view meets a condition; returns at once if it already does. Returns
    /// `None` if the control thread has ended.
    pub async fn wait_for<P>(&self, mut condition: P) -> Option<Arc<View>>
    where
        P: FnMut(&View) -> bool,
    {
        let mut views = self.views.clone();
        let view = views.wait_for(|view| condition(view)).await;
        view.ok().map(|view| Arc::clone(&view))
    }

    /// Returns a receiver that holds the newest view and signals each new one. It may skip views.
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }
}
