//! The processes of the measurement: an upstream, its owner node and an ingress node.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use async_std::task;
use oleandertiller::node::{
    Node,
    config::NodeConfig,
    owner::state::Announcement,
    view::{OwnerInfo, ViewCell},
};
use oleandertiller_model::{
    Intent, KindSpec, Lifecycle, NodeName, ServiceName, ServiceSpec, SystemClock, VersionName,
};
use oleandertiller_routing::limit::LimitConfig;

/// Number of slots that the upstream announces, enough for all load threads.
const SLOTS: u32 = 64;

fn print_line(line: &str) -> io::Result<()> {
    println!("{line}");
    io::stdout().flush()
}

/// Blocks until the parent closes the pipe to standard input.
fn wait_for_parent() -> io::Result<()> {
    io::stdin().read_to_end(&mut Vec::new()).map(|_| ())
}

/// Runs an upstream that echoes the body of every request at once.
pub fn upstream() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    print_line(&listener.local_addr()?.to_string())?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    wait_for_parent()
}

fn serve(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = vec![0; 64 << 10];
    let mut len = 0;
    loop {
        match stream.read(&mut buf[len..])? {
            0 => return Ok(()),
            n => len += n,
        }
        let Some(head) = buf[..len].windows(4).position(|part| part == b"\r\n\r\n") else {
            continue;
        };
        let text = String::from_utf8_lossy(&buf[..head]).into_owned();
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let body = field("content-length: ").and_then(|n| n.parse().ok()).unwrap_or(0);
        if len < head + 4 + body {
            continue;
        }
        let id = field("x-request-id: ").unwrap_or_default();
        let mut response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {body}\r\nx-request-id: {id}\r\n\
             x-upstream-version: v1\r\ncontent-type: text/plain\r\n\r\n"
        )
        .into_bytes();
        response.extend_from_slice(&buf[head + 4..head + 4 + body]);
        stream.write_all(&response)?;
        len = 0;
    }
}

fn config(name: &str) -> NodeConfig {
    let limit = LimitConfig { cold_limit: SLOTS, ..LimitConfig::default() };
    NodeConfig::new(name, "kettle").with_limit(limit)
}

fn fill(view: &ViewCell, owner: OwnerInfo) {
    let mut intent = Intent::default();
    let service = ServiceName::from("kettle");
    let spec = ServiceSpec::new(service.clone(), vec![KindSpec::new("temper")]);
    intent.services.insert(service.clone(), spec);
    view.set_fleet(intent, vec![(service, vec![owner])]);
}

/// Runs a node that owns the upstream.
pub fn owner(upstream: &str) -> io::Result<()> {
    let address: SocketAddr = upstream.parse().map_err(io::Error::other)?;
    let view = ViewCell::default();
    let node = task::block_on(Node::start(config("owner"), SystemClock, view.clone()))?;
    fill(&view, OwnerInfo { lifecycle: Lifecycle::Serving, ..node.owner_info() });
    let announcement = Announcement {
        service: ServiceName::from("kettle"),
        version: VersionName::from("v1"),
        instance: Arc::from("one"),
        address,
        slots: SLOTS,
        lifecycle: Lifecycle::Serving,
    };
    let owner = node.owner().clone();
    owner.announce(announcement.clone()).map_err(|kind| io::Error::other(kind.to_string()))?;
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_secs(1));
            let _ = owner.announce(announcement.clone());
        }
    });
    print_line(&format!("{} {}", node.client_addr(), node.config().inner))?;
    wait_for_parent()
}

/// Runs a node that forwards all calls to the owner.
pub fn ingress(owner: &str) -> io::Result<()> {
    let view = ViewCell::default();
    let node = task::block_on(Node::start(config("ingress"), SystemClock, view.clone()))?;
    let inner = owner.parse().map_err(io::Error::other)?;
    let lifecycle = Lifecycle::Serving;
    let name = NodeName::from("owner");
    fill(&view, OwnerInfo { node: name, inner, lifecycle, ..node.owner_info() });
    print_line(&node.client_addr().to_string())?;
    wait_for_parent()
}
