//! The judge: knows every op's whole life and checks the four rules, op by op, as it happens, and over all of
//! them that clients who have left are not served on.

use crankmux::types::AttemptOutcome;
use std::collections::VecDeque;

/// The rules, in the order of the project's pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Twice,
    Drain,
    Cold,
    /// Three or more ops whose clients left while they waited were sent on over 0.1 s later.
    Left,
}

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "no op lost",
            Rule::Twice => "no effect twice",
            Rule::Drain => "drains kept",
            Rule::Cold => "no cold server pushed over",
            Rule::Left => "nobody who has left served on",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Acked,
    Nacked,
    DeadLettered,
}

/// What happened in an op's life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Taken { node: usize },
    Pushed { push: usize, server: usize },
    Ran { push: usize, server: usize },
    Dropped { push: usize, server: usize },
    Ended { push: usize, ending: AttemptOutcome },
    Answered { answer: Answer },
    ClientLeft,
    NodeDied,
}

/// Whether and where an op may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Freely,
    /// In one group within the window; groups are compared by number.
    Deduplicated {
        fleet: bool,
    },
    Never,
}

struct PushLife {
    group: u64,
    at: f64,
    /// PolicyKind it ended, as the node knows.
    ended: Option<AttemptOutcome>,
}

/// One op's life.
pub struct Life {
    repeats: Repeats,
    window: f64,
    ends: f64,
    steps: Vec<(f64, Step)>,
    pushes: Vec<PushLife>,
    /// Effects: when and in which group.
    ran: Vec<(f64, u64)>,
    answered: bool,
    /// The client is gone, or the node has died with it: nothing is owed.
    excused: bool,
    /// When its client left while it waited, and whether it was sent on later than that allows.
    left_at: Option<f64>,
    sent_on: bool,
}

/// A rule broken, with the op's life in order.
#[derive(Clone, Debug)]
pub struct Broken {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
    pub life: Vec<String>,
}

/// For so long, in milliseconds, an op may still be sent on once its client has left: the operators' figure.
const SENT_ON: f64 = 100.0;
/// From so many such ops on it is a breach: theirs too.
const CASES: u64 = 3;

/// PolicyKind many are kept with their lives; all are counted.
const KEPT: usize = 20;

pub struct InvariantChecker {
    pub broken: Vec<Broken>,
    counts: [u64; 4],
    /// Clients that left while their op waited, and those of their ops that were sent on too late.
    left: u64,
    sent_on: u64,
    after_leaves: Vec<f64>,
    slack: f64,
    drain_grace: f64,
    fall_multiple: f64,
    fall_ms: f64,
    /// Work pushed at each cold server in the window, in ordinary ops.
    cold: Vec<VecDeque<(f64, f64)>>,
}

impl InvariantChecker {
    pub fn new(slack: f64, drain_grace: f64, fall_multiple: f64, fall_ms: f64) -> Self {
        InvariantChecker {
            broken: Vec::new(),
            counts: [0; 4],
            left: 0,
            sent_on: 0,
            after_leaves: Vec::new(),
            slack,
            drain_grace,
            fall_multiple,
            fall_ms,
            cold: Vec::new(),
        }
    }

    fn breaks(&mut self, rule: Rule, at: f64, what: String, life: Option<&Life>) {
        self.counts[rule as usize] += 1;
        if self.broken.len() < KEPT {
            let steps = life.map(|life| life.steps.as_slice()).unwrap_or_default();
            let told = |(at, step): &(f64, Step)| format!("{at:.3} ms  {step:?}");
            self.broken.push(Broken {
                rule,
                at,
                what,
                life: steps.iter().map(told).collect(),
            });
        }
    }

    /// PolicyKind often each rule was broken, in their order. Of ops sent on for clients that had left, two are no breach.
    pub fn counts(&self) -> [u64; 5] {
        let [lost, twice, drain, cold] = self.counts;
        [
            lost,
            twice,
            drain,
            cold,
            if self.sent_on >= CASES {
                self.sent_on
            } else {
                0
            },
        ]
    }

    /// PolicyKind many clients left while their op waited, and how long after that each later push of theirs went out.
    pub fn after_leaves(&self) -> (u64, &[f64]) {
        (self.left, &self.after_leaves)
    }

    /// A push of an op that nobody knows any more.
    pub fn nobodys(&mut self) {
        self.counts[Rule::Lost as usize] += 1;
    }

    pub fn taken(&self, now: f64, node: usize, repeats: Repeats, window: f64, ends: f64) -> Life {
        Life {
            repeats,
            window,
            ends,
            steps: vec![(now, Step::Taken { node })],
            pushes: Vec::new(),
            ran: Vec::new(),
            answered: false,
            excused: false,
            left_at: None,
            sent_on: false,
        }
    }

