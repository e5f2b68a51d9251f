//! `snipegate-standin-engine`: a model engine and a plain service for tests
//! and demos.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use snipegate_standin_engine::EngineSettings;
use snipegate_standin_engine::EngineState;
use snipegate_standin_engine::configure;

fn variable(name: &str) -> String {
    let name = name.replace('-', "_").to_uppercase();
    format!("SNIPEGATE_STANDIN_ENGINE_{name}")
}

fn setting(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable(name))
        .default_value(default)
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    setting(name, default, help).value_parser(value_parser!(u64))
}

fn command() -> Command {
    Command::new("snipegate-standin-engine")
        .about("Pretends to be a model engine and a plain service")
        .arg(
            setting(
                "listen",
                "127.0.0.1:0",
                "Address to serve on; port 0 takes a free one",
            )
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(setting("name", "engine", "Name in the records"))
        .arg(
            setting(
                "models",
                "",
                "Models served, separated by commas; any if empty",
            )
            .value_delimiter(','),
        )
        .arg(setting("version", "1", "Version of the models"))
        .arg(number("slots", "16", "Requests in one batch"))
        .arg(number(
            "prefill-us",
            "50",
            "Microseconds for each uncached prompt token",
        ))
        .arg(number(
            "decode-us",
            "5000",
            "Microseconds for each output token",
        ))
        .arg(number(
            "decode-per-request-us",
            "200",
            "Microseconds that each other running request adds to an output token",
        ))
        .arg(number(
            "cache-blocks",
            "4096",
            "Blocks of 256 bytes in the prefix cache",
        ))
        .arg(number("load-lag-ms", "200", "Age of load reports"))
        .arg(number("event-lag-ms", "200", "Age of cache events"))
        .arg(
            setting(
                "event-gap",
                "0.01",
                "Probability that a cache event is lost",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .env(variable("ignore-fencing"))
                .action(ArgAction::SetTrue)
                .help("Carries out orders with old fencing numbers"),
        )
        .arg(number(
            "service-ms",
            "5",
            "Time that a plain service's call takes",
        ))
        .arg(number("seed", "0", "Seed of everything random"))
}

fn count(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let models = matches.get_many::<String>("models").unwrap_or_default();
    EngineSettings {
        name: text(matches, "name"),
        models: models.filter(|name| !name.is_empty()).cloned().collect(),
        version: text(matches, "version"),
        slots: count(matches, "slots") as usize,
        prefill: Duration::from_micros(count(matches, "prefill-us")),
        decode: Duration::from_micros(count(matches, "decode-us")),
        decode_per_request: Duration::from_micros(count(matches, "decode-per-request-us")),
        cache_blocks: count(matches, "cache-blocks") as usize,
        load_lag: Duration::from_millis(count(matches, "load-lag-ms")),
        event_lag: Duration::from_millis(count(matches, "event-lag-ms")),
        event_gap: matches.get_one("event-gap").copied().unwrap_or_default(),
        honours_fencing: !matches.get_flag("ignore-fencing"),
        service_time: Duration::from_millis(count(matches, "service-ms")),
        seed: count(matches, "seed"),
    }
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let state = EngineState::new(settings(&matches));
    let address: SocketAddr = *matches
        .get_one("listen")
        .unwrap_or_else(|| unreachable!("listen has a default"));
    let listener = TcpListener::bind(address)?;
    println!("listening on {}", listener.local_addr()?);
    web::server(async move || App::new().state(state.clone()).configure(configure))
        .workers(1)
        .shutdown_timeout(Seconds::ONE)
        .listen(listener)?
        .run()
        .await
}
