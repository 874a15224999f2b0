//! Requests that are under way, from their request until they are answered and their last push has ended.

use slab::Slab;
use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

struct Op {
    /// What its client's id is hashed to.
    mark: u64,
    /// None once it is answered, or the client is gone.
    client: Option<usize>,
    ends: f64,
    /// Came in when as many as may be were under way.
    over: bool,
    /// Where each push is out; none once it has ended.
    pushes: Vec<Option<usize>>,
    out: usize,
}

pub struct Requests {
    table: Slab<Op>,
    most: usize,
    /// Marks of those that a client waits for.
    open: HashSet<u64>,
    /// Keyed anew at each start, so that nobody outside can make two ids meet.
    marks: RandomState,
}

impl Requests {
    pub fn new(most: usize) -> Self {
        Requests {
            table: Slab::new(),
            most,
            open: HashSet::new(),
            marks: RandomState::new(),
        }
    }

    /// So many from now on.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    /// What a client's id is known by here.
    pub fn mark(&self, id: &str) -> u64 {
        self.marks.hash_one(id)
    }

    /// Whether a client waits under this id already.
    pub fn is_open(&self, mark: u64) -> bool {
        self.open.contains(&mark)
    }

    pub fn admit(&mut self, client: usize, ends: f64, mark: u64) -> usize {
        let over = self.table.len() >= self.most;
        self.open.insert(mark);
        self.table.insert(Op {
            mark,
            client: Some(client),
            ends,
            over,
            pushes: Vec::new(),
            out: 0,
        })
    }

    /// Whether a client still waits for the answer.
    pub fn waits(&self, op: usize) -> bool {
        self.table.get(op).is_some_and(|op| op.client.is_some())
    }

    /// Whether no client waits for any answer.
    pub fn none_waits(&self) -> bool {
        self.table.iter().all(|(_, op)| op.client.is_none())
    }

    /// A push begins: its number, the client whose request it carries unless the op is over, and its end.
    pub fn push(&mut self, op: usize) -> (usize, Option<usize>, f64) {
        let op = &mut self.table[op];
        op.pushes.push(None);
        op.out += 1;
        (op.pushes.len() - 1, op.client.filter(|_| !op.over), op.ends)
    }

    pub fn out_at(&mut self, op: usize, push: usize, link: usize) {
        self.table[op].pushes[push] = Some(link);
    }

    /// None may last past a time.
    pub fn end_by(&mut self, at: f64) {
        self.table
            .iter_mut()
            .for_each(|(_, op)| op.ends = op.ends.min(at));
    }

    /// Where a push is out.
    pub fn link(&self, op: usize, push: usize) -> Option<usize> {
        self.table.get(op)?.pushes.get(push).copied().flatten()
    }

    /// The push that is out on a connection.
    pub fn push_on(&self, op: usize, link: usize) -> Option<usize> {
        self.table
            .get(op)?
            .pushes
            .iter()
            .position(|l| *l == Some(link))
    }

    pub fn push_ended(&mut self, op: usize, push: usize) {
        let op = &mut self.table[op];
        op.pushes[push] = None;
        op.out -= 1;
    }

    /// The client that waits, as its answer is made or it has left; from then on none does.
    pub fn answered(&mut self, op: usize) -> Option<usize> {
        let op = self.table.get_mut(op)?;
        let client = op.client.take()?;
        self.open.remove(&op.mark);
        Some(client)
    }

    /// The one place where an op is given back: answered, and none of its pushes out. Danger: an index used
    /// again while a push is out would take that push's end for its own.
    pub fn drop_if_done(&mut self, op: usize) {
        if self
            .table
            .get(op)
            .is_some_and(|op| op.client.is_none() && op.out == 0)
        {
            self.table.remove(op);
        }
    }
}
