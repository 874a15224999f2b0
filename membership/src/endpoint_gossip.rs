//! What other nodes' lists tell of servers beside one's own: the stricter counts until one's own list has come
//! as far. All nodes' lists carry versions of one numbering; nothing counts that no list has told.

use crate::membership::EndpointGossip;
use std::collections::BTreeMap;

/// Servers of which words are kept: as many as a list holds.
const SERVERS: usize = 8192;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Line {
    standing: u8,
    started: f64,
}

/// One's own list, and what was heard over it.
#[derive(Debug, Default)]
pub struct EndpointView {
    seq: u64,
    own: BTreeMap<u64, Line>,
    heard: BTreeMap<u64, EndpointGossip>,
}

impl EndpointView {
    /// One's own list has told these (server, standing, started), up to a version. Returns what the other nodes
    /// are to hear of it, and the servers that were held stricter by others' words, and are no longer.
    pub fn told(
        &mut self,
        seq: u64,
        whole: bool,
        lines: &[(u64, u8, f64)],
    ) -> (Vec<EndpointGossip>, Vec<u64>) {
        let first = self.own.is_empty();
        let mut say = Vec::new();
        for (server, standing, started) in lines.iter().copied() {
            let before = self.own.insert(server, Line { standing, started });
            // A list that is new to this node is old to others; what changes while it runs may be news to them.
            let before = before.unwrap_or(if first {
                Line { standing, started }
            } else {
                Line {
                    standing: 0,
                    started: 0.0,
                }
            });
            if standing != before.standing || started > before.started {
                say.push(EndpointGossip {
                    server,
                    standing,
                    started,
                    seq,
                });
            }
        }
        if whole {
            // Danger: servers removed while nobody listened are missing from the whole list.
            let missing = |(server, line): (&u64, &Line)| {
                (!lines.iter().any(|(listed, ..)| listed == server) && line.standing < 2)
                    .then_some((*server, line.started))
            };
            for (server, started) in self.own.iter().filter_map(missing).collect::<Vec<_>>() {
                self.own.insert(
                    server,
                    Line {
                        standing: 2,
                        started,
                    },
                );
                say.push(EndpointGossip {
                    server,
                    standing: 2,
                    started,
                    seq,
                });
            }
        }
        // Another numbering's versions may be lower: the list that was heard last is the one to go by.
        self.seq = seq;
        let passed: Vec<u64> = self
            .heard
            .values()
            .filter(|w| w.seq <= seq)
            .map(|w| w.server)
            .collect();
        self.heard.retain(|_, word| word.seq > seq);
        self.own
            .retain(|server, line| line.standing < 2 || self.heard.contains_key(server));
        (say, passed)
    }

    /// Another node's list has told this. Whether something else holds for that server from now on.
    pub fn heard(&mut self, word: EndpointGossip) -> bool {
        let newer = self
            .heard
            .get(&word.server)
            .is_none_or(|old| old.seq < word.seq);
        // Danger: words without end fill the memory; of servers that are not listed here nothing is needed.
        let room = self.heard.len() < SERVERS || self.heard.contains_key(&word.server);
        if word.seq <= self.seq || !newer || !room || !self.own.contains_key(&word.server) {
            return false;
        }
        let before = self.holds(word.server);
        self.heard.insert(word.server, word);
        before != self.holds(word.server)
    }

    /// A server's standing and start that count here: the stricter, the later.
    pub fn holds(&self, server: u64) -> Option<(u8, f64)> {
        let own = self.own.get(&server)?;
        let word = self.heard.get(&server);
        Some(word.map_or((own.standing, own.started), |word| {
            (
                own.standing.max(word.standing),
                own.started.max(word.started),
            )
        }))
    }

    /// How many servers are held stricter by others' words.
    pub fn stricter(&self) -> usize {
        let stricter = |server: &&u64| {
            self.holds(**server) != self.own.get(*server).map(|own| (own.standing, own.started))
        };
        self.heard.keys().filter(stricter).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn word(server: u64, standing: u8, started: f64, seq: u64) -> EndpointGossip {
        EndpointGossip {
            server,
            standing,
            started,
            seq,
        }
    }

    fn of(seq: u64) -> EndpointView {
        let mut lists = EndpointView::default();
        assert!(
            lists
                .told(seq, true, &[(1, 0, 5.0), (2, 0, 0.0)])
                .0
                .is_empty(),
            "a first list is no news"
        );
        lists
    }

    #[test]
    fn the_stricter_counts_until_the_own_list_has_come_as_far() {
        let mut lists = of(10);
        assert!(lists.heard(word(1, 1, 5.0, 12)));
        assert_eq!((lists.holds(1), lists.stricter()), (Some((1, 5.0)), 1));
        assert_eq!(lists.told(11, false, &[]), (vec![], vec![]));
        assert_eq!(lists.holds(1), Some((1, 5.0)), "not as far yet");
        assert_eq!(
            lists.told(12, false, &[]),
            (vec![], vec![1]),
            "the own list says otherwise, and is as late"
        );
        assert_eq!(lists.holds(1), Some((0, 5.0)));
    }

    #[test]
    fn nobody_makes_a_node_freer_and_late_or_strange_words_change_nothing() {
        let mut lists = of(10);
        lists.told(11, false, &[(1, 1, 5.0)]);
        assert!(!lists.heard(word(1, 0, 5.0, 20)), "ready elsewhere");
        assert_eq!(lists.holds(1), Some((1, 5.0)));
        assert!(!lists.heard(word(2, 2, 0.0, 11)), "as old as the own list");
        assert!(!lists.heard(word(9, 1, 0.0, 30)), "listed nowhere here");
        assert!(
            lists.heard(word(2, 1, 0.0, 30)) && !lists.heard(word(2, 2, 0.0, 29)),
            "overtaken on its way"
        );
        assert!(lists.heard(word(2, 0, 0.0, 31)), "taken back");
        assert_eq!(lists.holds(2), Some((0, 0.0)));
        assert!(lists.heard(word(2, 0, 77.0, 32)), "a new start");
        assert_eq!(lists.holds(2), Some((0, 77.0)));
    }

    #[test]
    fn what_changes_is_told_to_others_once() {
        let mut lists = of(10);
        assert_eq!(
            lists.told(11, false, &[(1, 1, 5.0)]).0,
            [word(1, 1, 5.0, 11)]
        );
        assert!(lists.told(12, false, &[(1, 1, 5.0)]).0.is_empty());
        assert_eq!(
            lists.told(13, false, &[(1, 0, 9.0), (3, 0, 8.0)]).0,
            [word(1, 0, 9.0, 13), word(3, 0, 8.0, 13)]
        );
        assert_eq!(
            lists.told(14, true, &[(1, 0, 9.0), (3, 0, 8.0)]).0,
            [word(2, 2, 0.0, 14)],
            "missing is gone"
        );
        assert_eq!(lists.holds(2), None);
    }
}
