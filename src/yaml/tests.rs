use super::*;

#[test]
fn unreadable_files_are_reported() {
    let dir = std::env::temp_dir().join(format!("lavenderplank-yaml-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("x.yaml");
    let table: [(&[u8], &str); 2] = [
        (b"a: \xff\n", "x.yaml:1: is not UTF-8 text; save it as UTF-8"),
        (&[b'#'; MAX_FILE_BYTES as usize + 1], "x.yaml: is larger than 4194304 bytes; keep it to"),
    ];
    for (bytes, expected) in table {
        std::fs::write(&path, bytes).unwrap();
        let problem = read_file(&path, MAX_FILE_BYTES).unwrap_err().to_string();
        assert!(problem.contains(expected), "{problem}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(read_file(&path, MAX_FILE_BYTES).unwrap_err().to_string().contains("cannot be read"));
}

#[test]
fn empty_text_is_reported() {
    for text in ["", "\n  \n", "# nothing\n"] {
        let problem = decode::<serde_norway::Value>(text, "x.yaml").unwrap_err();
        assert_eq!(&*problem.wrong, "is empty", "{text:?}");
    }
}
