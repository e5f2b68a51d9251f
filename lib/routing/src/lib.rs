//! Choice of upstream, admission, retries and prefix affinity.
