//! `ask`: sends one statement of the operators' language to a node, or reads statements
//! interactively.

use std::{env, io::IsTerminal, net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use async_std::task;
use oleandertiller_language::{Statement, complete, parse};
use rustyline::{
    Context, Editor, Helper, completion::Completer, error::ReadlineError, highlight::Highlighter,
    hint::Hinter, history::DefaultHistory, validate::Validator,
};
use tide::http::Method;

use super::{
    bad_usage,
    client::{OperatorRequest, OperatorResponse},
    failure,
};

/// Environment variable with the token; unlike an argument, it is not visible in process lists.
const TOKEN_VAR: &str = "OLEANDERTILLER_TOKEN";

/// Environment variable with the path of the history file; without it no history is kept.
const HISTORY_VAR: &str = "OLEANDERTILLER_HISTORY";

/// Ask a node, or give it a command. Without a line, start a dialogue.
// `help` is a statement of the language, so it must not trigger the usage text.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "ask", help_triggers("-h", "--help"))]
pub struct Ask {
    /// statement such as "show zones"; see "help"
    #[argh(positional)]
    line: Option<String>,

    /// address of the node's operator port
    #[argh(option)]
    node: SocketAddr,

    /// operator's token; default: the variable OLEANDERTILLER_TOKEN
    #[argh(option)]
    token: Option<String>,

    /// print answers as JSON
    #[argh(switch)]
    json: bool,
}

impl Ask {
    pub(super) fn run(mut self) -> ExitCode {
        self.token = self.token.or_else(|| env::var(TOKEN_VAR).ok());
        // A header cannot carry other characters; checked here so that no error prints the token.
        if self.token.as_ref().is_some_and(|token| !token.bytes().all(|b| b.is_ascii_graphic())) {
            return bad_usage("the token holds characters other than visible ASCII ones");
        }
        match self.line.take() {
            Some(line) if self.run_statement(&line) => ExitCode::SUCCESS,
            Some(_) => ExitCode::FAILURE,
            None if std::io::stdin().is_terminal() => self.run_interactive(),
            None => bad_usage("a line is missing, and a dialogue needs a terminal"),
        }
    }

    /// Sends one statement and prints the response; returns whether it succeeded.
    fn run_statement(&self, line: &str) -> bool {
        match parse(line) {
            Ok(Statement::Help) => {
                print!("{}", complete::HELP);
                return true;
            }
            Ok(_) => {}
            Err(error) => {
                eprintln!("{error}");
                return false;
            }
        }
        match task::block_on(self.send(line)) {
            Ok(res) if res.is_success() => {
                println!("{}", res.body.trim_end());
                true
            }
            Ok(res) => {
                eprintln!("{}", res.body.trim_end());
                eprintln!("the node answered with status {}", res.status);
                false
            }
            Err(error) => {
                eprintln!("{error}");
                false
            }
        }
    }

    async fn send(&self, line: &str) -> Result<OperatorResponse, String> {
        let token = self.token.as_deref();
        let req = OperatorRequest {
            method: Method::Post,
            path: "/ask",
            token,
            json: self.json,
            body: line,
        };
        req.send(self.node).await
    }

    fn run_interactive(&self) -> ExitCode {
        let mut editor = match Editor::<StatementHelper, DefaultHistory>::new() {
            Ok(editor) => editor,
            Err(error) => return failure(&format!("the terminal cannot be used: {error}")),
        };
        editor.set_helper(Some(StatementHelper));
        let history = env::var_os(HISTORY_VAR);
        if let Some(file) = &history {
            // The file does not exist before the first interactive session.
            let _ = editor.load_history(file);
        }
        let status = self.read_lines(&mut editor);
        if let Some(Err(error)) = history.map(|file| editor.save_history(&file)) {
            eprintln!("the history was not saved: {error}");
        }
        status
    }

    fn read_lines(&self, editor: &mut Editor<StatementHelper, DefaultHistory>) -> ExitCode {
        loop {
            match editor.readline("> ") {
                Ok(line) if line.trim().is_empty() => {}
                Ok(line) => {
                    let _ = editor.add_history_entry(&line);
                    self.run_statement(&line);
                }
                Err(ReadlineError::Eof | ReadlineError::Interrupted) => return ExitCode::SUCCESS,
                Err(error) => return failure(&format!("no more input: {error}")),
            }
        }
    }
}

/// Completes keywords of the operators' language.
struct StatementHelper;

impl Completer for StatementHelper {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        pos: usize,
        _: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        Ok(complete::complete(line.get(..pos).unwrap_or(line)))
    }
}

impl Hinter for StatementHelper {
    type Hint = String;
}

impl Highlighter for StatementHelper {}

impl Validator for StatementHelper {}

impl Helper for StatementHelper {}
