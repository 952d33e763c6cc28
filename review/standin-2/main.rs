//! The cases of the second review that are scripts. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod joined;
mod lab;
mod odd_entry;
mod slow_reader;
mod smuggled;

use std::{path::PathBuf, process::exit};

use lab::{Record, limit_time, ms};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &*arguments else {
        eprintln!("usage: lab-2 CASE FOLDER");
        exit(2);
    };
    limit_time(ms(115_000));
    let record = Record::new();
    let run = match case.as_str() {
        "joined" => joined::run,
        "odd-entry" => odd_entry::run,
        "slow-reader" => slow_reader::run,
        "smuggled" => smuggled::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let verdict = run(&record);
    let (code, text) = match &verdict {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(problem) => (2, format!("the case could not run: {problem}")),
    };
    record.add(&text);
    record.write(&PathBuf::from(folder).join("record.txt"));
    println!("{text}");
    exit(code);
}
