//! Histories of the platform's store, as one process knows them.
//!
//! The store may return from an older copy of itself. What was written since the copy is gone, and its
//! offsets are given out again, so an offset stands for one record within one history only. The
//! store counts its returns and states that number, its era, in its answers. A process numbers the
//! histories that it has met: whatever it has read in one of them must be read anew in the next.
//!
//! An era that rises is a return. An era that falls, or is missing after one was stated, may hide a
//! return, so it begins another history as well: this costs reads and loses nothing. An answer to
//! a request of an earlier history that arrives late tells nothing.

use std::fmt;

/// Era that an answer states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatedEra {
    Number(u64),
    Missing,
    /// It is no number.
    Unreadable,
}

impl StatedEra {
    fn number(self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(number),
            Self::Missing | Self::Unreadable => None,
        }
    }
}

/// Reason why another history has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HistoryCause {
    EraRose,
    EraFell,
    /// The store stated an era before and does not any more.
    EraNotStated,
    /// The store states an era and did not before.
    EraStated,
    /// The store ends before an offset that it has given out.
    OffsetsLost,
}

impl HistoryCause {
    /// Label in logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::EraRose => "era_rose",
            Self::EraFell => "era_fell",
            Self::EraNotStated => "era_not_stated",
            Self::EraStated => "era_stated",
            Self::OffsetsLost => "offsets_lost",
        }
    }
}

/// Begin of another history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryChange {
    pub cause: HistoryCause,
    /// Era before, if the store stated one.
    pub earlier_era: Option<u64>,
    /// Era since, if the store states one.
    pub era: Option<u64>,
}

impl fmt::Display for HistoryChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = self.cause.label();
        write!(
            formatter,
            "{label}, {:?} to {:?}",
            self.earlier_era, self.era
        )
    }
}

/// Current history of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreHistory {
    number: u64,
    has_answered: bool,
    era: Option<u64>,
    change: Option<HistoryChange>,
}

impl StoreHistory {
    /// Number of the current history, from 0.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Begin of the current history; `None` in the first one.
    #[must_use]
    pub fn change(&self) -> Option<HistoryChange> {
        self.change
    }

    /// Records the era of an answer to a request that was sent in the history `sent_in`. Returns
    /// whether the answer belongs to that history and may be used.
    pub fn record_answer(&mut self, sent_in: u64, stated: StatedEra) -> bool {
        let era = stated.number();
        if !self.has_answered {
            self.has_answered = true;
            self.era = era;
        }
        if let Some(cause) = self.find_change(sent_in, era) {
            self.begin(cause, era);
        }
        sent_in == self.number
    }

    /// Records that the store does not have an offset which it gave out in the history `sent_in`.
    pub fn record_lost_offsets(&mut self, sent_in: u64) {
        if sent_in == self.number {
            self.begin(HistoryCause::OffsetsLost, self.era);
        }
    }

    fn find_change(&self, sent_in: u64, era: Option<u64>) -> Option<HistoryCause> {
        let is_late = sent_in < self.number;
        match (self.era, era) {
            (Some(known), Some(stated)) if stated > known => Some(HistoryCause::EraRose),
            _ if is_late || self.era == era => None,
            (Some(_), Some(_)) => Some(HistoryCause::EraFell),
            (Some(_), None) => Some(HistoryCause::EraNotStated),
            (None, _) => Some(HistoryCause::EraStated),
        }
    }

    fn begin(&mut self, cause: HistoryCause, era: Option<u64>) {
        self.change = Some(HistoryChange {
            cause,
            earlier_era: self.era,
            era,
        });
        self.number += 1;
        self.era = era;
    }
}
