//! `snipegate-standin-platform`: serves stand-ins for the platform's services, for
//! tests and demos.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use snipegate_standin_platform::PlatformState;
use snipegate_standin_platform::configure;

fn command() -> Command {
    Command::new("snipegate-standin-platform")
        .about("Serves a configuration store, a VM list and a weight store for tests")
        .arg(
            Arg::new("listen")
                .long("listen")
                .env("SNIPEGATE_STANDIN_PLATFORM_LISTEN")
                .help("Address to serve on; port 0 takes a free one, which is printed")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("writes-per-second")
                .long("writes-per-second")
                .env("SNIPEGATE_STANDIN_PLATFORM_WRITES_PER_SECOND")
                .help("Store writes accepted in a second")
                .value_parser(value_parser!(u32))
                .default_value("400"),
        )
        .arg(
            Arg::new("reads-per-second")
                .long("reads-per-second")
                .env("SNIPEGATE_STANDIN_PLATFORM_READS_PER_SECOND")
                .help("Store reads accepted in a second")
                .value_parser(value_parser!(u32))
                .default_value("2000"),
        )
}

fn rate(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one(name).copied().unwrap_or_default()
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let state = PlatformState::new(
        rate(&matches, "writes-per-second"),
        rate(&matches, "reads-per-second"),
    );
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
