//! Placeholder until the process is built.

fn main() {}
