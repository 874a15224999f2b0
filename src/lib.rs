//! crankmux: the decisions of a reverse proxy that spreads ops over HTTP servers.
//!
//! [`balance`] holds every decision; [`words`] the plain types that go in and out; [`given`] reads what the
//! operators give; [`dispatcher`] drives the decisions in blocking style, for network code.

pub mod balance;
pub mod dispatcher;
pub mod given;
pub mod words;
