//! What a node may assume of the others' pushes at a moment, for its decisions: how many nodes push, and which
//! part of a told node's budget for cold servers is its own.

use crate::cluster_size::{ClusterSizeEstimate, LoadBasedEstimate, Others};
use crate::Membership;

/// How often it is looked at what time alone changes, in milliseconds: well within a probe of the fleet.
const LOOK: f64 = 100.0;
/// A change of the number under this share is none: limits do not show it, and each new solution costs work.
const SHOWS: f64 = 0.005;

pub struct ClusterAssumptions {
    count: ClusterSizeEstimate,
    told: LoadBasedEstimate,
    /// Own pushes under way, by server.
    out: Vec<u32>,
    look_at: f64,
    nodes: f64,
    cold: f64,
}

impl ClusterAssumptions {
    /// Of a node that its settings tell of so many. No part of cold servers before the others are known.
    pub fn new(told: f64, now: f64) -> Self {
        ClusterAssumptions {
            count: ClusterSizeEstimate::new(told, now),
            told: LoadBasedEstimate::default(),
            out: Vec::new(),
            look_at: now,
            nodes: told,
            cold: 0.0,
        }
    }

    /// New settings tell another number.
    pub fn renew(&mut self, told: f64) {
        self.count.renew(told);
    }

    /// The number of nodes, and the part of a told node's cold budgets, as they were last assumed.
    pub fn now(&self) -> (f64, f64) {
        (self.nodes, self.cold)
    }

    /// The number that the settings tell, and the one that servers do, if they do.
    pub fn told(&self, now: f64) -> (f64, Option<f64>) {
        (self.count.told(), self.told.nodes(now))
    }

    /// When to look again, whatever happens.
    pub fn next_look(&self) -> f64 {
        self.look_at
    }

    /// A push goes to a server, or has ended there.
    pub fn pushes(&mut self, server: usize, ends: bool) {
        if self.out.len() <= server {
            self.out.resize(server + 1, 0);
        }
        let out = &mut self.out[server];
        *out = if ends {
            out.saturating_sub(1)
        } else {
            *out + 1
        };
    }

    /// A server has told with an answer what it holds.
    pub fn reported(&mut self, now: f64, server: usize, held: f64) {
        self.told.heard(
            now,
            held,
            f64::from(self.out.get(server).copied().unwrap_or(0)),
        );
    }

    /// Takes in what the fleet knows now. Whether decisions are to be told. Danger: what is said before a part is
    /// lowered lets another take what is still spent. Whoever calls hands these on before it sends.
    pub fn assume(&mut self, now: f64, fleet: &mut Membership) -> bool {
        let (others, failed) = fleet.census();
        if now >= self.look_at {
            self.look_at = now + LOOK;
            if failed == 0 {
                self.told.whole(others + 1);
            }
        }
        let told_by_servers = self.told.nodes(now);
        let nodes = self.count.heard(
            now,
            Others {
                live: others + 1,
                failed,
                told_by_servers,
            },
        );
        let told = self.count.told();
        let cold = (fleet.purse(told) * told).min(1.0);
        let shows = cold != self.cold || (nodes / self.nodes - 1.0).abs() > SHOWS;
        if shows {
            (self.nodes, self.cold) = (nodes, cold);
        }
        shows
    }
}
