//! Anti-entropy between two members, and transfer of the member table to a joining member.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, codec};
use rand::{Rng, seq::SliceRandom};

use super::{
    Action, Membership,
    table::{Slot, bucket_range},
};
use crate::{
    datagram::{Body, Datagram, MembersPull, MembersPush, SummaryEntry},
    record::Record,
};

/// Interval between anti-entropy exchanges.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// Number of buckets compared in one exchange; with about 265 records each they take 2.5 KB.
const BUCKETS_PER_EXCHANGE: usize = 4;

/// Minimum number of differing buckets for which the table is pulled page by page.
const MIN_TRANSFER_BUCKETS: usize = 16;

/// Maximum number of entries in a summary; at up to 10 bytes each they must fit one datagram.
const MAX_SUMMARY_ENTRIES: usize = 80;

/// Maximum size in bytes of the records in a datagram; the rest of the datagram holds the header
/// and the wanted hashes.
const MAX_RECORDS_BYTES: usize = 700;

/// Maximum number of wanted hashes in one datagram.
const MAX_WANTED_HASHES: usize = 40;

/// Number of records in a complete page.
pub const PAGE_RECORDS: usize = 200;

/// Interval between pages: 200 records of about 80 bytes a second stay below 24 KB/s.
pub const PAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a page that did not arrive is requested from another peer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the next request after a failed pull or an incomplete page.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum time between transfers of the whole table.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_secs(60);

/// Number of incomplete pages in a row after which they are accepted as complete. In a fleet that
/// starts all at once, no node has a complete page; rumours and anti-entropy then fill the table.
const MAX_INCOMPLETE_PAGES: u8 = 3;

/// State of a running transfer of the member table.
#[derive(Clone, Debug)]
pub(super) struct TableTransfer {
    /// Whether only records of called services are pulled at this stage.
    called_services_only: bool,
    /// Last node of the latest page.
    after: Option<NodeName>,
    next_page_at: Instant,
    /// Peer for the next page. If it is `None`, a random one is chosen, so that nodes that join
    /// together do not all load the same seed.
    next_peer: Option<Slot>,
    /// Peer of the latest request.
    asked_peer: Option<Slot>,
    /// Peer that answered last; it is the fallback when another one fails.
    last_good_peer: Option<Slot>,
    /// Number of incomplete pages received in a row.
    incomplete_pages: u8,
}

impl TableTransfer {
    fn new(called_services_only: bool, next_peer: Option<Slot>, now: Instant) -> Self {
        Self {
            called_services_only,
            after: None,
            next_page_at: now,
            next_peer,
            asked_peer: None,
            last_good_peer: None,
            incomplete_pages: 0,
        }
    }
}

impl Membership {
    pub(super) fn tick_sync(&mut self, now: Instant) {
        if now >= self.next_sync {
            self.next_sync = now + SYNC_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
            if let Some(slot) = self.random_members(1, self.local).first().copied() {
                let buckets = self.table.digest().to_vec();
                self.send(slot, Body::Digest { buckets });
            }
        }
        self.tick_transfer(now);
    }

    /// Starts a transfer of the table, with the records of called services first.
    pub(super) fn start_transfer(&mut self, next_peer: Option<Slot>, now: Instant) {
        let called_services_only = !self.called_services.is_empty();
        self.transfer = Some(TableTransfer::new(called_services_only, next_peer, now));
    }

