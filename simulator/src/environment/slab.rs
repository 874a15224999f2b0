//! Storage with stable indices and reuse of free slots.

/// Items by index. An index is reused after [`Slab::remove`], so long-lived references also need a serial number.
pub(super) struct Slab<T> {
    items: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Slab<T> {
    pub(super) fn new() -> Self {
        Slab {
            items: Vec::new(),
            free: Vec::new(),
        }
    }

    pub(super) fn insert(&mut self, item: T) -> usize {
        if let Some(index) = self.free.pop() {
            self.items[index] = Some(item);
            return index;
        }
        self.items.push(Some(item));
        self.items.len() - 1
    }

    pub(super) fn get(&self, index: usize) -> Option<&T> {
        self.items.get(index)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        self.items.get_mut(index)?.as_mut()
    }

    pub(super) fn remove(&mut self, index: usize) -> Option<T> {
        let item = self.items.get_mut(index)?.take();
        if item.is_some() {
            self.free.push(index);
        }
        item
    }

    /// Iterates over the items and their indices in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        let items = self.items.iter().enumerate();
        items.filter_map(|(index, item)| Some((index, item.as_ref()?)))
    }
}
