//! Entry point of the `lavenderplank` binary.

fn main() -> std::process::ExitCode {
    lavenderplank::run()
}
