//! What the fleet is told, and what its news change here.

use super::*;
use crate::names::List;
use crate::proxy::Proxy;

impl Proxy {
    /// Opens the port of the fleet, where a charter names one.
    pub fn join_fleet(&mut self) -> Result<(), String> {
        let Some(entry) = &self.entry else { return Ok(()) };
        let (told, now) = (self.told_nodes(), self.now());
        self.members = Some(Members::open(entry, told, now, &self.registry)?);
        self.fleet_shares = self.members.as_ref().map(|members| members.shares.now());
        self.take_share();
        Ok(())
    }

    /// What a reload has of the fleet: keys and seeds count at once, anything else from the next start.
    pub fn take_entry(&mut self, entry: Option<Entry>) {
        let told = self.told_nodes();
        if let (Some(members), Some(entry)) = (&mut self.members, &entry) {
            members.renew(entry, told);
        }
        match (&mut self.entry, entry) {
            (Some(old), Some(new)) => (old.keys, old.charter.seeds) = (new.keys, new.charter.seeds),
            (None, None) => {}
            _ => log::info!("fleet: on or off from the next start"),
        }
    }

    /// The number of nodes by the settings.
    pub fn told_nodes(&self) -> f64 {
        self.running.pointer("/settings/GroupSize").and_then(Value::as_f64).unwrap_or(1.0).max(1.0)
    }

    /// A newer process of this node speaks for it from now on. Danger: both would be at one address, and
    /// both have the node's part of cold servers; the other agrees with the fleet anew.
    pub fn yield_fleet(&mut self) {
        if let Some(mut members) = self.members.take() {
            let _ = self.registry.deregister(&mut members.socket);
            self.fleet_shares = Some((members.shares.now().0, 0.0));
        }
    }

    /// The newer process has failed: this one speaks for the node again.
    pub fn take_fleet_back(&mut self) {
        if self.members.is_none() {
            if let Err(e) = self.join_fleet() {
                log::error!("fleet: {e}");
            }
        }
    }

    /// Says that this node goes, and pushes no more.
    pub fn leave_fleet(&mut self) {
        let now = self.now();
        if let Some(members) = &mut self.members {
            members.fleet.leave(now);
            members.send();
        }
    }

    /// Datagrams have come.
    pub fn hear_fleet(&mut self) {
        let now = self.now();
        if let Some(members) = &mut self.members {
            members.read(now);
            self.fleet_moved();
        }
    }

    /// Does what is due of the fleet.
    pub fn meet_fleet(&mut self) {
        let now = self.now();
        let Some(members) = self.members.as_mut().filter(|members| members.next_due() <= now) else { return };
        if now >= members.read_at {
            members.read(now);
        }
        members.fleet.due(now);
        self.fleet_moved();
    }

    /// Takes in what has changed, and only then lets others hear.
    fn fleet_moved(&mut self) {
        let now = self.now();
        let Some(members) = &mut self.members else { return };
        let mut held = Vec::new();
        for news in members.fleet.take_news() {
            if let News::Listed(_, word) = news {
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
            log::info!("fleet: reaches {}", page::words(reach));
        }
        members.reach = reach;
        if shows {
            self.fleet_shares = Some(members.shares.now());
            self.take_share();
        }
        if !held.is_empty() {
            self.hold_to(&held);
        }
        if let Some(members) = &mut self.members {
            members.send();
        }
    }

    /// Brings servers to the standing that counts now, by the own list and others' words.
    fn hold_to(&mut self, servers: &[u64]) {
        let now = self.now();
        let Some(members) = &self.members else { return };
        let line = |mark: &u64| {
            let (line, dial) = members.lines.get(mark)?;
            let (strict, started) = members.lists.holds(*mark)?;
            let line = Listed { standing: standing(strict), started, ..*line };
            Some((line, dial.filter(|_| strict == 0).map(|(address, _)| (address, started))))
        };
        let lines: Vec<_> = servers.iter().filter_map(line).collect();
        let listed: Vec<Listed> = lines.iter().map(|(line, _)| *line).collect();
        self.dispatcher.list(now, &listed, false, false);
        for (line, dial) in lines {
            log::info!("fleet: server {:016x} is {:?}, by another node's list", line.mark, line.standing);
            self.place(line.server, dial);
        }
        self.leave_unsent();
    }

    /// The own list has told something: the others hear of it, and what they told before may have passed.
    pub fn tell_fleet(&mut self, list: &List) {
        let Some(members) = &mut self.members else { return };
        let lines: Vec<(u64, u8, f64)> =
            list.lines.iter().map(|(line, _)| (line.mark, strict(line.standing), line.started)).collect();
        if list.whole {
            members.lines.clear();
        }
        for (line, dial) in &list.lines {
            match line.standing {
                Standing::Gone => drop(members.lines.remove(&line.mark)),
                _ => drop(members.lines.insert(line.mark, (*line, *dial))),
            }
        }
        let (say, passed) = members.lists.told(list.seq, list.whole, &lines);
        say.into_iter().for_each(|word| members.fleet.tell_listed(word));
        // What was told just now came over what others had told of it: the stricter counts still.
        let stricter = lines.iter().map(|(mark, ..)| *mark).filter(|mark| {
            members.lists.holds(*mark).is_some_and(|(strict, _)| strict > 0)
                && members.lines.contains_key(mark)
        });
        let held: Vec<u64> = passed.into_iter().chain(stricter).collect();
        if !held.is_empty() {
            self.hold_to(&held);
        }
    }
}

fn told(news: &News) {
    match news {
        News::Up(name) => log::info!("fleet: {} of zone {} at {} is up", name.name, name.zone, name.address),
        News::Failed(name) => log::warn!("fleet: {} at {} has failed", name.name, name.address),
        News::Left(name) => log::info!("fleet: {} at {} has left", name.name, name.address),
        News::TwoUnderOneName(one, other) => log::error!(
            "fleet: two nodes call themselves {}: {} and {}; both serve on, one is to be given another name",
            one.name,
            one.address,
            other.address
        ),
        News::Paused(ms) => log::warn!("fleet: this process did nothing for {ms:.0} ms"),
        News::Reborn(born) => log::warn!("fleet: it was taken for failed, and lives on under birth {born}"),
        News::Listed(..) => {}
    }
}
