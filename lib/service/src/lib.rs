//! What every daemon shares: settings, logs, metrics, server, stop.
