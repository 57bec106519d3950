//! Converts between the protocol messages and the types of the leaf's state machine.

use camphorhold::coordination::call::NotRun;
use camphorhold::coordination::dispatch;
use camphorhold::coordination::warmth;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::leaf::Temperature;
use camphorhold::protocol::peer::Failure;

pub fn status(status: Status) -> dispatch::Status {
    match status {
        Status::Ok => dispatch::Status::Ok,
        Status::Shed => dispatch::Status::Shed,
        Status::Draining => dispatch::Status::Draining,
        Status::NotStarted => dispatch::Status::NotStarted,
        Status::WrongSnapshot => dispatch::Status::WrongSnapshot,
        Status::Failed => dispatch::Status::Failed,
    }
}

pub fn temperature(temperature: Temperature) -> warmth::Temperature {
    match temperature {
        Temperature::Cold => warmth::Temperature::Cold,
        Temperature::Warm => warmth::Temperature::Warm,
    }
}

pub fn refusal(reason: NotRun) -> Failure {
    match reason {
        NotRun::OwnershipUnconfirmed | NotRun::NotOwner => Failure::NotOwner,
        NotRun::Draining(_) => Failure::Draining,
        NotRun::QueueFull => Failure::Overloaded,
        NotRun::Shed => Failure::Shed,
        NotRun::QueueTimeout
        | NotRun::DeadlineTooClose
        | NotRun::Cancelled
        | NotRun::NotStarted
        | NotRun::NotWritten => Failure::NotStarted,
    }
}

pub fn failure(cause: dispatch::Failure) -> Failure {
    match cause {
        dispatch::Failure::ResetAfterSent => Failure::Reset,
        dispatch::Failure::Timeout | dispatch::Failure::Cancelled => Failure::Timeout,
        dispatch::Failure::MismatchedAnswer => Failure::Invalid,
    }
}
