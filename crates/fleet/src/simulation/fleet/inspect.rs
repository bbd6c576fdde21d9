//! The views of a simulated fleet's processes, compared with the processes that are running.

use super::super::peer::Peer;
use super::super::views::{View, Views};
use super::Fleet;
use crate::membership::Member;

impl Fleet {
    /// Compares the views of all running processes with all running processes.
    pub fn views(&self) -> Views {
        self.views_of(|_| true, |_| true)
    }

    /// Compares the views of some running processes with some of the running processes.
    pub fn views_of(
        &self,
        is_observer: impl Fn(usize) -> bool,
        is_expected: impl Fn(usize) -> bool,
    ) -> Views {
        let expected: Vec<bool> = (0..self.processes.len())
            .map(|process| self.is_running(process) && is_expected(process))
            .collect();
        let count = expected.iter().filter(|expected| **expected).count();
        let mut found = vec![false; expected.len()];
        let observers = (0..self.processes.len()).filter(|process| is_observer(*process));
        let views = observers.filter_map(|process| self.view_of(process, &expected, &mut found));
        Views::of(count, views)
    }

    /// Counts one process's view; `found` is scratch space.
    fn view_of(&self, process: usize, expected: &[bool], found: &mut [bool]) -> Option<View> {
        let peer = self.peer(process)?;
        let mut view = View::default();
        found.fill(false);
        for member in peer.view() {
            match self.topology.process_at(member.address) {
                Some(at) if expected[at] => {
                    found[at] = true;
                    if self.processes[at].incarnation == member.incarnation {
                        view.current += 1;
                    }
                }
                _ => view.unexpected += 1,
            }
        }
        view.outdated = found.iter().filter(|found| **found).count() - view.current;
        Some(view)
    }

    /// Returns the number of running members that a process has in view in their current
    /// incarnation.
    pub fn count_in_view(&self, process: usize) -> usize {
        self.peer(process).map_or(0, |peer| {
            let view = peer.view().into_iter();
            view.filter(|member| self.is_current(member)).count()
        })
    }

    /// Returns whether a process has exactly the running processes in view, or is not running
    /// itself.
    pub fn has_exact_view(&self, process: usize) -> bool {
        self.peer(process).is_none_or(|peer| {
            let view = peer.view();
            view.len() == self.running_count
                && view.into_iter().all(|member| self.is_current(member))
        })
    }

    /// Returns whether a process has a member in view that is not running.
    pub fn has_dead_in_view(&self, process: usize) -> bool {
        self.peer(process).is_some_and(|peer| {
            let mut view = peer.view().into_iter();
            view.any(|member| !self.is_address_running(member))
        })
    }

    /// Returns whether a process has another one in view in the other's current incarnation.
    pub fn has_in_view(&self, process: usize, other: usize) -> bool {
        let address = self.topology.address(other);
        let incarnation = self.processes[other].incarnation;
        self.peer(process).is_some_and(|peer| {
            let mut view = peer.view().into_iter();
            view.any(|member| member.address == address && member.incarnation == incarnation)
        })
    }

    fn peer(&self, process: usize) -> Option<&Peer> {
        self.processes[process].peer.as_ref()
    }

    /// Returns whether a process is running at a member's address, in any incarnation.
    fn is_address_running(&self, member: &Member) -> bool {
        let process = self.topology.process_at(member.address);
        process.is_some_and(|process| self.is_running(process))
    }

    /// Returns whether a member is running in this incarnation.
    fn is_current(&self, member: &Member) -> bool {
        let process = self.topology.process_at(member.address);
        process.is_some_and(|process| {
            self.is_running(process) && self.processes[process].incarnation == member.incarnation
        })
    }
}
