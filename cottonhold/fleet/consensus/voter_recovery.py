"""Recovery of a voter whose state folder is empty, until it may vote again; does no I/O.

A voter that has lost its promises and accepted states must not vote. With three voters, for example, a state
accepted by it and one other voter could be missed by the next majority. It recovers in these steps. Each
request is sent again until it is answered, and what an answer depends on is on disk before the answer is
sent.

1. The recovering voter requests from each other voter how often it has recovered before (its epoch), and uses
   the next number as its new epoch.
2. Each other voter records the new epoch and reports it in all later promises and acceptances. At the same
   time it makes a copy of its registers for the recovering voter.
3. With the copies of more than half of *the other voters*, the recovering voter holds the newest accepted
state
   of each register, and refuses all ballots below the highest promised one.

This is sufficient because a ballot's quorum that includes the recovering voter includes at least half of the
other voters, so at least one of them also sent a copy. If this one answered the ballot before it made the
copy, the copy contains its promise or accepted state. If it made the copy first, its answer reports the new
epoch to the proposer, which then ignores the lost answer that was given under a lower epoch.

In a new fleet all state folders are empty. A fleet is regarded as new only if *all* voters report in two
consecutive rounds, with the same folder ids, that they have never voted. Then all folders were empty at the
same time, so no accepted state can be lost. These are the founding folders: a voter that still has its
founding folder has lost nothing and may vote immediately.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.consensus.messages import HelloReply, RecoveryRequest, RegisterPage

MAX_EPOCH = 255  # an epoch is one byte of a message
MAX_ROUND = 0xFFFFFFFF


@dataclass(slots=True)
class RegisterCopy:
    """The received pages of another voter's registers, by page index."""

    pages: dict[int, RegisterPage] = field(default_factory=dict)

    def is_complete(self) -> bool:
        """Return whether all pages have arrived."""
        return 0 in self.pages and len(self.pages) >= max(self.pages[0].page_count, 1)

    def first_missing_page(self) -> int | None:
        """Return the index of the first page that has not arrived."""
        page_count = self.pages[min(self.pages)].page_count
        return next((index for index in range(page_count) if index not in self.pages), None)


@dataclass(slots=True, frozen=True)
class RecoveryResult:
    """The result of a recovery: the copies of a quorum of the other voters, and the epochs of all voters."""

    copies: list[RegisterCopy]
    epochs: list[int]


class VoterRecovery:
    """Sends the requests of a recovering voter and collects the answers.

    Args:
        member: The id of this member.
        voters: The ids of all configured voters.
        folder_id: The number that identifies its state folder.
    """

    def __init__(self, member: int, voters: Sequence[int], folder_id: int) -> None:
        self.member = member
        self.voters = tuple(voters)
        self.index = self.voters.index(member)
        self.other_voters = [voter for voter in self.voters if voter != member]
        self.quorum = len(self.other_voters) // 2 + 1  # more than half of the other voters
        self.folder_id = folder_id
        self.round = folder_id & 0x7FFFFFFF
        self.epoch = 0  # epoch of this recovery
        self.hello_replies: dict[int, HelloReply] = {}
        self.previous_new_folders: dict[int, int] = {}  # previous round's folder ids, if no voter was voting
        self.copies: dict[int, RegisterCopy] = {}
        self.pages_at_last_request = 0
        self.messages: list[SendConsensusMessage] = []

    def drain_messages(self) -> list[SendConsensusMessage]:
        """Return the pending messages and clear them."""
        messages, self.messages = self.messages, []
        return messages

    def next_round(self) -> list[int] | None:
        """Send the requests that are due; return the founding folder ids if the fleet is new, else None."""
        new_folders = {
            voter: reply.folder_id for voter, reply in self.hello_replies.items() if not reply.is_voting
        }
        if len(new_folders) < len(self.other_voters):
            new_folders = {}
        elif new_folders == self.previous_new_folders:
            return [self.folder_id if v == self.member else new_folders[v] for v in self.voters]
        self.previous_new_folders = new_folders
        received_pages = sum(len(copy.pages) for copy in self.copies.values())
        if received_pages > self.pages_at_last_request:
            self._request_missing_pages(received_pages)
        else:
            self._begin_round()
        return None

    def on_hello_reply(self, sender: int, reply: HelloReply) -> list[int] | None:
        """Apply an answer to HELLO; return the founding folder ids if they include this voter's folder."""
        self.hello_replies[sender] = reply
        if not reply.is_voting:
            return None
        if reply.founding_folder_ids[self.index] == self.folder_id:
            return list(reply.founding_folder_ids)
        voting = {voter: other for voter, other in self.hello_replies.items() if other.is_voting}
        if len(voting) >= self.quorum:
            self.epoch = max([self.epoch, *(other.epochs[self.index] + 1 for other in voting.values())])
            if self.epoch <= MAX_EPOCH:
                for voter in voting:
                    self._request_page(voter, 0)
        return None

    def on_register_page(self, sender: int, page: RegisterPage) -> RecoveryResult | None:
        """Apply a page of another voter's registers; return the result once a quorum sent complete copies."""
        if page.round != self.round or page.epoch != self.epoch:
            return None
        copy = self.copies.setdefault(sender, RegisterCopy())
        copy.pages[page.page_index] = page
        missing_pages = [index for index in range(page.page_count) if index not in copy.pages]
        if missing_pages:
            self._request_page(sender, missing_pages[0])
            return None
        return self._recovery_result()

    def _recovery_result(self) -> RecoveryResult | None:
        """Return the result if a quorum's copies are complete and valid.

        A copy is invalid if its voter has since lost its own state folder, as reported by a newer epoch.
        """
        complete = {voter: copy for voter, copy in self.copies.items() if copy.is_complete()}
        reported_epochs = {voter: copy.pages[0].epochs for voter, copy in complete.items()}
        newest_epochs = [max(column) for column in zip(*reported_epochs.values(), strict=True)]
        valid = []
        for voter, copy in complete.items():
            index = self.voters.index(voter)
            if reported_epochs[voter][index] >= newest_epochs[index]:
                valid.append(copy)
        return RecoveryResult(valid, newest_epochs) if len(valid) >= self.quorum else None

    def _begin_round(self) -> None:
        """Send HELLO to all other voters; answers to earlier rounds are ignored from now on."""
        self.pages_at_last_request = 0
        self.round = (self.round + 1) & MAX_ROUND
        self.hello_replies = {}
        self.copies = {}
        hello = RecoveryRequest(messages.HELLO, self.folder_id, self.round)
        payload = messages.encode_recovery_request(hello)
        self.messages += [SendConsensusMessage(voter, payload) for voter in self.other_voters]

    def _request_missing_pages(self, received_pages: int) -> None:
        """Request only the missing pages, since pages have arrived after the last request."""
        self.pages_at_last_request = received_pages
        for voter, copy in self.copies.items():
            missing_page = copy.first_missing_page()
            if missing_page is not None:
                self._request_page(voter, missing_page)

    def _request_page(self, voter: int, page_index: int) -> None:
        request = RecoveryRequest(messages.PAGE_REQUEST, self.folder_id, self.round, self.epoch, page_index)
        self.messages.append(SendConsensusMessage(voter, messages.encode_recovery_request(request)))
