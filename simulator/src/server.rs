//! One server: cores, a bounded queue, warm-up, pauses, a memory of keys, and the state that waiting leaves.

use crate::script::{Limits, MachineType};
use std::collections::VecDeque;

/// One push at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub op: usize,
    pub serial: u64,
    pub push: usize,
    /// On a core of speed one.
    pub work: f64,
    pub came: f64,
    pub ends: f64,
    /// What an op is about; 0 for nothing.
    pub key: u64,
    pub key_miss: f64,
}

/// A job on a core.
#[derive(Clone, Copy, Debug)]
pub struct AtWork {
    pub job: Job,
    pub due: f64,
    pub number: u64,
}

/// What faults do to a server now.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// Work takes so many times as long.
    pub slow: f64,
    pub fail_fast: f64,
    pub silent: bool,
    pub answers_lost: f64,
    pub resets: f64,
    /// PolicyKind much older reports are, and how wrong.
    pub late: f64,
    pub wrong: f64,
    pub missing: bool,
}

impl Default for Weather {
    fn default() -> Self {
        Weather {
            slow: 1.0,
            fail_fast: 0.0,
            silent: false,
            answers_lost: 0.0,
            resets: 0.0,
            late: 0.0,
            wrong: 1.0,
            missing: false,
        }
    }
}

/// What came of a job when its turn came.
pub enum Begun {
    Started(AtWork),
    /// Its time was over.
    Expired(Job),
}

pub struct Server {
    pub machine: MachineType,
    pub mark: u64,
    pub zone: usize,
    pub pod: usize,
    /// Time of its last start; 0 for long ago.
    pub started: f64,
    pub up: bool,
    /// Counts its starts: what was sent to an earlier one is lost.
    pub life: u32,
    pub connections: usize,
    /// Pushes on their way to it.
    pub coming: usize,
    pub weather: Weather,
    /// No core moves before this.
    pub stopped_until: f64,
    pub tipped: bool,
    cold_share: f64,
    cold_ms: f64,
    queue: VecDeque<Job>,
    at_work: Vec<AtWork>,
    next: u64,
    relieved_since: Option<f64>,
    keys: Vec<u64>,
    told: VecDeque<(f64, usize, usize)>,
}

impl Server {
    pub fn new(
        machine: &MachineType,
        limits: &Limits,
        mark: u64,
        zone: usize,
        pod: usize,
        started: f64,
    ) -> Self {
        Server {
            machine: machine.clone(),
            mark,
            zone,
            pod,
            started,
            up: true,
            life: 0,
            connections: 0,
            coming: 0,
            weather: Weather::default(),
            stopped_until: 0.0,
            tipped: false,
            cold_share: limits.cold_capacity_fraction,
            cold_ms: 1000.0 * limits.slow_start_s,
            queue: VecDeque::new(),
            at_work: Vec::new(),
            next: 0,
            relieved_since: Some(f64::NEG_INFINITY),
            keys: vec![0; machine.key_cache_size],
            told: VecDeque::new(),
        }
    }

    pub fn held(&self) -> usize {
        self.queue.len() + self.at_work.len()
    }

    /// What it can do of what it does warm.
    pub fn able(&self, now: f64) -> f64 {
        if self.started <= 0.0 {
            return 1.0;
        }
        let warm = ((now - self.started) / self.cold_ms.max(1.0)).clamp(0.0, 1.0);
        self.cold_share + (1.0 - self.cold_share) * warm
    }

    /// Work of a core a millisecond now.
    pub fn speed(&self, now: f64) -> f64 {
        let tipped = self
            .machine
            .degradation
            .filter(|_| self.tipped)
            .map_or(1.0, |degradation| degradation.speed_fraction);
        self.machine.speed * self.able(now) * tipped / self.weather.slow
    }

    /// Takes a job in; false where it is full, and then it never runs.
    pub fn offer(&mut self, now: f64, job: Job) -> bool {
        self.relax(now);
        if self.held() >= self.machine.cores + self.machine.queue_capacity {
            return false;
        }
        self.queue.push_back(job);
        true
    }