    fn tick_transfer(&mut self, now: Instant) {
        let Some(transfer) = &self.transfer else { return };
        if now < transfer.next_page_at {
            return;
        }
        let services =
            if transfer.called_services_only { self.called_services.clone() } else { Vec::new() };
        let pull = MembersPull { services, after: transfer.after.clone() };
        // If no member is selectable at random, the peer that answered last is tried again.
        let (next, last_good_peer) = (transfer.next_peer, transfer.last_good_peer);
        let next_peer =
            next.or_else(|| self.random_members(1, self.local).first().copied()).or(last_good_peer);
        let address = next_peer.and_then(|slot| self.table.entry(slot));
        if let Some(transfer) = &mut self.transfer {
            transfer.next_peer = None;
            transfer.asked_peer = next_peer;
            transfer.next_page_at = now + PAGE_TIMEOUT;
        }
        if let Some(address) = address.map(|entry| entry.record.addresses.inner) {
            self.actions.push(Action::Pull { address, pull });
        }
    }

    /// Answers a peer's pull. A node whose own transfer is running serves what the transfer has
    /// covered. Beyond that it returns less than a full page with `more` set, which marks the page
    /// as incomplete.
    pub fn serve_pull(&self, pull: &MembersPull) -> MembersPush {
        let after = self.table.after(pull.after.as_ref()).map(|entry| &entry.record);
        let mut wanted = after.filter(|record| {
            record.is_present()
                && (pull.services.is_empty() || pull.services.contains(&record.service))
        });
        let mut records: Vec<Record> = wanted.by_ref().take(PAGE_RECORDS).cloned().collect();
        let mut more = wanted.next().is_some();
        if let Some(transfer) = &self.transfer {
            let reached = transfer.after.as_ref().filter(|_| !transfer.called_services_only);
            let last = records.last().map(|record| &record.node);
            if last > reached || !more {
                records.truncate(PAGE_RECORDS - 1);
            }
            more = true;
        }
        MembersPush { records, more }
    }

    /// Merges the records of a page without advancing a transfer, for example from a snapshot.
    pub fn merge_page(&mut self, push: MembersPush, now: Instant) {
        for record in push.records {
            self.merge(record, false, now);
        }
    }

    /// Processes a page of the running transfer, or `None` if the pull failed.
    pub fn receive_page(&mut self, push: Option<MembersPush>, now: Instant) {
        let Some(mut transfer) = self.transfer.take() else { return };
        transfer.next_page_at = now + PAGE_INTERVAL;
        let Some(push) = push else {
            transfer.next_page_at = now + PAGE_RETRY_DELAY;
            transfer.next_peer = transfer.last_good_peer.take();
            self.transfer = Some(transfer);
            return;
        };
        transfer.last_good_peer = transfer.asked_peer;
        let incomplete = push.more && push.records.len() < PAGE_RECORDS;
        transfer.incomplete_pages =
            if incomplete { transfer.incomplete_pages.saturating_add(1) } else { 0 };
        if incomplete && transfer.incomplete_pages < MAX_INCOMPLETE_PAGES {
            transfer.next_page_at = now + PAGE_RETRY_DELAY;
            self.transfer = Some(transfer);
            return self.merge_page(push, now);
        }
        let more = push.more && !push.records.is_empty();
        transfer.after = push.records.last().map(|record| record.node.clone());
        for record in push.records {
            self.merge(record, false, now);
        }
        if more {
            self.transfer = Some(transfer);
        } else if transfer.called_services_only {
            self.transfer =
                Some(TableTransfer { called_services_only: false, after: None, ..transfer });
        } else {
            self.transferred_at = Some(now);
        }
    }

    pub(super) fn handle_digest(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        theirs: &[u32],
        now: Instant,
    ) {
        let own = self.table.digest();
        if theirs.len() != own.len() {
            return;
        }
        let mut differing: Vec<usize> =
            (0..own.len()).filter(|bucket| own[*bucket] != theirs[*bucket]).collect();
        self.transfer_if_diverged(datagram, differing.len(), now);
        differing.shuffle(&mut self.rng);
        for bucket in differing.into_iter().take(BUCKETS_PER_EXCHANGE) {
            self.send_summary(datagram, source, bucket);
        }
    }

