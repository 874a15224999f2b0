//! Tests of the decision module alone, without any wire.

mod failures;
mod help;
mod rules;
