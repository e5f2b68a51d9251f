//! Finds tokens for requests whose VM has too few.
//!
//! A VM has one question in flight per workspace, which all its requests of that workspace
//! share, and remembers for a moment what the others answered. So a keeper that does not answer
//! is waited for once, not by each request in turn.

mod choice;
mod questions;
mod search_log;

pub use self::choice::SearchView;
pub use self::choice::TokenSource;
pub use self::choice::next_source;
pub use self::questions::KnownAnswer;
pub use self::questions::OpenQuestion;
pub use self::questions::TokenQuestions;
pub use self::search_log::SearchLog;
