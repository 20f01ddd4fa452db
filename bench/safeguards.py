"""Shows that each safeguard is needed: takes it out of a copy, and its test must fail.

``make prove`` prints a line for each safeguard and exits non-zero if a test passes without it.
"""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
AGENT = "packages/wrenloft-agent/src/wrenloft_agent"
AGENT_TESTS = "packages/wrenloft-agent/tests"
NODE = "packages/wrenloft/src/wrenloft"
NODE_TESTS = "packages/wrenloft/tests"
POLICY = "packages/wrenloft-policy/src/wrenloft_policy"
POLICY_TESTS = "packages/wrenloft-policy/tests"
ROUTING = "packages/wrenloft-routing/src/wrenloft_routing"
ROUTING_TESTS = "packages/wrenloft-routing/tests"
SWARM = "packages/wrenloft-swarm/src/wrenloft_swarm"
SWARM_TESTS = "packages/wrenloft-swarm/tests/test_swarm.py"
ADAPTER = "platform/wrenloft_platform"
ADAPTER_TESTS = "tests/platform"
REQUESTS = "tests/test_requests_under_failure.py"
PARALLEL = 4
TEST_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Safeguard:
    """One safeguard, how it is taken out, and the test that must then fail."""

    name: str
    file: str
    present: str
    absent: str
    test: str


