//! Stand-ins for the services of the platform, used by tests and by the demo.
