//! crankmux: the decisions of a reverse proxy that spreads ops over HTTP servers.
//!
//! [`balance`] holds every decision; [`words`] holds the plain types that go in and out.

pub mod balance;
pub mod words;
