//! The control thread: feeds the control machine and carries out its actions.

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
pub use self::thread::Parts;
pub use self::thread::spawn;

/// What other threads ask of the control thread.
pub enum Request {
    /// Feeds the machine.
    Input(Box<Input>),
    /// Feeds the machine with an operation, and tells how it ended.
    Operation {
        /// The operation.
        operation: OperationId,
        /// The input that starts it.
        input: Box<Input>,
        /// Told how it ended.
        reply: oneshot::Sender<Result<Accepted, proposal::Error>>,
    },
}

/// Access to the control thread.
#[derive(Clone)]
pub struct Handle {
    requests: mpsc::UnboundedSender<Request>,
    views: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// Feeds the machine. Does nothing once the control thread has ended.
    pub fn input(&self, input: Input) {
        let _ = self.requests.send(Request::Input(Box::new(input)));
    }

    /// Feeds the machine with an operation and waits for its end. `None` means that the control
    /// thread has ended.
    pub async fn operate(
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

    /// Returns the view published last.
    pub fn view(&self) -> Arc<View> {
        self.views.borrow().clone()
    }

    /// Waits for a view. `None` means that the control thread has ended.
    pub async fn wait_for<P>(&self, mut wanted: P) -> Option<Arc<View>>
    where
        P: FnMut(&View) -> bool,
    {
        let mut views = self.views.clone();
        let view = views.wait_for(|view| wanted(view)).await;
        view.ok().map(|view| Arc::clone(&view))
    }

    /// Returns a receiver of the views published from now on.
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }
}
