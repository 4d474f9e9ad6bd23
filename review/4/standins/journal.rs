//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Journal {
    pub began: Instant,
    pub file: Mutex<File>,
}

impl Journal {
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }
}

