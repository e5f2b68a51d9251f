//! Measures how the costs of the ledger scale and prints the results as JSON.
//!
//! `cargo run --release -p snipegate-ledger --example ledger_slopes`

mod bench;
mod growth;

use serde_json::json;

fn main() {
    // Measured first, so that reuse of memory freed by other measurements does
    // not distort it.
    let memory = growth::memory();
    let report = json!({
        "memory": memory,
        "record_bytes": growth::record_bytes(),
        "group_commit": bench::group_commit(),
        "processor_time": growth::processor_time(),
        "snapshot": growth::snapshot(),
        "takeover": bench::takeover(),
    });
    match serde_json::to_string_pretty(&report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("failed to encode report: {error}"),
    }
}