SAFEGUARDS = (
    Safeguard(
        "a chunk is checked before it is kept",
        f"{AGENT}/_store.py",
        "if digest_bytes(data) != digest:",
        "if False:",
        f"{AGENT_TESTS}/test_models.py::TestOrder::test_serves_a_version_only_once_it_is_whole",
    ),
    Safeguard(
        "an id is taken once",
        f"{AGENT}/_runs.py",
        "if request_id in self._runs or request_id in self._spent:",
        "if False:",
        f"{AGENT_TESTS}/test_runs.py::TestOpen::test_refuses_a_second_copy",
    ),
    Safeguard(
        "a tombstone is kept",
        f"{AGENT}/_runs.py",
        "run = self._runs[request_id] = Run(request_id, idempotent=False)",
        "run = Run(request_id, idempotent=False)",
        f"{AGENT_TESTS}/test_runs.py::TestOpen"
        "::test_refuses_the_late_original_after_a_tombstone",
    ),
    Safeguard(
        "a spent id is remembered",
        f"{AGENT}/_runs.py",
        "self._spent.add(run.request_id)",
        "pass",
        f"{AGENT_TESTS}/test_runs.py::TestOpen::test_remembers_a_spent_id_without_its_answer",
    ),
    Safeguard(
        "an agent refuses an older epoch",
        f"{AGENT}/_models.py",
        "if epoch < self._fences.get(shard, 0):",
        "if False:",
        f"{AGENT_TESTS}/test_models.py::TestOrder"
        "::test_refuses_an_old_epoch_even_if_the_engine_would_not",
    ),
    Safeguard(
        "an agent refuses an older revision",
        f"{AGENT}/_models.py",
        "if current is not None and target.revision < current.revision:",
        "if False:",
        f"{AGENT_TESTS}/test_models.py::TestOrder::test_refuses_an_older_revision",
    ),
    Safeguard(
        "a version is freed only when unused",
        f"{AGENT}/_models.py",
        "while self._uses(old):",
        "while False:",
        f"{AGENT_TESTS}/test_models.py::TestOrder"
        "::test_keeps_the_old_version_until_its_last_request_has_ended",
    ),
    Safeguard(
        "answers carry the request's own id",
        f"{AGENT}/runner/_calls.py",
        "return events.count(request_id.encode()) >= expected",
        "return expected >= 0",
        f"{AGENT_TESTS}/test_calls.py::TestCall::test_throws_away_a_crossed_answer",
    ),
    Safeguard(
        "the HTTP client does not send again by itself",
        f"{AGENT}/_sessions.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        f"{AGENT_TESTS}/test_calls.py::TestCall::test_sends_once_though_the_answer_is_cut_off",
    ),
    Safeguard(
        "alarms pass the agent's queue",
        f"{AGENT}/runner/_gate.py",
        "return self.running < self.capacity * _ALARM_FACTOR",
        "return self.running < max(1, self.capacity - self.alarm_slots)",
        f"{AGENT_TESTS}/test_gate.py::TestEnter::test_lets_an_alarm_past_a_full_queue",
    ),
    Safeguard(
        "origin permits are needed",
        f"{AGENT}/_transfer.py",
        "for chunk, at in self._permits.items()",
        "for chunk, at in [(each, 0.0) for each in range(len(manifest.digests))]",
        f"{AGENT_TESTS}/test_transfer.py::TestRun::test_does_not_ask_the_origin_without_a_permit",
    ),
    Safeguard(
        "a transfer under way is left alone",
        f"{AGENT}/_models.py",
        "if not holds and self._tasks[target.model].done():",
        "if not holds:",
        f"{AGENT_TESTS}/test_models.py::TestWatchEngine::test_leaves_a_transfer_under_way_alone",
    ),
    Safeguard(
        "a process never applies a lower revision",
        f"{NODE}/platform/_configurations.py",
        "if head.revision <= self.revision:\n            return False",
        "if False:\n            return False",
        f"{NODE_TESTS}/test_configurations.py::TestAdopt::test_never_goes_back",
    ),
    Safeguard(
        "a lost reply is settled by the operation id",
        f"{NODE}/platform/_configurations.py",
        "if winner.operation == head.operation:",
        "if False:",
        f"{NODE_TESTS}/test_configurations.py::TestAccept"
        "::test_finds_its_own_change_after_the_reply_was_lost",
    ),
    Safeguard(
        "the head moves by compare-and-swap",
        f"{NODE}/platform/_configurations.py",
        "if await self._keyvalue.commit([condition], puts):",
        "if await self._keyvalue.commit([], puts):",
        f"{NODE_TESTS}/test_configurations.py::TestAccept"
        "::test_tells_the_loser_of_a_race_who_won",
    ),
    Safeguard(
        "a claim compares the owner's registration",
        f"{NODE}/platform/_shards.py",
        "conditions.append(Absent(name_node(record.owner)))",
        "pass",
        f"{NODE_TESTS}/test_shards.py::TestBalance"
        "::test_does_not_claim_from_an_owner_that_renewed_since_the_read",
    ),
    Safeguard(
        "a lease ends for its holder before it ends at the service",
        f"{POLICY}/_ownership.py",
        "self.sent_at + self.seconds * (1.0 - _MARGIN)",
        "self.sent_at + self.seconds",
        f"{NODE_TESTS}/test_shards.py::TestLease::test_ends_before_the_service_ends_it",
    ),
    Safeguard(
        "the table decides what is released",
        f"{NODE}/platform/_shards.py",
        "if record.owner == own and self._wanted_owner(number) not in (None, own)",
        "if number in self._owned and self._wanted_owner(number) not in (None, own)",
        f"{NODE_TESTS}/test_shards.py::TestBalance::test_releases_again_what_was_not_released",
    ),
    Safeguard(
        "a record's write names the claim of its shard",
        f"{NODE}/platform/_requests.py",
        "conditions += [Unchanged(name_shard(number), revision), Absent(put.key)]",
        "conditions += [Absent(put.key)]",
        f"{NODE_TESTS}/test_requests.py::TestClaim"
        "::test_grants_nothing_to_an_owner_that_was_replaced",
    ),
    Safeguard(
        "a lost reply to a claim is settled by reading back",
        f"{NODE}/platform/_requests.py",
        "return entry is not None and entry.value == first.value",
        "return False",
        f"{NODE_TESTS}/test_requests.py::TestClaim::test_grants_after_a_lost_reply",
    ),
    Safeguard(
        "an organisation that was idle saves up nothing",
        f"{POLICY}/_queue.py",
        "self._served[ticket.organisation] = max(served, floor)",
        "self._served[ticket.organisation] = served",
        f"{POLICY_TESTS}/test_limits.py::TestFairQueue::test_an_idle_organisation_saves_up_nothing",
    ),
    Safeguard(
        "half of the runners are never ejected",
        f"{POLICY}/_ejection.py",
        "while len(kept) < least and ejected:",
        "while False:",
        f"{POLICY_TESTS}/test_limits.py::TestEjections::test_never_ejects_all",
    ),
    Safeguard(
        "requests sent since a report count",
        f"{POLICY}/_runners.py",
        "return max(candidate.own, candidate.reported + candidate.sent_since)",
        "return candidate.reported",
        f"{POLICY_TESTS}/test_runners.py::TestChooseRunner"
        "::test_does_not_send_a_whole_burst_to_the_idlest_report",
    ),
    Safeguard(
        "an entry node ends only after its last request",
        f"{NODE}/_node.py",
        "        await self._routes.finish()\n",
        "",
        f"{REQUESTS}::TestPlannedStop::test_an_entry_node_ends_after_its_last_request",
    ),
    Safeguard(
        "an agent that leaves refuses new work itself",
        f"{AGENT}/nodes/_requests.py",
        "if self.leaving:",
        "if False:",
        "tests/test_requests_under_failure.py::TestPlannedStop"
        "::test_a_leaving_agent_refuses_what_a_late_node_sends",
    ),
    Safeguard(
        "an order names its agent",
        f"{AGENT}/nodes/_orders.py",
        '            return messages.OrderReply(reason="another agent", state=self._describe())',
        "            pass",
        f"{AGENT_TESTS}/test_orders.py::TestOrder"
        "::test_refuses_an_order_meant_for_its_predecessor",
    ),
    Safeguard(
        "a started request is never sent elsewhere",
        f"{NODE}/callers/_runs.py",
        "fate = await self._client.bury(entry.agent_id, address, attempt_id)\n        if fate is",
        "fate = Fate.NOT_RUN\n        if fate is",
        f"{REQUESTS}::TestKilled::test_an_unkeyed_note_is_never_sent_again",
    ),
    Safeguard(
        "routing: a leaving endpoint stays leaving",
        f"{ROUTING}/_endpoints.py",
        "leaving = self._left.get(agent_id, -1) >= endpoint.born",
        "leaving = False",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints::test_leaving_outlives_a_lapsed_entry",
    ),
    Safeguard(
        "routing: entries missing after an outage are doubted",
        f"{ROUTING}/_endpoints.py",
        "if agent_id not in seen and trusted:",
        "if agent_id not in seen:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_missing_entry_is_gone_only_if_the_reading_is_trusted",
    ),
    Safeguard(
        "routing: a report that the version was given up goes before the list",
        f"{ROUTING}/_endpoints.py",
        "(report.version == 0 or report.version >= listed)",
        "report.version >= listed",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_engine_that_gave_up_a_version_is_not_used_because_of_the_list",
    ),
    Safeguard(
        "routing: keys need a fresh proof",
        f"{ROUTING}/_forward.py",
        "if not self._proof.allows_keys():",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestAdmission"
        "::test_old_proof_refuses_keys_but_serves_public_rules",
    ),
    Safeguard(
        "routing: what is not idempotent is not repeated",
        f"{ROUTING}/_forward.py",
        "allowed = progress.rule.idempotent and not progress.on_trial",
        "allowed = not progress.on_trial",
        f"{ROUTING_TESTS}/test_forward.py::TestWholeAnswers"
        "::test_unsafe_request_is_never_sent_twice",
    ),
    Safeguard(
        "routing: an answer must be this request's",
        f"{ROUTING}/_forward.py",
        "if not reply.genuine:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestWholeAnswers"
        "::test_unsafe_request_is_never_sent_twice",
    ),
    Safeguard(
        "routing: events follow on each other",
        f"{ROUTING}/_streams.py",
        "if not _follow_on(events, pump.last):",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestStreams::test_wrong_continuation_is_never_joined",
    ),
    Safeguard(
        "routing: each naming keeps its deadline",
        f"{ROUTING}/_gate.py",
        "known.append(wanted)",
        "known[:] = [wanted]",
        f"{ROUTING_TESTS}/test_forward.py::TestVersions"
        "::test_later_version_does_not_put_off_an_earlier_deadline",
    ),
    Safeguard(
        "routing: a chain is of one version",
        f"{ROUTING}/_chains.py",
        "return held[state.endpoint.agent_id].version == version",
        "return True",
        f"{ROUTING_TESTS}/test_chains.py::TestListAble"
        "::test_parts_of_two_versions_are_never_joined",
    ),
    Safeguard(
        "swarm: a chunk is checked before it is kept",
        f"{SWARM}/_chunk_store.py",
        "if not self.is_own(chunk, data):",
        "if False:",
        f"{SWARM_TESTS}::TestHolding::test_refuses_spoilt_bytes",
    ),
    Safeguard(
        "swarm: staged chunks are read back before the order",
        f"{SWARM}/_reconciler.py",
        "return data is not None and holding.is_own(chunk, data)",
        "return data is not None",
        f"{SWARM_TESTS}::TestUpkeep" "::test_rotten_staged_chunks_are_replaced_before_the_order",
    ),
    Safeguard(
        "swarm: nothing is staged between check and order",
        f"{SWARM}/_reconciler.py",
        "async with self._staging:\n            await self._verify",
        "if True:\n            await self._verify",
        f"{SWARM_TESTS}::TestUpkeep::test_next_versions_chunk_takes_no_checked_ones_place",
    ),
    Safeguard(
        "swarm: a part that was fetched is loaded",
        f"{SWARM}/_reconciler.py",
        "if state.span is None:\n            return True",
        "if state.span is None:\n            return self._means.is_cold()",
        f"{SWARM_TESTS}::TestUpkeep::test_part_is_loaded_though_others_were_faster",
    ),
    Safeguard(
        "swarm: a stalled fetch keeps no requests away",
        f"{SWARM}/_reconciler.py",
        "if holding.missing() and read_clock() - holding.added_at > STALL_SECONDS:",
        "if False:",
        f"{SWARM_TESTS}::TestUpkeep::test_stalled_fetch_keeps_no_requests_away",
    ),
    Safeguard(
        "adapter: the newest incarnation at an address counts",
        f"{ADAPTER}/_follow.py",
        "for item in sorted(reading.items, key=lambda each: each.revision):",
        "for item in reading.items:",
        f"{ADAPTER_TESTS}/test_decode.py::TestEndpointEntries"
        "::test_newest_incarnation_at_an_address_counts",
    ),
    Safeguard(
        "adapter: an answer without length needs a clean end",
        f"{ADAPTER}/_runner.py",
        "if not data and not self._framed:",
        "if False:",
        f"{ADAPTER_TESTS}/test_runner.py::TestRunnerTransport"
        "::test_unframed_answer_ends_with_a_clean_close_only",
    ),
    Safeguard(
        "adapter: the client library repeats nothing",
        f"{ADAPTER}/_serve.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        f"{ADAPTER_TESTS}/test_runner.py::TestRunnerTransport"
        "::test_closed_kept_connection_is_lost_and_sent_once",
    ),
    Safeguard(
        "a later start of an endpoint begins anew",
        f"{ROUTING}/_endpoints.py",
        "if state is not None and endpoint.born > state.endpoint.born:",
        "if False:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_endpoint_that_starts_again_has_left_nothing",
    ),
    Safeguard(
        "word of an earlier incarnation is dropped",
        f"{ROUTING}/_endpoints.py",
        "if report.born >= state.endpoint.born:",
        "if True:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_word_of_an_earlier_incarnation_changes_nothing",
    ),
    Safeguard(
        "an entry names a configured service",
        f"{ADAPTER}/_follow.py",
        "if services is not None and endpoint.service not in services:",
        "if False:",
        f"{ADAPTER_TESTS}/test_decode.py::TestEndpointEntries"
        "::test_entry_of_another_writer_takes_nobody_s_place",
    ),
    Safeguard(
        "what waits shares the room by chance",
        f"{ROUTING}/_gate.py",
        "if queue.fresh + queue.late <= 1:",
        "if True:",
        f"{ROUTING_TESTS}/test_loads.py::TestContention::test_engine_that_is_back_is_not_flooded",
    ),
    Safeguard(
        "silent nodes stop counting",
        f"{ROUTING}/_loads.py",
        "if now - at > HEARD_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_loads.py::TestPeerLoads::test_silent_node_stops_counting",
    ),
    Safeguard(
        "a version that is due is no failure of the engine",
        f"{ROUTING}/_forward.py",
        "if read_clock() >= progress.begin_by:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestVersions"
        "::test_engine_is_not_blamed_for_a_version_that_is_due",
    ),
    Safeguard(
        "feeders leave their link to the origin",
        f"{POLICY}/_fetching.py",
        "if mine and origin_first and not origin_free:",
        "if False:",
        f"{POLICY_TESTS}/test_fetching.py::TestChooseFetch"
        "::test_feeder_leaves_its_link_to_the_origin",
    ),
    Safeguard(
        "any version that is about to be loaded keeps requests away",
        f"{SWARM}/_reconciler.py",
        "for each in self._wanted if each.number > state.version)",
        "for each in [self._current] if each.number > state.version)",
        f"{SWARM_TESTS}::TestUpkeep"
        "::test_requests_are_kept_away_while_the_version_after_is_fetched",
    ),
    Safeguard(
        "a follower is not told its own requests",
        f"{ROUTING}/_zone_view.py",
        "sums[agent_id] = sums.get(agent_id, NO_LOAD) - load",
        "sums[agent_id] = sums.get(agent_id, NO_LOAD)",
        f"{ROUTING_TESTS}/test_zone.py::TestFrameWriter"
        "::test_follower_is_not_told_its_own_requests",
    ),
    Safeguard(
        "a reading never looks younger than it is",
        f"{ROUTING}/_store_snapshots.py",
        "change.begun_at - self._clock_lead",
        "change.begun_at",
        f"{ROUTING_TESTS}/test_zone.py::TestReadingMirror"
        "::test_reading_never_looks_younger_than_it_is",
    ),
    Safeguard(
        "a lost relay is passed over",
        f"{ROUTING}/_members.py",
        "member.avoided_until = read_clock() + pause",
        "member.avoided_until = 0.0",
        f"{ROUTING_TESTS}/test_local_state.py::TestMembers"
        "::test_relay_that_was_lost_is_passed_over_for_a_while",
    ),
    Safeguard(
        "a node that knows only itself stays with who asked it",
        f"{ROUTING}/_zone.py",
        "        if len(self._members) == 1:\n            return False\n",
        "",
        f"{ROUTING_TESTS}/test_zone.py::TestZoneLink"
        "::test_node_that_starts_while_the_store_is_away_follows_who_asks",
    ),
    Safeguard(
        "other nodes of a zone read the store in turns",
        f"{ROUTING}/_store_snapshots.py",
        "wait = self._random.uniform(0.0, 2.0 * SELF_READ_SECONDS * nodes)",
        "wait = 0.0",
        f"{ROUTING_TESTS}/test_local_state.py::TestSharedReading"
        "::test_store_that_is_away_gets_few_calls_from_many_nodes",
    ),
    Safeguard(
        "relays take over reading in turn",
        f"{POLICY}/_relays.py",
        "min(TAKE_OVER_LATEST, STALE_FACTOR + TAKE_OVER_STEP * (place_rank - 1))",
        "1.0",
        f"{POLICY_TESTS}/test_relays.py::TestReadPatience::test_relays_take_over_in_turn",
    ),
    Safeguard(
        "a look counts what it sent",
        f"{ROUTING}/_endpoint_snapshot.py",
        "waiting=load.waiting + 1",
        "waiting=load.waiting",
        f"{ROUTING_TESTS}/test_snapshot.py::TestSnapshot::test_requests_of_one_moment_spread",
    ),
    Safeguard(
        "a look ends when it changes who can be used",
        f"{ROUTING}/_endpoint_snapshot.py",
        "return self.revision == revision and now",
        "return now",
        f"{ROUTING_TESTS}/test_snapshot.py::TestSnapshot"
        "::test_leaving_endpoint_gets_nothing_from_an_older_look",
    ),
    Safeguard(
        "chunks are not late while the origin is drained",
        f"{POLICY}/_fetching.py",
        "age - DRAIN_MARGIN * drain_seconds",
        "age - 1.0",
        f"{POLICY_TESTS}/test_fetching.py::TestLateness"
        "::test_chunks_are_not_late_while_the_origin_is_drained",
    ),
    Safeguard(
        "late chunks pass on to other agents",
        f"{POLICY}/_fetching.py",
        "skip = int(late / turn) % len(members)",
        "skip = 0",
        f"{POLICY_TESTS}/test_fetching.py::TestListFeeders"
        "::test_late_chunks_are_everybody_s_and_pass_on",
    ),
    Safeguard(
        "agents follow a bounded set of others",
        f"{SWARM}/_neighbours.py",
        "chosen += members[: MOST_NEAR if first.near else elsewhere]",
        "chosen += members",
        "packages/wrenloft-swarm/tests/test_neighbours.py::TestChooseFollowed"
        "::test_connections_do_not_grow_with_the_fleet",
    ),
    Safeguard(
        "the store's content goes deflated",
        f"{ROUTING}/_packing.py",
        "<= PLAIN_BYTES:",
        "<= PLAIN_BYTES * PLAIN_BYTES:",
        f"{ROUTING_TESTS}/test_packing.py::TestPackItems"
        "::test_all_nodes_of_a_zone_are_told_within_the_time_to_serve",
    ),
    Safeguard(
        "deflated text is taken out up to a length",
        f"{ROUTING}/_packing.py",
        "if not inflater.eof:",
        "if False:",
        f"{ROUTING_TESTS}/test_packing.py::TestPackItems"
        "::test_what_is_no_packed_text_is_refused",
    ),
    Safeguard(
        "a list's revision is its first page's",
        f"{ADAPTER}/_store.py",
        "if revision is None:",
        "if True:",
        f"{ADAPTER_TESTS}/test_ranges.py::TestRangeReader"
        "::test_changes_between_pages_are_not_missed",
    ),
    Safeguard(
        "lost history is read whole",
        f"{ADAPTER}/_ranges.py",
        "except HistoryLostError:",
        "except ZeroDivisionError:",
        f"{ADAPTER_TESTS}/test_ranges.py::TestRangeReader::test_lost_history_is_read_whole",
    ),
    Safeguard(
        "one node of a zone becomes its seed",
        f"{ADAPTER}/_seeds.py",
        "            return await self.find()\n        return own",
        "            return own\n        return own",
        f"{ADAPTER_TESTS}/test_seeds.py::TestSeeds"
        "::test_all_that_start_together_ask_the_same_node",
    ),
    Safeguard(
        "an agent lists nothing before the seed's key is read",
        f"{ADAPTER}/_relay_tracker.py",
        "return self._has_asked and not self.is_fed",
        "return True",
        f"{ADAPTER_TESTS}/test_relay_tracker.py::TestFeed"
        "::test_lists_nothing_while_the_store_answers_nothing",
    ),
    Safeguard(
        "agents of a large fleet wait longer",
        f"{ADAPTER}/_relay_tracker.py",
        "self._patience if self.is_large else 0.0",
        "0.0",
        f"{ADAPTER_TESTS}/test_relay_tracker.py::TestFeed::test_agents_of_a_large_fleet_wait_longer",
    ),
    Safeguard(
        "a change of rules is not told to agents",
        f"{ADAPTER}/_agent_documents.py",
        "if self._reduced is None or self._reduced.value != value:",
        "if True:",
        f"{ADAPTER_TESTS}/test_agent_documents.py::TestAgentDocuments"
        "::test_change_of_rules_is_not_told",
    ),
    Safeguard(
        "urgent chunks go first",
        f"{SWARM}/_upload_queue.py",
        "(not urgent, next(self._order), turn)",
        "(False, next(self._order), turn)",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadTurns"
        "::test_urgent_chunks_go_first_and_in_order",
    ),
    Safeguard(
        "a slow receiver gives the link back",
        f"{SWARM}/_upload_queue.py",
        "call_later(ALONE_SECONDS, release)",
        "call_later(1e6, release)",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadTurns"
        "::test_slow_receiver_does_not_hold_the_link",
    ),
    Safeguard(
        "a turn passes on when its asker has left",
        f"{SWARM}/_upload_queue.py",
        "self._pass_on()  # it was",
        "pass  # it was",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadTurns"
        "::test_asker_that_leaves_holds_up_nobody",
    ),
    Safeguard(
        "chunks that lie staged are taken for the version on its way",
        f"{SWARM}/_reconciler.py",
        "if self._is_first_fetch:",
        "if False:",
        f"{SWARM_TESTS}::TestUpkeep::test_killed_agent_goes_on_where_it_was",
    ),
    Safeguard(
        "nobody waits for the digests of what lies staged",
        f"{SWARM}/_reconciler.py",
        "timeout=RECOVER_FIRST_SECONDS)",
        "timeout=None)",
        f"{SWARM_TESTS}::TestUpkeep"
        "::test_version_is_fetched_while_nobody_has_the_digests_of_what_lies_staged",
    ),
    Safeguard(
        "engines that are ready at different times keep one order",
        f"{POLICY}/_versions.py",
        "min(first_at, ready_at)",
        "ready_at",
        f"{POLICY_TESTS}/test_versions.py::TestPickSwapTime"
        "::test_engine_whose_turn_has_passed_goes_on_at_once",
    ),
    Safeguard(
        "engines go on one after the other",
        f"{POLICY}/_versions.py",
        "turn * max(SWAP_GAP_SECONDS, latest - start)",
        "0.0",
        f"{POLICY_TESTS}/test_versions.py::TestPickSwapTime"
        "::test_engines_go_on_one_after_the_other",
    ),
    Safeguard(
        "crashes told by other nodes count",
        f"{ROUTING}/_crash_ledger.py",
        "if told.age < EVIDENCE_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestHold"
        "::test_third_crash_seen_by_anybody_holds",
    ),
    Safeguard(
        "the fall of one incarnation is one crash",
        f"{ROUTING}/_crash_ledger.py",
        "entry.crashes[incarnation] = joined",
        'entry.crashes[IncarnationId(f"{incarnation}{self.revision}")] = joined',
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestHold::test_one_fall_told_by_many_is_one_crash",
    ),
    Safeguard(
        "an excuse goes before a crash, in any order",
        f"{POLICY}/_crashes.py",
        "standing=max(known.standing, told.standing)",
        "standing=told.standing",
        f"{POLICY_TESTS}/test_crashes.py::test_words_join_to_the_same_in_any_order",
    ),
    Safeguard(
        "contents with crashes are bounded",
        f"{ROUTING}/_crash_ledger.py",
        "while len(self._entries) > MOST_CONTENTS:",
        "while False:",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestBounds"
        "::test_hundred_thousand_contents_stay_within_bounds",
    ),
    Safeguard(
        "what is held back is dropped last",
        f"{ROUTING}/_crash_ledger.py",
        "oldest = (each for each in self._entries if each not in self._suspects)",
        "oldest = iter(self._entries)",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestBounds"
        "::test_hundred_thousand_contents_stay_within_bounds",
    ),
    Safeguard(
        "a whole answer speaks for its content",
        f"{ROUTING}/_crash_guard.py",
        "if ats and is_proven(proven_at, max(ats)):",
        "if False:",
        f"{ROUTING_TESTS}/test_crash_guard.py"
        "::test_poll_in_progress_at_each_engine_of_a_rack_is_not_held_back",
    ),
    Safeguard(
        "a worse content explains its victims",
        f"{POLICY}/_crashes.py",
        "unexplained -= theirs",
        "pass",
        f"{POLICY_TESTS}/test_crashes.py::test_victim_of_a_worse_request_is_not_counted",
    ),
    Safeguard(
        "a hold is stored by whoever saw a crash",
        f"{ROUTING}/_crash_guard.py",
        "if self._ledger.has_seen(content):",
        "if False:",
        f"{ROUTING_TESTS}/test_crash_guard.py::test_hold_is_stored_by_who_saw_a_crash",
    ),
    Safeguard(
        "one trial at a time at a node",
        f"{ROUTING}/_crash_guard.py",
        "self._trials[content] = read_clock()",
        "pass",
        f"{ROUTING_TESTS}/test_crash_guard.py::test_one_trial_a_minute_in_the_whole_fleet",
    ),
    Safeguard(
        "trials grow seldomer with each crash",
        f"{POLICY}/_crashes.py",
        "TRIAL_SECONDS * 2.0**further",
        "TRIAL_SECONDS",
        f"{POLICY_TESTS}/test_crashes.py::test_each_further_crash_doubles_the_wait",
    ),
    Safeguard(
        "a trial has one try",
        f"{ROUTING}/_forward.py",
        "allowed = progress.rule.idempotent and not progress.on_trial",
        "allowed = progress.rule.idempotent",
        f"{ROUTING_TESTS}/test_forward.py::TestHeldContent"
        "::test_failure_of_a_trial_is_passed_on",
    ),
    Safeguard(
        "word that comes while a request waits is heeded",
        f"{ROUTING}/_forward.py",
        "if not progress.on_trial and self._guard.find_hold(progress.content) is not None:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestHeldContent"
        "::test_word_that_comes_while_a_repeat_waits_for_room_is_heeded",
    ),
    Safeguard(
        "an endpoint that answers did not fall",
        f"{ROUTING}/_failure_detector.py",
        "if liveness is Liveness.REFUSED:",
        "if liveness is not Liveness.SILENT:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_broken_connection_to_a_live_endpoint_is_no_fall",
    ),
    Safeguard(
        "a request sent after a fall has no part in it",
        f"{ROUTING}/_failure_detector.py",
        "if sent_at <= losses.fell_at:",
        "if True:",
        f"{ROUTING_TESTS}/test_failure_detector.py::test_request_sent_after_the_fall_had_no_part_in_it",
    ),
    Safeguard(
        "an endpoint that is leaving may end",
        f"{ROUTING}/_failure_detector.py",
        "if state.leaving or not (listed or silent):",
        "if False:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_end_of_an_endpoint_that_was_leaving_is_no_fall",
    ),
    Safeguard(
        "a quick restart is a fall",
        f"{ROUTING}/_failure_detector.py",
        "return any(each.endpoint.incarnation != endpoint.incarnation for each in listed)",
        "return False",
        f"{ROUTING_TESTS}/test_failure_detector.py::test_endpoint_that_was_quick_to_restart_has_fallen",
    ),
    Safeguard(
        "a silent fall is found out by the next caller",
        f"{ROUTING}/_forward.py",
        "self._detector.note_unreachable(state)",
        "pass",
        f"{ROUTING_TESTS}/test_forward.py::TestHeldContent"
        "::test_call_that_waits_at_a_dark_endpoint_is_counted_before_its_deadline",
    ),
    Safeguard(
        "a hold outlives every node",
        f"{ADAPTER}/_entry.py",
        "self._crashes.merge(holds, CrashSource.STORE)",
        "pass",
        f"{ADAPTER_TESTS}/test_crashing_content.py::test_hold_outlives_every_entry_node",
    ),
    Safeguard(
        "a trial is one node's only",
        f"{ADAPTER}/_store.py",
        'expected = [{"key": key, "revision": 0}]',
        "expected: list[dict[str, Any]] = []",
        f"{ADAPTER_TESTS}/test_quarantines.py::test_one_of_two_nodes_claims_a_trial",
    ),
    Safeguard(
        "a rate limit is read from answers",
        f"{ADAPTER}/_runner.py",
        "self.named_limit = read_named_limit(headers.getall(names.RATE_LIMIT, ()))",
        "self.named_limit = None",
        f"{ADAPTER_TESTS}/test_rate_limits.py"
        "::test_limited_endpoint_gets_no_more_from_all_nodes_than_it_named[1.8]",
    ),
    Safeguard(
        "each try to a limited endpoint needs a grant",
        f"{ROUTING}/_forward.py",
        "await self._take_grants(placed.states, wanted.urgency)",
        "True",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits::test_every_try_asks_for_a_grant",
    ),
    Safeguard(
        "an endpoint without a grant is passed over",
        f"{ROUTING}/_gate.py",
        "states = [each for each in usable if each.denial.ask_after <= now]",
        "states = usable",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_goes_on_to_an_endpoint_with_room_at_once",
    ),
    Safeguard(
        "a request that limits leave no turn is refused at once",
        f"{ROUTING}/_gate.py",
        "if all(each.limited for each in loads):",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_without_a_turn_is_refused_at_once",
    ),
    Safeguard(
        "a request asks few of many limited endpoints",
        f"{ROUTING}/_gate.py",
        "return self.denials < MOST_DENIALS",
        "return True",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_asks_few_of_many_limited_endpoints",
    ),
    Safeguard(
        "a limiter's bucket begins empty",
        f"{ROUTING}/_limiter.py",
        "_Account(Bucket(0.0, now))",
        "_Account(Bucket(2.0, now))",
        f"{ROUTING_TESTS}/test_limiter.py::test_bucket_begins_empty",
    ),
    Safeguard(
        "only the limiter grants",
        f"{ROUTING}/_limiter.py",
        "if self.find_limiter(incarnation, request.place) != self._members.own.node_id:",
        "if False:",
        f"{ROUTING_TESTS}/test_limiter.py::test_node_that_is_not_the_limiter_grants_nothing",
    ),
    Safeguard(
        "the most urgent request gets the next grant",
        f"{ROUTING}/_limiter.py",
        "needed = count_needed(sum(each < request.urgency for each in others), rate)",
        "needed = 1.0",
        f"{ROUTING_TESTS}/test_limiter.py::test_urgent_request_that_was_denied_goes_first",
    ),
    Safeguard(
        "a limit ends after several answers without it",
        f"{POLICY}/_rate_limits.py",
        "ANSWERS_TO_END = 3",
        "ANSWERS_TO_END = 1",
        f"{ROUTING_TESTS}/test_limit_ledger.py::TestObserve"
        "::test_answers_without_it_among_others_do_not_end_it",
    ),
    Safeguard(
        "answers to requests sent before a limit was known do not end it",
        f"{ROUTING}/_limit_ledger.py",
        "if named is None and not limit_known:",
        "if False:",
        f"{ROUTING_TESTS}/test_limit_ledger.py::TestObserve"
        "::test_answers_to_requests_sent_before_do_not_end_it",
    ),
    Safeguard(
        "of two beliefs on a limit the later one holds",
        f"{POLICY}/_rate_limits.py",
        "if known is None or (told.sequence, told.node) > (known.sequence, known.node):",
        "if True:",
        f"{POLICY_TESTS}/test_rate_limits.py::TestJoinLimit"
        "::test_nodes_agree_in_whichever_order_they_hear",
    ),
    Safeguard(
        "parts of a split fleet share a limit",
        f"{POLICY}/_rate_limits.py",
        "return rate * MINORITY_SHARE * fleet.share",
        "return rate",
        f"{POLICY_TESTS}/test_rate_limits.py::TestAllotRate"
        "::test_two_parts_of_a_split_fleet_leave_room_for_their_bursts",
    ),
    Safeguard(
        "a bucket holds little",
        f"{POLICY}/_rate_limits.py",
        "return Bucket(min(measure_burst(rate), bucket.tokens + earned), now)",
        "return Bucket(bucket.tokens + earned, now)",
        f"{POLICY_TESTS}/test_rate_limits.py::TestRefillBucket"
        "::test_holds_little_however_long_nobody_came",
    ),
    Safeguard(
        "a limit binds one incarnation",
        f"{ROUTING}/_endpoints.py",
        "return self.limits.find_rate(state.endpoint.incarnation) if self.limits else None",
        "return next((each.rate for each in self.limits.list_in_force()), None)",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_endpoint_that_started_again_is_not_bound",
    ),
    Safeguard(
        "an urgent request asks where a less urgent one was denied",
        f"{ROUTING}/_gate.py",
        "if choice is None and opening is not None and request.urgency < opening.urgency:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_urgent_request_asks_where_a_less_urgent_one_was_denied",
    ),
    Safeguard(
        "an agent looks nodes up that it was never told of",
        f"{AGENT}/nodes/_attach.py",
        "self._known.addresses = listed",
        "pass",
        "tests/test_control_under_failure.py::TestConfiguration"
        "::test_survives_a_restart_of_which_no_agent_has_heard",
    ),
)


