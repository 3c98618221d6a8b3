//! The guide's pages on settings, generated from the tables of keys.

use std::fmt::Write;

use super::{
    mesh,
    table::{KEYS, Key},
};

const HEAD: &str = "\
# Settings

<!-- Generated from src/settings/table.rs; `UPDATE_GUIDE=1 cargo test --test cli` rewrites it. -->

A node reads one INI file. `oleandertiller check FILE` reports every error in the file at once, each
with its section, key and line, what was found and what is allowed. Its exit status is 0 for good
settings, 1 for bad ones and 2 for bad usage.

Comments stand on lines of their own and start with `#` or `;`. Quotes and backslashes stand for
themselves. A key that has no default must be stated.
";

const TAIL: &str = "
## `[operators]`

One line for each operator: `NAME = TOKEN`. The name is the author that the history shows. A token
has at least 16 visible ASCII characters; no error or log line shows it.

## `[service NAME]`

Services of the initial configuration, which the first node of a new fleet writes to the store. Once
the store holds a configuration, `put service` changes it and these sections have no effect. Each
request kind is one line:

```ini
[service kettle]
kind temper = weight 10, idempotent, deadline 50ms, objective 99.9%
kind calibrate = weight 1, idempotent, internal, deadline 500ms
```

| attribute | meaning | default |
|---|---|---|
| `weight N` | relative weight of a correct answer; heavier kinds are shed last | 1 |
| `idempotent` | running it again does no harm | one of these two must be stated |
| `at most once` | it must never run twice | |
| `internal` | only other services call it | no |
| `deadline TIME` | deadline of requests that name none | 1s |
| `max-deadline TIME` | longest deadline accepted | 30s |
| `objective SHARE` | share of requests that get a correct answer within their deadline | 99.9% |
";

const MESH_HEAD: &str = "\
# Settings of mesh nodes

<!-- Generated from src/settings/mesh.rs; `UPDATE_GUIDE=1 cargo test --test cli` rewrites it. -->

`oleandertiller mesh` reads one INI file, which the platform fills in from the template
`deploy/settings.ini.template`. `oleandertiller check --mesh FILE` reports every error in a file at
once. A changed file is compared and reported at SIGHUP; ports and names come into force with the next
process. A key that has no default must be stated.
";

const MESH_TAIL: &str = "
## How the bounds follow from the settings

| bound | value | with 160 MB and 4,100 descriptors |
|---|---|---|
| memory account | `memory-mb` less an eighth of it and 24 MB, at least 4 MB | 116 MB |
| bodies over 16 KB, all together | five sixths of the account | 97 MB |
| one body | `maxBodyBytes` of the configuration, at most nine tenths of the row above | 67 MB |
| client connections | three quarters of `descriptors` less 16 | 3,059 |

A megabyte is a million bytes here. The eighth and the 24 MB are for the program itself, the
allocator and the buffers of the kernel. The other descriptors are for calls to peers, the upstream
and the store. What happens above a bound is in `docs/OPERATIONS.md`.
";

/// Returns the page on the settings of nodes as Markdown.
pub fn page() -> String {
    tables(HEAD, KEYS) + TAIL
}

/// Returns the page on the settings of mesh nodes as Markdown.
pub fn mesh_page() -> String {
    tables(MESH_HEAD, mesh::KEYS) + MESH_TAIL
}

/// Returns `head` followed by one table for each section of `keys`.
fn tables(head: &str, keys: &[Key]) -> String {
    let mut page = head.to_owned();
    let mut section = "";
    for key in keys {
        if key.section != section {
            section = key.section;
            let _ = write!(page, "\n## `[{section}]`\n\n");
            page.push_str("| key | meaning | allowed | default |\n|---|---|---|---|\n");
        }
        page.push_str(&row(key));
    }
    page
}

fn row(key: &Key) -> String {
    let default = match key.default {
        None => "must be stated".to_owned(),
        Some("") => "none".to_owned(),
        Some(default) => format!("`{default}`"),
    };
    format!("| `{}` | {} | {} | {default} |\n", key.name, key.doc, key.allowed.describe())
}
