//! What the fleet is told, and what its news change here.

use super::*;
use crate::endpoint_list::List;
use crate::proxy::Proxy;

impl Proxy {
    /// Opens the port of the fleet, where a charter names one.
    pub fn join_cluster(&mut self) -> Result<(), String> {
        let Some(entry) = &self.cluster_config else {
            return Ok(());
        };
        let (told, now) = (self.configured_cluster_size(), self.now());
        self.cluster = Some(Cluster::open(entry, told, now, &self.registry)?);
        self.cluster_shares = self.cluster.as_ref().map(|members| members.shares.now());
        self.apply_process_share();
        Ok(())
    }

    /// What a reload has of the fleet: keys and seeds count at once, anything else from the next start.
    pub fn reload_cluster(&mut self, entry: Option<ClusterConfig>) {
        let told = self.configured_cluster_size();
        if let (Some(members), Some(entry)) = (&mut self.cluster, &entry) {
            members.renew(entry, told);
        }
        match (&mut self.cluster_config, entry) {
            (Some(old), Some(new)) => (old.keys, old.charter.seeds) = (new.keys, new.charter.seeds),
            (None, None) => {}
            _ => log::info!("fleet: on or off from the next start"),
        }
    }

    /// The number of nodes by the settings.
    pub fn configured_cluster_size(&self) -> f64 {
        self.active_configuration
            .pointer("/settings/GroupSize")
            .and_then(Value::as_f64)
            .unwrap_or(1.0)
            .max(1.0)
    }

    /// A newer process of this node speaks for it from now on. Danger: both would be at one address, and
    /// both have the node's part of cold servers; the other agrees with the fleet anew.
    pub fn yield_cluster(&mut self) {
        if let Some(mut members) = self.cluster.take() {
            let _ = self.registry.deregister(&mut members.socket);
            self.cluster_shares = Some((members.shares.now().0, 0.0));
        }
    }

    /// The newer process has failed: this one speaks for the node again.
    pub fn rejoin_cluster(&mut self) {
        if self.cluster.is_none() {
            if let Err(e) = self.join_cluster() {
                log::error!("fleet: {e}");
            }
        }
    }

    /// Says that this node goes, and pushes no more.
    pub fn leave_cluster(&mut self) {
        let now = self.now();
        if let Some(members) = &mut self.cluster {
            members.fleet.leave(now);
            members.send();
        }
    }

    /// Datagrams have come.
    pub fn cluster_event(&mut self) {
        let now = self.now();
        if let Some(members) = &mut self.cluster {
            members.read(now);
            self.fleet_moved();
        }
    }

    /// Does what is due of the fleet.
    pub fn run_cluster(&mut self) {
        let now = self.now();
        let Some(members) = self
            .cluster
            .as_mut()
            .filter(|members| members.next_due() <= now)
        else {
            return;
        };
        if now >= members.read_at {
            members.read(now);
        }
        members.fleet.due(now);
        self.fleet_moved();
    }

    /// Takes in what has changed, and only then lets others hear.
    fn fleet_moved(&mut self) {
        let now = self.now();
        let Some(members) = &mut self.cluster else {
            return;
        };
        let mut held = Vec::new();
        for news in members.fleet.take_news() {
            if let MembershipEvent::EndpointUpdate(_, word) = news {
                if members.lists.heard(word) {
                    held.push(word.server);
                }
            } else {
                told(&news);
            }
        }
        let shows = members.shares.assume(now, &mut members.fleet);
        let reach = members.fleet.reach();
        if std::mem::discriminant(&reach) != std::mem::discriminant(&members.reach) {
            log::info!("fleet: reaches {}", status_page::words(reach));
        }
        members.reach = reach;
        if shows {
            self.cluster_shares = Some(members.shares.now());
            self.apply_process_share();
        }
        if !held.is_empty() {
            self.hold_to(&held);
        }
        if let Some(members) = &mut self.cluster {
            members.send();
        }
    }

    /// Brings servers to the standing that counts now, by the own list and others' words.
    fn hold_to(&mut self, servers: &[u64]) {
        let now = self.now();
        let Some(members) = &self.cluster else { return };
        let line = |mark: &u64| {
            let (line, dial) = members.lines.get(mark)?;
            let (strict, started) = members.lists.holds(*mark)?;
            let line = EndpointUpdate {
                state: standing(strict),
                started_at_ms: started,
                ..*line
            };
            Some((
                line,
                dial.filter(|_| strict == 0)
                    .map(|(address, _)| (address, started)),
            ))
        };
        let lines: Vec<_> = servers.iter().filter_map(line).collect();
        let listed: Vec<EndpointUpdate> = lines.iter().map(|(line, _)| *line).collect();
        self.dispatcher.update_endpoints(now, &listed, false, false);
        for (line, dial) in lines {
            log::info!(
                "fleet: server {:016x} is {:?}, by another node's list",
                line.stable_hash,
                line.state
            );
            self.update_endpoint_process(line.endpoint, dial);
        }
        self.withdraw_unsent_attempts();
    }

    /// The own list has told something: the others hear of it, and what they told before may have passed.
    pub fn gossip_endpoint_list(&mut self, list: &List) {
        let Some(members) = &mut self.cluster else {
            return;
        };
        let lines: Vec<(u64, u8, f64)> = list
            .lines
            .iter()
            .map(|(line, _)| (line.stable_hash, strict(line.state), line.started_at_ms))
            .collect();
        if list.whole {
            members.lines.clear();
        }
        for (line, dial) in &list.lines {
            match line.state {
                EndpointState::Removed => drop(members.lines.remove(&line.stable_hash)),
                _ => drop(members.lines.insert(line.stable_hash, (*line, *dial))),
            }
        }
        let (say, passed) = members.lists.told(list.seq, list.whole, &lines);
        say.into_iter()
            .for_each(|word| members.fleet.tell_listed(word));
        // What was told just now came over what others had told of it: the stricter counts still.
        let stricter = lines.iter().map(|(mark, ..)| *mark).filter(|mark| {
            members
                .lists
                .holds(*mark)
                .is_some_and(|(strict, _)| strict > 0)
                && members.lines.contains_key(mark)
        });
        let held: Vec<u64> = passed.into_iter().chain(stricter).collect();
        if !held.is_empty() {
            self.hold_to(&held);
        }
    }
}

fn told(news: &MembershipEvent) {
    match news {
        MembershipEvent::Up(name) => {
            log::info!("fleet: {} of zone {} at {} is up", name.name, name.zone, name.address)
        }
        MembershipEvent::Failed(name) => log::warn!("fleet: {} at {} has failed", name.name, name.address),
        MembershipEvent::Left(name) => log::info!("fleet: {} at {} has left", name.name, name.address),
        MembershipEvent::TwoUnderOneName(one, other) => log::error!(
            "fleet: two nodes call themselves {}: {} and {}; both serve on, one is to be given another name",
            one.name,
            one.address,
            other.address
        ),
        MembershipEvent::Paused(ms) => log::warn!("fleet: this process did nothing for {ms:.0} ms"),
        MembershipEvent::Reborn(born) => {
            log::warn!("fleet: it was taken for failed, and lives on under birth {born}")
        }
        MembershipEvent::EndpointUpdate(..) => {}
    }
}
