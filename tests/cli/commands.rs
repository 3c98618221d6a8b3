//! Subcommands of the binary, run as processes.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, ChildStderr, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use oleandertiller_standin::ports::PortBlock;

use crate::settings::TUUL;

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleandertiller"));
    for variable in ["ASYNC_STD_THREAD_COUNT", "OLEANDERTILLER_TOKEN", "OLEANDERTILLER_HISTORY"] {
        command.env_remove(variable);
    }
    command
}

fn run(args: &[&str]) -> Output {
    binary().args(args).stdin(Stdio::null()).output().unwrap()
}

fn status(args: &[&str]) -> Option<i32> {
    run(args).status.code()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against scripts that take a usage error for a failed check, or the reverse.
#[test]
fn exit_statuses_distinguish_usage_errors_from_failures() {
    assert_eq!(status(&["--help"]), Some(0));
    assert_eq!(status(&["--version"]), Some(0));
    let usage_errors: &[&[&str]] = &[
        &[],
        &["chekc"],
        &["check"],
        &["node"],
        &["ask", "show zones"],
        &["ask", "--node", "localhost"],
        &["ask", "--node", "127.0.0.1:9"],
        &["report"],
        &["report", "--node", "127.0.0.1:9", "--json", "--html"],
        &["demo", "--seconds", "many"],
    ];
    for args in usage_errors {
        assert_eq!(status(args), Some(2), "{args:?}");
    }
    assert_eq!(status(&["node", "--settings", "/no/such/file"]), Some(1));
    assert_eq!(status(&["check", "/no/such/file"]), Some(1));
}

/// Guards against a `check` whose exit status or errors a deployment script cannot use.
#[test]
fn check_reports_by_status_and_line() {
    let dir = tempfile::tempdir().unwrap();
    let check = |text: &str| {
        let file = dir.path().join("node.ini");
        fs::write(&file, text).unwrap();
        run(&["check", file.to_str().unwrap()])
    };
    assert_eq!(check(TUUL).status.code(), Some(0));
    let bad = check(&TUUL.replace("cold-limit = 1", "cold-limt = 1").replace("plain", "xml"));
    assert_eq!(bad.status.code(), Some(1));
    let stderr = text(&bad.stderr);
    assert_eq!(stderr.lines().count(), 2, "{stderr}");
    assert!(stderr.contains("did you mean `cold-limit`?"));
    assert!(stderr.contains("allowed: one of `plain`, `json`"));
}

/// Answers one HTTP request with `answer`, and returns the request.
fn serve_once(answer: &'static str) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let request = read_request(&mut stream);
        stream.write_all(answer.as_bytes()).unwrap();
        request
    });
    (address, server)
}

/// Reads a request head and a body of its content length.
fn read_request(stream: &mut impl Read) -> String {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        request.push(byte[0]);
    }
    let head = text(&request).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")).unwrap_or("0");
    let mut body = vec![0; length.trim().parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    text(&request) + &text(&body)
}

/// Guards against a command that reaches the node without its token or with changed text.
#[test]
fn ask_posts_the_line_with_the_token() {
    let (node, server) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\naccepted r7\n");
    let node = node.to_string();
    let args =
        ["ask", "zone khan-uul out", "--node", &node, "--token", "0123456789abcdef", "--json"];
    let output = run(&args);
    assert_eq!(text(&output.stdout), "accepted r7\n", "{}", text(&output.stderr));
    assert_eq!(output.status.code(), Some(0));
    let request = server.join().unwrap();
    assert!(request.starts_with("POST /ask HTTP/1.1\r\n"), "{request}");
    assert!(request.contains("authorization: Bearer 0123456789abcdef\r\n"), "{request}");
    assert!(request.contains("accept: application/json\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nzone khan-uul out"), "{request}");
}

/// Guards against refused commands that scripts take for accepted ones.
#[test]
fn ask_fails_when_the_node_refuses_or_is_unreachable() {
    let (node, server) = serve_once("HTTP/1.1 401 Unauthorized\r\ncontent-length: 2\r\n\r\nno");
    let output = run(&["ask", "show zones", "--node", &node.to_string()]);
    server.join().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("status 401"));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    assert_eq!(status(&["ask", "show zones", "--node", &closed]), Some(1));
    let misspelt = run(&["ask", "show zons", "--node", &closed]);
    assert_eq!(misspelt.status.code(), Some(1));
    assert!(text(&misspelt.stderr).contains("     ^^^^\n"));
    assert_eq!(status(&["ask", "help", "--node", &closed]), Some(0));
}

