//! `sign`: from the pipeline's YAML to a signed manifest.

use std::path::{Path, PathBuf};

use eyre::WrapErr;

use super::{Exit, Result, key, output};
use crate::{
    manifest::{ClientBlock, Proposal, SignError, parse_blocks, sign_with_blocks},
    yaml::{self, MAX_FILE_BYTES, Problem},
};

/// Largest list of client blocks, in bytes: room for over a million.
const MAX_BLOCK_FILE: u64 = 64 * 1024 * 1024;

/// Checks and signs a manifest.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example:\n  lavenderplank sign manifest.yaml --key-file pipeline.key --blocks blocks.txt"
)]
pub struct Args {
    /// The manifest in YAML.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Private key of the member's pipeline.
    #[arg(long, value_name = "FILE")]
    key_file: PathBuf,
    /// Further client blocks, one `BLOCK REGION` a line.
    #[arg(long, value_name = "FILE")]
    blocks: Option<PathBuf>,
    /// Where to write it; FILE.signed by default.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Signs; bad input if the manifest has problems.
pub fn run(args: Args) -> Result {
    let signing = key::load(&args.key_file)?;
    let file = args.file.display().to_string();
    let text = match yaml::read_file(&args.file, MAX_FILE_BYTES) {
        Ok(text) => text,
        Err(problem) => return bad_input(&problem),
    };
    let blocks = match args.blocks.as_deref().map(read_blocks).transpose() {
        Ok(blocks) => blocks.unwrap_or_default(),
        Err(problem) => return bad_input(&problem),
    };
    let (signed, parts) = match sign_with_blocks(&text, &blocks, &signing) {
        Ok(signed) => signed,
        Err(SignError::Problems(problems)) => {
            for problem in problems {
                output::complaint(Problem { file: file.as_str().into(), ..problem })?;
            }
            return Ok(Exit::BadInput);
        }
        Err(err) => return bad_input(&format!("{file}: {err}")),
    };
    let out = args.out.clone().unwrap_or_else(|| PathBuf::from(format!("{file}.signed")));
    let manifest = signed.verify_any_member(&signing.verifying_key())?;
    let proposal = Proposal { member: manifest.member, parts, signed };
    std::fs::write(&out, serde_json::to_vec(&proposal)?)
        .wrap_err_with(|| format!("{} can't be written", out.display()))?;
    output::line(format!("{}: signed, {} parts", out.display(), proposal.parts.len()))?;
    Ok(Exit::Done)
}

fn read_blocks(path: &Path) -> std::result::Result<Vec<ClientBlock>, String> {
    let text = yaml::read_file(path, MAX_BLOCK_FILE).map_err(|problem| problem.to_string())?;
    parse_blocks(&text).map_err(|err| format!("{}: {err}", path.display()))
}

fn bad_input(problem: &dyn std::fmt::Display) -> Result {
    output::complaint(problem)?;
    Ok(Exit::BadInput)
}
