//! History checker over the records of concurrent runs.