    /// A push leaves its node. `draining` is when the node was told that this server drains or is gone.
    pub fn pushed(
        &mut self,
        now: f64,
        life: &mut Life,
        server: usize,
        group: u64,
        draining: Option<f64>,
    ) {
        let push = life.pushes.len();
        life.steps.push((now, Step::Pushed { push, server }));
        let known = |p: &&PushLife| !p.ended.is_some_and(AttemptOutcome::never_executed);
        let earlier: Vec<&PushLife> = life.pushes.iter().filter(known).collect();
        let twice = match life.repeats {
            Repeats::Freely => None,
            Repeats::Deduplicated { .. } => {
                let outside = |p: &&&PushLife| p.group != group || now - p.at > life.window;
                earlier
                    .iter()
                    .find(outside)
                    .map(|_| "a repeat outside its group or window")
            }
            Repeats::Never => {
                (!earlier.is_empty()).then_some("an at-most-once op that may have run")
            }
        };
        let late = now > life.ends + self.slack;
        let (answered, excused) = (life.answered, life.excused);
        life.pushes.push(PushLife {
            group,
            at: now,
            ended: None,
        });
        if answered || late || excused {
            self.breaks(
                Rule::Lost,
                now,
                format!("push {push} to server {server} after its end"),
                Some(life),
            );
        }
        let since = life.left_at.map(|left| now - left);
        self.after_leaves.extend(since);
        if since.is_some_and(|since| since > SENT_ON) && !std::mem::replace(&mut life.sent_on, true)
        {
            self.sent_on += 1;
        }
        if let Some(what) = twice {
            self.breaks(Rule::Twice, now, format!("push {push}: {what}"), Some(life));
        }
        if let Some(told) = draining.filter(|told| now > told + self.drain_grace) {
            let what = format!(
                "push {push} to server {server}, told {:.0} ms ago that it drains",
                now - told
            );
            self.breaks(Rule::Drain, now, what, Some(life));
        }
    }

    /// The op begins to run; a group's memory drops a repeat within the window.
    pub fn ran(&mut self, now: f64, life: &mut Life, push: usize, server: usize, group: u64) {
        let window = life.window;
        let dropped = matches!(life.repeats, Repeats::Deduplicated { .. })
            && life
                .ran
                .iter()
                .any(|(at, in_group)| *in_group == group && now - at <= window);
        if dropped {
            life.steps.push((now, Step::Dropped { push, server }));
            return;
        }
        life.steps.push((now, Step::Ran { push, server }));
        life.ran.push((now, group));
        if life.repeats != Repeats::Freely && life.ran.len() > 1 {
            let what = format!("its effect happened {} times", life.ran.len());
            self.breaks(Rule::Twice, now, what, Some(life));
        }
    }

    pub fn ended(&self, now: f64, life: &mut Life, push: usize, ending: AttemptOutcome) {
        life.steps.push((now, Step::Ended { push, ending }));
        life.pushes[push].ended = Some(ending);
    }

    pub fn answered(&mut self, now: f64, life: &mut Life, answer: Answer) {
        life.steps.push((now, Step::Answered { answer }));
        if life.answered {
            self.breaks(Rule::Lost, now, "a second final answer".into(), Some(life));
        }
        life.answered = true;
        if now > life.ends + self.slack && !life.excused {
            self.breaks(
                Rule::Lost,
                now,
                "answered after its time".into(),
                Some(life),
            );
        }
        let may_have_run = life
            .pushes
            .iter()
            .any(|p| !p.ended.is_some_and(AttemptOutcome::never_executed));
        let harmless = match life.repeats {
            Repeats::Freely => true,
            Repeats::Deduplicated { fleet } => fleet || !may_have_run,
            Repeats::Never => !may_have_run,
        };
        if answer == Answer::Nacked && !harmless {
            self.breaks(
                Rule::Twice,
                now,
                "nacked though it may have run".into(),
                Some(life),
            );
        }
    }

    /// The client has left while its op waited, and its node is told so.
    pub fn client_left(&mut self, now: f64, life: &mut Life) {
        self.client_closed(now, life);
        life.excused = true;
    }

    /// The client has closed its connection while its op waited; its node has yet to find out.
    pub fn client_closed(&mut self, now: f64, life: &mut Life) {
        life.steps.push((now, Step::ClientLeft));
        life.left_at = Some(now);
        self.left += 1;
    }

    pub fn node_died(&self, now: f64, life: &mut Life) {
        life.steps.push((now, Step::NodeDied));
        life.excused = true;
    }

    /// Its time and the slack are over.
    pub fn due(&mut self, now: f64, life: &Life) {
        if !life.answered && !life.excused {
            self.breaks(
                Rule::Lost,
                now,
                "no final answer in its time".into(),
                Some(life),
            );
        }
    }

    /// An op of so many ordinary ones is pushed at a server. `able` is what it can do, in ordinary ops a
    /// millisecond; none where it is warm. Whether that pushes it over.
    pub fn bears(&mut self, now: f64, server: usize, ops: f64, able: Option<f64>) -> bool {
        let Some(able) = able else { return false };
        if self.cold.len() <= server {
            self.cold.resize_with(server + 1, VecDeque::new);
        }
        let window = &mut self.cold[server];
        window.push_back((now, ops));
        while window
            .front()
            .is_some_and(|(at, _)| now - at > self.fall_ms)
        {
            window.pop_front();
        }
        let pushed: f64 = window.iter().map(|(_, ops)| ops).sum();
        let most = (self.fall_multiple * able * self.fall_ms).max(1.0);
        if pushed <= most {
            return false;
        }
        window.clear();
        self.breaks(
            Rule::Cold,
            now,
            format!("server {server}: {pushed:.1} ops, {most:.1} allowed"),
            None,
        );
        true
    }
}
