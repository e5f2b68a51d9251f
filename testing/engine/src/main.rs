//! `snipegate-standin-engine`: serves a stand-in for a model engine and a plain
//! service, for tests and demos.

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

fn variable_name(name: &str) -> String {
    let name = name.replace('-', "_").to_uppercase();
    format!("SNIPEGATE_STANDIN_ENGINE_{name}")
}

fn env_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable_name(name))
        .default_value(default)
        .help(help)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    env_arg(name, default, help).value_parser(value_parser!(u64))
}

fn command() -> Command {
    Command::new("snipegate-standin-engine")
        .about("Pretends to be a model engine and a plain service")
        .arg(
            env_arg(
                "listen",
                "127.0.0.1:0",
                "Address to serve on; port 0 takes a free one",
            )
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(env_arg("name", "engine", "Name in the records"))
        .arg(
            env_arg(
                "models",
                "",
                "Models served, separated by commas; any if empty",
            )
            .value_delimiter(','),
        )
        .arg(env_arg("version", "1", "Version of the models"))
        .arg(number_arg("slots", "16", "Requests in one batch"))
        .arg(number_arg(
            "prefill-us",
            "50",
            "Microseconds for each uncached prompt token",
        ))
        .arg(number_arg(
            "decode-us",
            "5000",
            "Microseconds for each output token",
        ))
        .arg(number_arg(
            "decode-per-request-us",
            "200",
            "Microseconds that each other running request adds to an output token",
        ))
        .arg(number_arg(
            "cache-blocks",
            "4096",
            "Blocks of 256 bytes in the prefix cache",
        ))
        .arg(number_arg("load-lag-ms", "200", "Age of load reports"))
        .arg(number_arg("event-lag-ms", "200", "Age of cache events"))
        .arg(
            env_arg(
                "event-gap",
                "0.01",
                "Probability that a cache event is lost",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .env(variable_name("ignore-fencing"))
                .action(ArgAction::SetTrue)
                .help("Carries out orders with old fencing numbers"),
        )
        .arg(number_arg(
            "service-ms",
            "5",
            "Time that a plain service's call takes",
        ))
        .arg(number_arg("seed", "0", "Seed of everything random"))
}

fn number_value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn text_value(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let models = matches.get_many::<String>("models").unwrap_or_default();
    EngineSettings {
        name: text_value(matches, "name"),
        models: models.filter(|name| !name.is_empty()).cloned().collect(),
        version: text_value(matches, "version"),
        slots: number_value(matches, "slots") as usize,
        prefill: Duration::from_micros(number_value(matches, "prefill-us")),
        decode: Duration::from_micros(number_value(matches, "decode-us")),
        decode_per_request: Duration::from_micros(number_value(matches, "decode-per-request-us")),
        cache_blocks: number_value(matches, "cache-blocks") as usize,
        load_lag: Duration::from_millis(number_value(matches, "load-lag-ms")),
        event_lag: Duration::from_millis(number_value(matches, "event-lag-ms")),
        event_gap: matches.get_one("event-gap").copied().unwrap_or_default(),
        honours_fencing: !matches.get_flag("ignore-fencing"),
        service_time: Duration::from_millis(number_value(matches, "service-ms")),
        seed: number_value(matches, "seed"),
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
