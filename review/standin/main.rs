//! Plays one case: `scenario NAME RECORD`. Ends with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.

mod http;
mod json;
mod returns;
mod store;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let record = arguments.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match name.as_str() {
        "stop" => returns::stop(trouble, &record),
        "restart" => returns::restart(trouble, &record),
        "removed" => returns::removed(trouble, &record),
        "kill" => returns::kill(trouble, &record),
        _ => 2,
    };
    std::process::exit(code);
}
