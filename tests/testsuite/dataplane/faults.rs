//! Broken clients, broken upstreams, cancellation and deadlines.
