//! Record of what was sent, answered and run, and the runs for the judge.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task on a worker, by the worker's own word.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began: u64,
    pub ended: Option<(u64, String)>,
    /// When the worker listed the end for the first time, and when a cursor reached it.
    pub acked: Option<u64>,
    pub end_number: u64,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Workers whose lease lapsed, and when.
    pub lapses: Arc<Mutex<Vec<(String, u64)>>>,
}

impl Record {
    pub fn open(path: &std::path::Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))), runs: Arc::default(), lapses: Arc::default() }
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} {}", self.now(), text.as_ref()).ok();
        file.flush().ok();
    }

    /// As `note`, and on the standard output too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:>7} {}", self.now(), text.as_ref());
        self.note(text);
    }

    pub fn lapse(&self, worker: &str) {
        self.lapses.lock().unwrap().push((worker.to_owned(), self.now()));
        self.note(format!("the lease lapses worker={worker}"));
    }

    pub fn begin(&self, task: &str, run: u64, worker: &str) {
        let began = self.now();
        self.runs.lock().unwrap().push(Run {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            began,
            ended: None,
            acked: None,
            end_number: 0,
        });
        self.note(format!("run begins task={task} run={run} worker={worker}"));
    }

    pub fn end(&self, task: &str, run: u64, worker: &str, how: &str, number: u64) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .rev()
            .find(|known| known.task == task && known.run == run && known.worker == worker && known.ended.is_none());
        if let Some(found) = found {
            found.ended = Some((now, how.to_owned()));
            found.end_number = number;
        }
        drop(runs);
        self.note(format!("run ends task={task} run={run} worker={worker} how={how} number={number}"));
    }

    pub fn acked(&self, worker: &str, numbers: &[(String, u64)], cursor: u64) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        for (task, run) in numbers {
            if let Some(found) = runs
                .iter_mut()
                .rev()
                .find(|known| known.task == *task && known.run == *run && known.worker == worker && known.acked.is_none())
            {
                found.acked = Some(now);
            }
        }
        drop(runs);
        self.note(format!("ends taken note of worker={worker} cursor={cursor} ends={}", numbers.len()));
    }
}
