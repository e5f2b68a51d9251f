//! Settings are validated when the command-line arguments are parsed.

use std::time::Duration;

use clap::Command;
use snipegate_service::ProcessSettings;
use snipegate_service::add_process_settings;
use snipegate_service::duration_setting;

fn command() -> Command {
    add_process_settings(Command::new("test"), "127.0.0.1:0", "127.0.0.1:0")
        .arg(duration_setting("horizon", "8s", "A span"))
}

const REQUIRED_ARGS: [&str; 7] = [
    "test",
    "--vm",
    "vm-1",
    "--data-centre",
    "mvd-centro",
    "--region",
    "uy-sur",
];

#[test]
fn complete_settings_are_accepted() {
    let matches = command().try_get_matches_from(REQUIRED_ARGS).unwrap();
    let settings = ProcessSettings::from_matches(&matches);
    assert_eq!(settings.vm.to_string(), "vm-1");
    assert_eq!(
        matches.get_one::<Duration>("horizon"),
        Some(&Duration::from_secs(8))
    );
}

#[test]
fn error_names_the_setting_its_value_and_the_accepted_values() {
    let cases = [
        ("--listen", "nowhere", "IP:PORT"),
        ("--log-format", "xml", "text|json"),
        ("--horizon", "8", "number followed by ms, s or min"),
        ("--workers", "many", "NUMBER"),
    ];
    for (setting, value, accepted) in cases {
        let args = REQUIRED_ARGS.iter().copied().chain([setting, value]);
        let text = command()
            .try_get_matches_from(args)
            .unwrap_err()
            .to_string();
        for part in [setting, value, accepted] {
            assert!(text.contains(part), "{part} is missing from: {text}");
        }
    }
}
