//! Placeholder until the stand-in is built.

fn main() {}
