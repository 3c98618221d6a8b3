//! Tables of results, printed as Markdown and written as JSON.

use serde::Serialize;

use crate::cmd::CommandResult;

/// Results of one measurement at several sizes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    name: String,
    seed: u64,
    /// Load average of the machine when the last row was added.
    load: String,
    head: Vec<String>,
    rows: Vec<Vec<String>>,
    notes: Vec<String>,
}

/// Returns the load average of the machine over the last minute, or an empty text if it cannot be
/// read.
pub fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}

impl Table {
    /// Creates an empty table; `head` holds the names of the columns, separated by `|`.
    pub fn new(name: &str, head: &str, seed: u64) -> Self {
        Self {
            name: name.into(),
            seed,
            load: String::new(),
            head: head.split('|').map(|column| column.trim().to_owned()).collect(),
            rows: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Returns the name of the measurement, which is part of the name of its result file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Adds a row with one cell for each column.
    pub fn add_row(&mut self, cells: &[String]) {
        self.load = load_average();
        self.rows.push(cells.to_vec());
    }

    /// Adds a line that is printed below the table.
    pub fn add_note(&mut self, note: String) {
        self.notes.push(note);
    }

    /// Prints the table as Markdown.
    ///
    /// # Errors
    ///
    /// Never fails; it returns a [`CommandResult`] so that subcommands can end with it.
    pub fn print(&self) -> CommandResult {
        println!("\n{} (seed {}, load average {})\n", self.name, self.seed, self.load);
        println!("| {} |", self.head.join(" | "));
        println!("|{}", "---|".repeat(self.head.len()));
        for row in &self.rows {
            println!("| {} |", row.join(" | "));
        }
        for note in &self.notes {
            println!("{note}");
        }
        Ok(())
    }
}