    /// Gives free cores the next jobs.
    pub fn begin(&mut self, now: f64) -> Option<Begun> {
        if self.at_work.len() >= self.machine.cores {
            return None;
        }
        let job = self.queue.pop_front()?;
        if self.machine.drops_expired && job.ends <= now {
            return Some(Begun::Expired(job));
        }
        if self
            .machine
            .degradation
            .is_some_and(|degradation| now - job.came > degradation.queue_wait_ms)
        {
            // Danger it plays: waiting leaves it slow after the waiting has stopped.
            (self.tipped, self.relieved_since) = (true, None);
        }
        let place = (job.key % self.keys.len() as u64) as usize;
        let known = job.key == 0 || self.keys[place] == job.key;
        self.keys[place] = if job.key == 0 {
            self.keys[place]
        } else {
            job.key
        };
        let work = job.work * if known { 1.0 } else { job.key_miss };
        let due = now.max(self.stopped_until) + work / self.speed(now).max(1e-6);
        self.next += 1;
        let at_work = AtWork {
            job,
            due,
            number: self.next,
        };
        self.at_work.push(at_work);
        Some(Begun::Started(at_work))
    }

    /// Relief: holding little for long enough ends the slow state.
    fn relax(&mut self, now: f64) {
        let Some(degradation) = self.machine.degradation else {
            return;
        };
        if self.held() as f64 > degradation.recovery_load * self.machine.cores as f64 {
            self.relieved_since = None;
            return;
        }
        let since = *self.relieved_since.get_or_insert(now);
        if self.tipped && now - since >= 1000.0 * degradation.recovery_s {
            self.tipped = false;
        }
    }

    /// The job that is due, unless it was called off; or when to look again, while it is stopped.
    pub fn done(&mut self, now: f64, number: u64) -> Result<Option<Job>, f64> {
        let Some(place) = self.at_work.iter().position(|w| w.number == number) else {
            return Ok(None);
        };
        if now < self.stopped_until {
            return Err(self.stopped_until);
        }
        let work = self.at_work.swap_remove(place);
        self.relax(now);
        Ok(Some(work.job))
    }

    /// Calls a push off: true where it will not run, or has stopped, there.
    pub fn call_off(&mut self, now: f64, op: usize, serial: u64, push: usize) -> bool {
        let it = |job: &Job| job.op == op && job.serial == serial && job.push == push;
        if let Some(place) = self.queue.iter().position(it) {
            self.queue.remove(place);
            self.relax(now);
            return true;
        }
        let place = self
            .at_work
            .iter()
            .position(|w| it(&w.job))
            .filter(|_| self.machine.stops_cancelled_work);
        if let Some(place) = place {
            self.at_work.swap_remove(place);
            self.relax(now);
        }
        place.is_some()
    }

    /// Ends the process: all that it held.
    pub fn die(&mut self) -> Vec<Job> {
        self.up = false;
        self.life += 1;
        self.connections = 0;
        self.tipped = false;
        self.relieved_since = Some(f64::NEG_INFINITY);
        self.keys.fill(0);
        self.told.clear();
        let queue = std::mem::take(&mut self.queue);
        queue
            .into_iter()
            .chain(std::mem::take(&mut self.at_work).into_iter().map(|w| w.job))
            .collect()
    }

