//! Tasks, sockets and edges of the daemon.
