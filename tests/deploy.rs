//! The files with which the users' platform starts hosts.

use lavenderplank::entry::EntrySettings;
use serde_json::{Value, json};

/// What the platform fills in.
fn fields() -> Value {
    json!({
        "nodeName": "edge-ktm-a-1", "ip": "10.1.0.34", "zone": "ktm-a", "region": "bagmati",
        "zones": { "ktm-a": "bagmati", "pkr-a": "gandaki" },
        "seeds": ["10.1.0.34:8544", "10.2.0.34:8544"],
        "listen": {
            "frontend": "10.1.0.34:8548", "ready": "10.1.0.34:8542",
            "control": "10.1.0.34:8544", "directory": "10.1.0.34:8546",
        },
        "internalPortRange": [7540, 7555],
        "limits": { "cpuShare": 0.2 },
        "provider": { "address": "10.200.1.7:8541" },
        "bounds": {
            "grace": "6s", "ttl_max": "5s", "maxShift": 0.15,
            "budgetRatio": 0.2, "budgetSlack": 64.0, "revoke": "5000ms",
            "strictRevocation": true,
        },
    })
}

fn render(template: &str, fields: &Value) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("a placeholder ends");
        let (name, as_json) = match name.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let pointer = format!("/{}", name.replace('.', "/"));
        let value = fields.pointer(&pointer).unwrap_or_else(|| panic!("no field {name}"));
        out.push_str(before);
        match value {
            Value::String(text) if !as_json => out.push_str(text),
            other => out.push_str(&other.to_string()),
        }
        rest = after;
    }
    out + rest
}

fn load(fields: &Value) -> EntrySettings {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let template = std::fs::read_to_string(root.join("deploy/host.yaml.in")).expect("the template");
    let name = format!("lavenderplank-host-{:?}.yaml", std::thread::current().id());
    let path = std::env::temp_dir().join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, render(&template, fields)).expect("a file");
    let settings = EntrySettings::load(&path);
    std::fs::remove_file(&path).expect("the file is there");
    settings.expect("settings")
}

/// The platform fills the template in; the result must be settings that a host accepts. Otherwise
/// no host starts.
#[test]
fn the_filled_template_is_read() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let settings = load(&fields());
    assert_eq!(&*settings.host, "edge-ktm-a-1");
    assert_eq!(settings.listen.gossip, "10.1.0.34:7540".parse().expect("an address"));
    let metrics = settings.listen.metrics.expect("an address of the metrics");
    let system = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    assert!(system.contains(&format!("metrics = \"{}/metrics\"", metrics.port())), "{metrics}");
    let first_free = settings.listen.gossip.port();
    assert!(metrics.port() != first_free && (first_free..=7555).contains(&metrics.port()));
    assert_eq!(&*settings.region_of(&"pkr-a".into()), "gandaki");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.bounds.grace.as_millis(), 6000);
    assert_eq!(settings.capacity(), 20);
}

/// Guards against startup failure on a platform that has no teams and leaves their bounds empty.
#[test]
fn team_bounds_are_optional() {
    assert!(load(&fields()).bounds.max_key_age().is_some());
    let mut fields = fields();
    fields["bounds"]["revoke"] = Value::Null;
    fields["bounds"]["strictRevocation"] = Value::Null;
    assert_eq!(load(&fields).bounds.max_key_age(), None);
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let template = std::fs::read_to_string(root.join("deploy/host.yaml.in")).expect("the template");
    let text = render(&template, &fields).replace("null", "");
    let settings: EntrySettings = serde_norway::from_str(&text).expect("settings");
    assert_eq!(settings.bounds.max_key_age(), None);
}

#[test]
fn the_example_is_read() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    EntrySettings::load(&root.join("examples/entry/host.yaml")).expect("settings");
}
