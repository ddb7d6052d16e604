//! Conversions between generated messages and validated types.

pub(crate) mod config;
pub(crate) mod config_encode;
pub(crate) mod control;
pub(crate) mod entities;
pub(crate) mod job;
pub(crate) mod preview;
pub(crate) mod settings;
