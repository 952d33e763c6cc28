//! `check`, `key`, `sign` and `apply` as a pipeline runs them.

use std::{
    fs,
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use lavenderplank::standin::platform::{Faults, Outage, PlatformStandin};

const MANIFEST: &str = include_str!("../examples/himalaya-tara/manifest.yaml");
const HOST: &str = include_str!("../examples/himalaya-tara/host.yaml");

/// A directory that goes with the test.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("lavenderplank-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory can be made");
        Self(path)
    }

    fn write(&self, name: &str, bytes: impl AsRef<[u8]>) -> String {
        let path = self.path(name);
        fs::write(&path, bytes).expect("the file can be written");
        path
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    fn key(&self, name: &str) -> String {
        stdout(&run(&["key", "new", "--out", &self.path(name)])).trim().to_owned()
    }

    fn signed(&self, name: &str, text: &str, key: &str) -> String {
        let file = self.write(name, text);
        let output = run(&["sign", &file, "--key-file", &self.path(key)]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        format!("{file}.signed")
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lavenderplank")).args(args).output().expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_examples_pass() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for member in ["himalaya-tara", "gradski-servis"] {
        for file in ["manifest.yaml", "host.yaml"] {
            let path = root.join(member).join(file).display().to_string();
            let output = run(&["check", &path]);
            assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
            assert!(stdout(&output).contains(member));
        }
    }
}

#[test]
fn nonsense_gets_one_clear_error_and_exit_2() {
    let dir = Dir::new("nonsense");
    let twice = MANIFEST.replace("[bagmati-a, bagmati-b]", "[bagmati-a, bagmati-b, bagmati-a]");
    let capped = MANIFEST.replacen("shift_cap: 0.2", "shift_cap: 1.2", 1);
    let table: [(&str, Vec<u8>, &str); 9] = [
        ("unknown field", format!("{HOST}colour: red\n").into(), ":19: colour: unknown field"),
        ("zone twice", twice.into(), ":9: regions[0].zones[2]: zone bagmati-a is listed twice"),
        ("port 0", HOST.replace(":9000", ":0").into(), ":11: platform: has port 0; give a port"),
        ("cap over 100 %", capped.into(), ".shift_cap: is 1.2; give a share from 0 to 1"),
        ("empty", Vec::new(), ": is empty; give the fields"),
        ("10 MB", vec![b'#'; 10 << 20], ": is larger than 4194304 bytes; keep it to"),
        ("not UTF-8", b"host: \xff\xfe\n".into(), ":1: is not UTF-8 text; save it as UTF-8"),
        ("no YAML", b"host: [".into(), ": "),
        ("binary zeros", vec![0; 100], ": "),
    ];
    for (what, bytes, expected) in table {
        let output = run(&["check", &dir.write("x.yaml", bytes)]);
        let errors = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{what}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{what}: {errors}");
        assert!(errors.contains(expected), "{what}: {errors}");
    }
    assert_eq!(run(&["check", &dir.path("absent.yaml")]).status.code(), Some(2));
}

#[test]
fn a_private_key_is_the_owners_alone_and_never_overwritten() {
    let dir = Dir::new("key");
    let public = dir.key("a.key");
    let mode = fs::metadata(dir.path("a.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(stdout(&run(&["key", "show", &dir.path("a.key")])).trim(), public);
    assert_eq!(run(&["key", "new", "--out", &dir.path("a.key")]).status.code(), Some(1));
    fs::set_permissions(dir.path("a.key"), fs::Permissions::from_mode(0o644)).unwrap();
    assert!(stderr(&run(&["key", "show", &dir.path("a.key")])).contains("chmod 600"));
}

#[test]
fn a_pipeline_applies_and_is_told_what_stands_in_the_way() {
    // The pipeline signs, looks at what would change and applies. A rival's key, an older number,
    // a drain past the cap and a platform that is down are each refused with exit 1; the manifest
    // in force stays as it was.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = runtime.block_on(PlatformStandin::bind(address)).unwrap();
    let platform = standin.address().to_string();
    let dir = Dir::new("apply");
    let (public, rival) = (dir.key("own.key"), dir.key("rival.key"));
    let apply = |file: &str, key: &str, more: &[&str]| {
        let mut args = vec!["apply", file, "--platform", &platform, "--manifest-key", key];
        args.extend(more);
        run(&args)
    };
    let numbered = |number: u32| MANIFEST.replace("sequence: 1", &format!("sequence: {number}"));
    let two = dir.signed("two.yaml", &numbered(2), "own.key");
    let drained = format!("{}drains: [{{ region: bagmati }}]\n", numbered(3));
    let drained = dir.signed("drained.yaml", &drained, "own.key");
    let one = dir.signed("one.yaml", &numbered(1), "own.key");
    let table: [(&str, &str, &[&str], i32, &str); 8] = [
        (&two, &public, &["--dry-run"], 0, "manifest 2: dry-run"),
        (&two, &public, &[], 0, "manifest 2: accepted"),
        (&two, &public, &[], 0, "manifest 2: same"),
        (&two, &rival, &[], 1, "refused: the signature does not match the member's key"),
        (&one, &public, &[], 1, "refused: sequence 2 is accepted already"),
        (
            &drained,
            &public,
            &[],
            1,
            "100.0 % of bagmati's traffic would be served by other regions",
        ),
        (&drained, &public, &["--dry-run"], 1, "would be refused: bookings: 100.0 %"),
        (&drained, &public, &["--json"], 1, "\"result\": \"refused\""),
    ];
    for (file, key, more, code, expected) in table {
        let output = apply(file, key, more);
        let text = stdout(&output) + &stderr(&output);
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(expected), "{text}");
    }
    standin.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let output = apply(&two, &public, &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("does not answer"), "{}", stderr(&output));
    assert_eq!(apply(&dir.path("own.key"), &public, &[]).status.code(), Some(2));
}