    /// What it says of itself: held and waiting, as they were when its report was taken.
    pub fn report(&mut self, now: f64, period: f64, delay: f64) -> Option<(f64, f64)> {
        if self.told.back().is_none_or(|(at, ..)| now - at >= period) {
            self.told.push_back((now, self.held(), self.queue.len()));
        }
        let old = now - delay - self.weather.late;
        // The newest that is old enough; what is older still will not be asked for again.
        while self.told.get(1).is_some_and(|(at, ..)| *at <= old) || self.told.len() > 256 {
            self.told.pop_front();
        }
        let (_, held, waiting) = self
            .told
            .front()
            .filter(|(at, ..)| *at <= old && !self.weather.missing)?;
        Some((
            *held as f64 * self.weather.wrong,
            *waiting as f64 * self.weather.wrong,
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script::Script;

    fn one(more: &str) -> Server {
        let text = format!(
            "name = 'x'\nseconds = 9\nnodes = 1\nload = {{ rate = 1 }}\n\
             [[categories]]\nname = 'v'\neffect = 'redeliverable'\ntarget_ms = 9\nttl_ms = 9\nwork_ms = 1\n\
             [[machines]]\nkind = 'm'\ncount = 1\ncores = 2\nqueue = 3\n{more}\n"
        );
        let script = Script::read(&text).expect("whole");
        Server::new(&script.machine_types[0], &script.limits, 1, 0, 0, 0.0)
    }

    fn job(push: usize, came: f64) -> Job {
        Job {
            op: 1,
            serial: 1,
            push,
            work: 10.0,
            came,
            ends: 1e9,
            key: 0,
            key_miss: 1.0,
        }
    }

    #[test]
    fn cores_and_queue_are_bounded_and_a_core_is_given_on() {
        let mut server = one("");
        assert!((0..5).all(|push| server.offer(0.0, job(push, 0.0))));
        assert!(
            !server.offer(0.0, job(5, 0.0)),
            "two at work and three waiting are all"
        );
        let mut started = Vec::new();
        while let Some(Begun::Started(work)) = server.begin(0.0) {
            started.push(work);
        }
        assert_eq!(
            started.iter().map(|w| w.due).collect::<Vec<_>>(),
            [10.0, 10.0]
        );
        assert!(server.done(10.0, started[0].number).unwrap().is_some());
        assert!(matches!(server.begin(10.0), Some(Begun::Started(w)) if w.due == 20.0));
        assert_eq!(server.held(), 4);
    }

    #[test]
    fn a_box_that_waited_too_long_stays_slow_until_it_is_relieved() {
        let mut server = one("tips = { after_ms = 50, to = 0.2, relief = 0.5, relief_for = 2 }");
        server.offer(0.0, job(0, -60.0));
        let Some(Begun::Started(work)) = server.begin(0.0) else {
            panic!("a core is free")
        };
        assert!(server.tipped && work.due == 50.0, "{work:?}");
        server.done(50.0, work.number).unwrap();
        // The waiting is over, and it is slow still, for as long as it has not rested.
        server.offer(1000.0, job(1, 1000.0));
        assert!(server.tipped);
        let Some(Begun::Started(work)) = server.begin(1000.0) else {
            panic!("a core is free")
        };
        server.done(work.due, work.number).unwrap();
        server.offer(2100.0, job(2, 2100.0));
        assert!(!server.tipped, "two seconds under half of its cores");
    }

    #[test]
    fn what_is_called_off_waits_no_longer_and_a_stop_holds_all_up() {
        let mut server = one("stops = false");
        for push in 0..3 {
            server.offer(0.0, job(push, 0.0));
        }
        let Some(Begun::Started(first)) = server.begin(0.0) else {
            panic!("a core is free")
        };
        server.begin(0.0);
        assert!(server.call_off(1.0, 1, 1, 2), "it still waited");
        assert!(!server.call_off(1.0, 1, 1, 0), "work goes on here");
        server.stopped_until = 40.0;
        assert!(matches!(server.done(10.0, first.number), Err(at) if at == 40.0));
        assert!(server.done(40.0, first.number).unwrap().is_some());
    }

    #[test]
    fn a_report_is_as_old_as_it_says_and_a_cold_server_warms_evenly() {
        let mut server = one("");
        server.offer(0.0, job(0, 0.0));
        assert_eq!(server.report(0.0, 100.0, 150.0), None, "none is old enough");
        server.offer(100.0, job(1, 0.0));
        server.report(100.0, 100.0, 150.0);
        assert_eq!(server.report(160.0, 100.0, 150.0), Some((1.0, 1.0)));
        assert_eq!(server.report(260.0, 100.0, 150.0), Some((2.0, 2.0)));
        server.started = 1000.0;
        assert!((server.able(1000.0 + 7500.0) - 0.6).abs() < 1e-9);
    }
}
