//! Tables of figures as Markdown and as result files.

use serde::Serialize;

use crate::cmd::CommandResult;

/// Rows of figures of one part.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    name: String,
    seed: u64,
    /// Load average of the machine when the figures were complete.
    load: String,
    head: Vec<String>,
    rows: Vec<Vec<String>>,
    notes: Vec<String>,
}

/// Returns the load average of the machine over one minute.
pub fn mean_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}

impl Table {
    /// Creates an empty table; `head` has the columns' names with `|` between them.
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

    /// Returns the name of the part.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[String]) {
        self.load = mean_load();
        self.rows.push(cells.to_vec());
    }

    /// Adds a line below the table.
    pub fn note(&mut self, note: String) {
        self.notes.push(note);
    }

    /// Prints the table.
    ///
    /// # Errors
    ///
    /// Returns no error; the result fits the subcommands.
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