/// Guards against a partial report that looks complete.
#[test]
fn report_states_which_nodes_are_missing() {
    let report = r#"{"node":"kettle-1","since-seconds":9,"services":{"kettle":{"temper":{
        "objective-ppm":999000,"series":[],
        "windows":[{"seconds":300,"total":3,"bad":[0,0,0,0,0,0,0,0,0]}]}}}}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
    let answer: &'static str = Box::leak(format!("{head}{report}").into_boxed_str());
    let (node, server) = serve_once(answer);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let node = node.to_string();
    let output = run(&["report", "--node", &node, "--node", &closed, "--json"]);
    assert!(server.join().unwrap().starts_with("GET /report HTTP/1.1\r\n"));
    assert_eq!(output.status.code(), Some(1));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["services"]["kettle"]["temper"]["windows"][0]["total"], 3);
    assert!(json["missing"][&closed].is_string(), "{json}");
}

/// Replaces each port of the example by one of `ports`, so that tests can run in parallel.
fn with_free_ports(settings: &str, ports: &mut PortBlock) -> String {
    const LOOPBACK: &str = "127.0.0.1:";
    let mut parts = settings.split(LOOPBACK);
    let mut text = parts.next().unwrap().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        text.push_str(&format!("{}{rest}", ports.next_address().unwrap()));
    }
    text
}

/// Running node process, killed when dropped.
struct Node {
    child: Child,
    stderr: BufReader<ChildStderr>,
    _ports: PortBlock,
}

impl Node {
    fn start(dir: &Path, settings: &str) -> Self {
        let file = dir.join("node.ini");
        let mut ports = PortBlock::reserve();
        fs::write(&file, with_free_ports(settings, &mut ports)).unwrap();
        let mut child = binary()
            .args(["node", "--settings", file.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let mut node = Self { child, stderr, _ports: ports };
        assert!(node.line().contains("starting"));
        assert!(node.line().contains("running"));
        node
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.stderr.read_line(&mut line).unwrap();
        line
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Returns the number of the process's threads with the given name.
    fn threads(&self, name: &str) -> usize {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let names =
            tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("comm")).ok());
        names.filter(|comm| comm.trim() == name).count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against an executor that ignores `threads` and starts one thread for each core.
#[test]
fn node_runs_as_many_threads_as_the_settings_say() {
    for threads in [1, 3] {
        let dir = tempfile::tempdir().unwrap();
        let settings = TUUL.replace("threads = 2", &format!("threads = {threads}"));
        let node = Node::start(dir.path(), &settings);
        let deadline = Instant::now() + Duration::from_secs(5);
        while node.threads("oleander-worker") < threads && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        // Any surplus threads have started by then.
        thread::sleep(Duration::from_millis(200));
        assert_eq!(node.threads("oleander-worker"), threads);
        assert_eq!(node.threads("async-std/runti"), 0);
    }
}

/// Guards against a stop signal that ends the node without a graceful shutdown.
#[test]
fn node_shuts_down_gracefully_on_a_signal() {
    for signal in ["TERM", "INT"] {
        let dir = tempfile::tempdir().unwrap();
        let mut node = Node::start(dir.path(), TUUL);
        node.signal(signal);
        let line = node.line();
        let expected = format!(r#"from="running" to="draining" why="SIG{signal}""#);
        assert!(line.contains(&expected), "{line}");
        assert!(node.line().contains(r#"from="draining" to="stopped""#));
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    }
}

/// Guards against JSON log lines that a collector cannot parse.
#[test]
fn json_log_lines_have_the_attributes() {
    let dir = tempfile::tempdir().unwrap();
    let mut node = Node::start(dir.path(), &TUUL.replace("format = plain", "format = json"));
    node.signal("TERM");
    let line: serde_json::Value = serde_json::from_str(&node.line()).unwrap();
    let attributes = &line["attributes"];
    assert_eq!(attributes["what"], "node kettle-1");
    assert_eq!(attributes["from"], "running");
    assert_eq!(attributes["to"], "draining");
    assert_eq!(attributes["why"], "SIGTERM");
}
