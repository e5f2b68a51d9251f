//! Settings are checked before anything starts.

use std::time::Duration;

use clap::Command;
use snipegate_service::ProcessSettings;
use snipegate_service::duration_setting;
use snipegate_service::process_settings;

fn command() -> Command {
    process_settings(Command::new("test"), "127.0.0.1:0", "127.0.0.1:0")
        .arg(duration_setting("horizon", "8s", "A span"))
}

const NEEDED: [&str; 7] = [
    "test",
    "--vm",
    "vm-1",
    "--data-centre",
    "mvd-centro",
    "--region",
    "uy-sur",
];

#[test]
fn accepts_complete_settings() {
    let matches = command().try_get_matches_from(NEEDED).unwrap();
    let settings = ProcessSettings::from_matches(&matches);
    assert_eq!(settings.vm.to_string(), "vm-1");
    assert_eq!(
        matches.get_one::<Duration>("horizon"),
        Some(&Duration::from_secs(8))
    );
}

#[test]
fn bad_setting_names_setting_value_and_what_is_accepted() {
    let cases = [
        ("--listen", "nowhere", "IP:PORT"),
        ("--log-format", "xml", "text|json"),
        ("--horizon", "8", "number followed by ms, s or min"),
        ("--workers", "many", "NUMBER"),
    ];
    for (setting, value, accepted) in cases {
        let line = NEEDED.iter().copied().chain([setting, value]);
        let text = command()
            .try_get_matches_from(line)
            .unwrap_err()
            .to_string();
        for part in [setting, value, accepted] {
            assert!(text.contains(part), "{part} is missing from: {text}");
        }
    }
}