async def check(safeguard: Safeguard, slots: asyncio.Semaphore) -> bool:
    """Return whether the test fails without the safeguard."""
    async with slots:
        with tempfile.TemporaryDirectory(prefix="wrenloft-prove-") as folder:
            copy = Path(folder)
            for part in ("packages", "platform", "tests", "pyproject.toml"):
                source = ROOT / part
                if source.is_dir():
                    shutil.copytree(source, copy / part)
                else:
                    shutil.copy(source, copy / part)
            target = copy / safeguard.file
            text = target.read_text()
            if text.count(safeguard.present) != 1:
                print(f"STALE   {safeguard.name}: {safeguard.file} no longer has it once")
                return False
            target.write_text(text.replace(safeguard.present, safeguard.absent))
            failed = await run_test(copy, safeguard.test)
    print(f"{'needed ' if failed else 'UNPROVED'} {safeguard.name}", flush=True)
    return failed


def list_sources(copy: Path) -> str:
    """Return the copy's source folders as an import path."""
    return os.pathsep.join(str(each) for each in sorted(copy.glob("packages/*/src")))


async def run_test(copy: Path, test: str) -> bool:
    """Return whether a test fails in a copy of the tree, or never ends."""
    handle = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", test,
        cwd=copy,
        env={**os.environ, "PYTHONPATH": list_sources(copy)},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        start_new_session=True,
    )  # fmt: skip
    try:
        async with asyncio.timeout(TEST_SECONDS):
            return await handle.wait() == 1
    except TimeoutError:
        os.killpg(handle.pid, signal.SIGKILL)  # with the programs that the test has started
        await handle.wait()
        return True  # what it waits for never comes without the safeguard


async def run(words: str) -> int:
    """Check every safeguard whose name holds ``words``."""
    slots = asyncio.Semaphore(PARALLEL)
    chosen = [each for each in SAFEGUARDS if words in each.name]
    results = await asyncio.gather(*(check(each, slots) for each in chosen))
    print(f"{sum(results)} of {len(results)} safeguards shown to be needed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run(" ".join(sys.argv[1:]))))
