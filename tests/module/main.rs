//! Tests of the decision module alone, without any wire.

mod cold;
mod failures;
mod fleet;
mod help;
mod loads;
mod places;
mod rules;
mod settings;
