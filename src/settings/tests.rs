use super::*;

const VALID: &str = "\
host: kt-1
member: himalaya-tara
region: bagmati
zone: bagmati-a
http: 127.0.0.1:0
rpc: 127.0.0.1:0
platform: 127.0.0.1:9000
manifest_key: 3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c
";

#[test]
fn valid_settings_are_parsed() {
    let settings = Settings::parse(VALID, "h.yaml").unwrap();
    assert_eq!(&*settings.zone, "bagmati-a");
    assert_eq!(settings.log, LogSettings::default());
    assert!(settings.verifying_key().is_ok());
}

#[test]
fn each_problem_reports_line_field_and_fix() {
    let table = [
        ("colour: red\n", "h.yaml:9: colour: unknown field `colour`; expected one of"),
        ("http: 127.0.0.1:1\n", "h.yaml:1: duplicate field `http`; give it once"),
        ("ingress: {connections: 0}\n", "h.yaml:9: ingress.connections: is out of range; give 1"),
        ("ingress: {silence: 3}\n", "h.yaml:9: ingress.silence: unknown field `silence`; expected"),
        ("peers: [127.0.0.1:0]\n", "h.yaml:9: peers[0]: has port 0; give a port"),
        ("metrics: 0.0.0.0:8125\n", "h.yaml:9: metrics: has no IP address; give"),
        ("log: {level: loud}\n", "h.yaml:9: log.level: unknown variant `loud`; expected one of"),
        ("peers: 7\n", "h.yaml:9: peers: invalid type: integer `7`; expected a sequence"),
    ];
    for (added, expected) in table {
        let problem = Settings::parse(&format!("{VALID}{added}"), "h.yaml").unwrap_err();
        assert!(problem.to_string().starts_with(expected), "{problem}");
    }
}

#[test]
fn secrets_are_hidden_and_trimmed() {
    let secret = Secret::new("open sesame\n");
    assert_eq!(format!("{secret:?}"), "Secret(hidden)");
    assert_eq!(secret, Secret::new("open sesame"));
    assert_ne!(secret, Secret::new("open"));
}
