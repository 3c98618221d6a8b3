//! Stand-in upstream, key-value store and fault-injecting proxy.
