//! Bounded exhaustive search: a simulation requests choices and is repeated for each possible sequence of them.

/// The choices of a simulation, each with the number of its alternatives.
#[derive(Debug, Default)]
pub struct Choices {
    path: Vec<(usize, usize)>,
    next: usize,
}

impl Choices {
    /// Picks one of several alternatives: the first one when the search reaches a choice for the first time.
    pub fn pick<T>(&mut self, alternatives: &[T]) -> T
    where
        T: Copy,
    {
        if self.next == self.path.len() {
            self.path.push((0, alternatives.len()));
        }
        let (taken, _) = self.path[self.next];
        self.next += 1;
        alternatives[taken]
    }

    /// Advances to the next sequence of choices. Returns whether there is one.
    pub fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((taken, count)) = self.path.pop() {
            if taken + 1 < count {
                self.path.push((taken + 1, count));
                return true;
            }
        }
        false
    }
}
