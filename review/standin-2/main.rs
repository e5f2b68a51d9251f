//! Stand-ins and clients of the review's cases. Usage: `standin2 CASE FOLDER`; the variable
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case couldn't run.

mod drill;
mod fleet;
mod http;
mod json;
mod memory;
mod runner;
mod store;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        exit(2);
    };
    let code = match case.as_str() {
        "memory" => memory::run(folder, trouble),
        "drill-all" => drill::run(folder, trouble, drill::Form::AllKilled),
        "drill-one" => drill::run(folder, trouble, drill::Form::OneRemoved),
        _ => 2,
    };
    exit(code);
}
