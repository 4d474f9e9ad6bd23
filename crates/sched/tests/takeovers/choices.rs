//! A bounded exhaustive search: a play asks for choices, and is repeated until each sequence of them was played.

/// The choices of one play, each with the number of its alternatives.
#[derive(Debug, Default)]
pub struct Choices {
    path: Vec<(usize, usize)>,
    next: usize,
}

impl Choices {
    /// Takes one of several alternatives: the first one where the search has not been here before.
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

    /// Goes on to the next sequence of choices. Says whether there is one.
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
