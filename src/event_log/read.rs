//! Reads log files line by line.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Read},
    path::Path,
};

/// Maximum length of a line; no event is longer.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Calls `f` with the JSON text of each line; `None` for a line without any. Collectors may put a
/// time or a name before a line, so the JSON text begins at the first brace. Fails if the file
/// can't be read.
pub fn for_each_json(path: &Path, mut f: impl FnMut(Option<&[u8]>)) -> io::Result<()> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut text = Vec::new();
    loop {
        text.clear();
        let mut limited = Read::take(&mut reader, MAX_LINE_BYTES);
        if limited.read_until(b'\n', &mut text)? == 0 {
            return Ok(());
        }
        f(text.iter().position(|byte| *byte == b'{').map(|at| &text[at..]));
    }
}
