//! Exit codes of the binary.

/// How a subcommand ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Bad arguments or bad input; what is wrong was printed.
    BadInput,
    Done,
    /// A promise was broken, a conflict, a refusal.
    Failed,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::BadInput => 2.into(),
            Exit::Done => 0.into(),
            Exit::Failed => 1.into(),
        }
    }
}
