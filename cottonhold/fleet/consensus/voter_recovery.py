"""How a voter with an empty folder regains its memory of registers, and with it its vote. Pure.

A voter that has forgotten must not vote: what it and one of two others accepted would be unknown to the next
majority. It recovers in these steps. Each request is sent again until it is answered, and each answer is on
disk before it is sent.

1. It asks how often the other voters know it to have recovered (its epoch), and takes the next number.
2. Each of the others records that number and from then on reports it in each promise and acceptance. In the
   same moment it copies its registers for the recovering voter.
3. With copies of more than half of *the others* it holds the newest accepted state of each register, and
   refuses all ballots up to the highest promised.

This is enough because a ballot's quorum that contains the recovering voter contains at least half of the
others, so one of them also gave a copy. If that one promised (or accepted) first, the copy shows it. If it
gave the copy first, its answer reports the new epoch to the proposer, and the forgotten answer, given under
the lower epoch, is not counted.

A new fleet has only empty folders. It is new only if *all* voters say in two consecutive rounds, under the
same folder ids, that they have never voted: then all of them had empty folders at one moment, and nothing
was accepted that could be lost. A voter whose folder id was there at that founding has missed nothing since
and votes at once.
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
    """Another voter's registers, as far as their pages have arrived, by page index."""

    pages: dict[int, RegisterPage] = field(default_factory=dict)

    def is_complete(self) -> bool:
        """Whether all pages have arrived."""
        return 0 in self.pages and len(self.pages) >= max(self.pages[0].page_count, 1)

    def first_missing_page(self) -> int | None:
        """Return the index of the first page that has not arrived."""
        page_count = self.pages[min(self.pages)].page_count
        return next((index for index in range(page_count) if index not in self.pages), None)


@dataclass(slots=True, frozen=True)
class RecoveredMemory:
    """With which the voter may vote again: copies of a quorum of the others, and all voters' epochs."""

    copies: list[RegisterCopy]
    epochs: list[int]


class VoterRecovery:
    """The recovering side: requests, and the answers to them."""

    def __init__(self, member: int, voters: Sequence[int], folder_id: int) -> None:
        self.member = member
        self.voters = tuple(voters)
        self.index = self.voters.index(member)
        self.other_voters = [voter for voter in self.voters if voter != member]
        self.quorum = len(self.other_voters) // 2 + 1  # more than half of the others
        self.folder_id = folder_id
        self.round = folder_id & 0x7FFFFFFF
        self.epoch = 0  # the epoch under which it recovers
        self.hello_replies: dict[int, HelloReply] = {}
        self.previous_new_folders: dict[int, int] = {}  # voters that had never voted, in the round before
        self.copies: dict[int, RegisterCopy] = {}
        self.pages_at_last_request = 0
        self.messages: list[SendConsensusMessage] = []

    def take_messages(self) -> list[SendConsensusMessage]:
        """Return the messages to be sent, once."""
        messages, self.messages = self.messages, []
        return messages

    def next_round(self) -> list[int] | None:
        """Send the requests that are due; return the founding folder ids if the fleet is found to be new."""
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
        """Apply an answer to HELLO; return the founding folder ids if this voter's folder is among them."""
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

    def on_register_page(self, sender: int, page: RegisterPage) -> RecoveredMemory | None:
        """Apply a page of another voter's registers; return the whole once a quorum's copies are complete."""
        if page.round != self.round or page.epoch != self.epoch:
            return None
        copy = self.copies.setdefault(sender, RegisterCopy())
        copy.pages[page.page_index] = page
        missing_pages = [index for index in range(page.page_count) if index not in copy.pages]
        if missing_pages:
            self._request_page(sender, missing_pages[0])
            return None
        return self._recovered_memory()

    def _recovered_memory(self) -> RecoveredMemory | None:
        """Two voters may recover at once: the copy of one that has itself forgotten since is not counted."""
        complete = {voter: copy for voter, copy in self.copies.items() if copy.is_complete()}
        reported_epochs = {voter: copy.pages[0].epochs for voter, copy in complete.items()}
        newest_epochs = [max(column) for column in zip(*reported_epochs.values(), strict=True)]
        valid = []
        for voter, copy in complete.items():
            index = self.voters.index(voter)
            if reported_epochs[voter][index] >= newest_epochs[index]:
                valid.append(copy)
        return RecoveredMemory(valid, newest_epochs) if len(valid) >= self.quorum else None

    def _begin_round(self) -> None:
        """Send HELLO to all others; answers to earlier rounds no longer count."""
        self.pages_at_last_request = 0
        self.round = (self.round + 1) & MAX_ROUND
        self.hello_replies = {}
        self.copies = {}
        hello = RecoveryRequest(messages.HELLO, self.folder_id, self.round)
        payload = messages.encode_recovery_request(hello)
        self.messages += [SendConsensusMessage(voter, payload) for voter in self.other_voters]

    def _request_missing_pages(self, received_pages: int) -> None:
        """Copies still arrive: request only the pages that were lost."""
        self.pages_at_last_request = received_pages
        for voter, copy in self.copies.items():
            missing_page = copy.first_missing_page()
            if missing_page is not None:
                self._request_page(voter, missing_page)

    def _request_page(self, voter: int, page_index: int) -> None:
        request = RecoveryRequest(messages.PAGE_REQUEST, self.folder_id, self.round, self.epoch, page_index)
        self.messages.append(SendConsensusMessage(voter, messages.encode_recovery_request(request)))