    fn transfer_if_diverged(&mut self, datagram: &Datagram, differing: usize, now: Instant) {
        let recent = self
            .transferred_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_TRANSFER_INTERVAL);
        if differing >= MIN_TRANSFER_BUCKETS && self.transfer.is_none() && !recent {
            let next_peer = self.table.slot(&datagram.from);
            self.transfer = Some(TableTransfer::new(false, next_peer, now));
        }
    }

    fn send_summary(&mut self, datagram: &Datagram, source: SocketAddr, bucket: usize) {
        let (first, last) = bucket_range(bucket);
        let all = self.table.summary(first, last);
        let mut from = first;
        let mut rest = &all[..];
        loop {
            // Entries with equal hashes must stay in the same datagram.
            let mut cut = rest.len().min(MAX_SUMMARY_ENTRIES);
            while cut > 0 && cut < rest.len() && rest[cut - 1].node == rest[cut].node {
                cut += 1;
            }
            let to = if cut == rest.len() { last } else { rest[cut - 1].node };
            let entries = rest[..cut].to_vec();
            let body = Body::Summary { bucket: bucket as u8, from, to, entries };
            self.reply(datagram, source, body);
            rest = &rest[cut..];
            if to == last {
                return;
            }
            from = to + 1;
        }
    }

    pub(super) fn handle_summary(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        (from, to): (u32, u32),
        theirs: &[SummaryEntry],
    ) {
        if from > to {
            return;
        }
        let own = self.table.summary(from, to);
        let known: HashSet<_> = own.iter().map(|e| (e.node, e.version)).collect();
        let sent: HashSet<_> = theirs.iter().map(|e| (e.node, e.version)).collect();
        let differs = |e: &&SummaryEntry| !known.contains(&(e.node, e.version));
        let wanted: Vec<u32> = theirs.iter().filter(differs).map(|e| e.node).collect();
        let lacking = own.iter().filter(|e| !sent.contains(&(e.node, e.version))).map(|e| e.node);
        // The peer also gets records of members that failed or left here but are present there.
        let mut offered: Vec<u32> = lacking.chain(wanted.iter().copied()).collect();
        offered.sort_unstable();
        offered.dedup();
        self.send_records(datagram, source, &offered, &wanted);
    }

    pub(super) fn handle_records(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        records: &[Record],
        wanted: &[u32],
        now: Instant,
    ) {
        for record in records {
            self.merge(record.clone(), true, now);
        }
        if !wanted.is_empty() {
            self.send_records(datagram, source, wanted, &[]);
        }
    }

    /// Sends the records with the given hashes and the wanted hashes, in as many datagrams as they
    /// need.
    fn send_records(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        hashes: &[u32],
        wanted: &[u32],
    ) {
        let records: Vec<Record> = hashes
            .iter()
            .flat_map(|hash| self.table.with_hash(*hash))
            .map(|entry| entry.record.clone())
            .collect();
        let mut wanted = wanted.chunks(MAX_WANTED_HASHES).map(<[u32]>::to_vec);
        let mut batch = Vec::new();
        let mut bytes = 0;
        for record in records {
            let size = codec::encode(&record).len();
            if bytes + size > MAX_RECORDS_BYTES && !batch.is_empty() {
                let records = std::mem::take(&mut batch);
                let wanted = wanted.next().unwrap_or_default();
                self.reply(datagram, source, Body::Records { records, wanted });
                bytes = 0;
            }
            bytes += size;
            batch.push(record);
        }
        let last = wanted.next().unwrap_or_default();
        if !batch.is_empty() || !last.is_empty() {
            self.reply(datagram, source, Body::Records { records: batch, wanted: last });
        }
        for wanted in wanted {
            self.reply(datagram, source, Body::Records { records: Vec::new(), wanted });
        }
    }

    fn reply(&mut self, datagram: &Datagram, to: SocketAddr, body: Body) {
        let node = Some(datagram.from.clone());
        self.actions.push(Action::Send { to, node, body, introduce: false });
    }
}
