//! Clusters of members on a simulated network, in virtual time.

mod failure_detection;
mod figures;
mod gossip_and_authentication;
mod incarnations;
mod random_faults;
mod simulation;
mod slow_start_shares;
