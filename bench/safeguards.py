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
CORRUPT_CHUNKS = "packages/wrenloft-swarm/tests/test_corrupt_chunks.py::TestCorruptChunks"
STAGING_AREA = "packages/wrenloft-swarm/tests/test_corrupt_chunks.py::TestStagingArea"
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
        "a connection that nothing accepts is no sign of life",
        f"{ROUTING}/_liveness.py",
        "if await _is_reset(*await _connect(address)):",
        "if await _connect(address) is None:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_connection_that_an_ending_process_never_accepts_shows_no_life",
    ),
    Safeguard(
        "compressed bodies of callers are not unpacked",
        f"{ADAPTER}/_serve.py",
        "        auto_decompress=False,  # bodies are forwarded as they were sent\n",
        "",
        f"{ADAPTER_TESTS}/test_memory.py::test_compressed_body_stays_as_sent",
    ),
    Safeguard(
        "an answer without a length that ends with a leaving endpoint is not complete",
        f"{ROUTING}/_failure_detector.py",
        "        return await self._probe(state.endpoint.address) is Liveness.REFUSED\n",
        "        if state.leaving or not self._is_listed(state):\n"
        "            return False\n"
        "        return await self._probe(state.endpoint.address) is Liveness.REFUSED\n",
        f"{ROUTING_TESTS}/test_forward.py::TestAnswersWithoutLength"
        "::test_stream_that_ends_with_a_leaving_endpoint_is_resumed",
    ),
    Safeguard(
        "a silent attempt stays open while another one is made",
        f"{ROUTING}/_forward.py",
        "        if attempts.all_silent and self._can_retry(progress):\n",
        "        progress.deadline = 0.0\n"
        "        if attempts.all_silent and self._can_retry(progress):\n",
        f"{ROUTING_TESTS}/test_silent_endpoints.py"
        "::test_silent_stream_goes_on_where_no_endpoint_takes_it",
    ),
    Safeguard(
        "the attempt that another one replaces is closed",
        f"{ROUTING}/_forward.py",
        "log_superseded(progress, each, winner)\n                await attempts.drop(each)",
        "log_superseded(progress, each, winner)",
        f"{ROUTING_TESTS}/test_silent_endpoints.py"
        "::test_hedge_is_closed_before_the_silent_endpoint_goes_on",
    ),
    Safeguard(
        "a retry that is not sent returns to the budget",
        f"{ROUTING}/_forward.py",
        "            self._budget.refund(progress.service.name)",
        "            pass",
        f"{ROUTING_TESTS}/test_open_attempts.py"
        "::test_charged_retry_whose_placement_never_began_is_returned",
    ),
    Safeguard(
        "an event without an id does not replace a silent attempt",
        f"{ROUTING}/_forward.py",
        "if progress.stream.begun and attempt.phase is not Phase.GAP:",
        "if False:",
        f"{ROUTING_TESTS}/test_open_attempts.py"
        "::test_event_without_a_number_does_not_replace_a_silent_attempt",
    ),
    Safeguard(
        "a failure of an endpoint is kept while a retry is made",
        f"{ROUTING}/_forward.py",
        "progress.failure = FailureAnswer(",
        "_ = FailureAnswer(",
        f"{ROUTING_TESTS}/test_silent_endpoints.py"
        "::test_failure_is_kept_until_a_retry_does_better",
    ),
    Safeguard(
        "only reads of events are cancelled and repeated",
        f"{ROUTING}/_attempts.py",
        "if attempt.phase not in _EVENT_PHASES or attempt.step is not None:",
        "if attempt.phase is Phase.HEAD or attempt.step is not None:",
        f"{ROUTING_TESTS}/test_open_attempts.py"
        "::test_body_that_ends_at_the_deadline_is_never_truncated",
    ),
    Safeguard(
        "all attempts are closed before a kept failure is sent",
        f"{ROUTING}/_forward.py",
        "                        outcome = await self._follow(progress, attempts, sink)\n",
        "                        outcome = await self._follow(progress, attempts, sink)\n"
        "                if outcome is not None:\n"
        "                    return await self._conclude(progress, outcome, sink)\n",
        f"{ROUTING_TESTS}/test_open_attempts.py"
        "::test_kept_failure_is_sent_after_the_attempts_are_closed",
    ),
    Safeguard(
        "prompt segments at crashes that other nodes report count",
        f"{ROUTING}/_segment_ledger.py",
        "self.record(incarnation, at, reported.workloads, source, reported.evidence)",
        "pass",
        f"{ROUTING_TESTS}/test_segment_guard.py"
        "::test_crashes_seen_by_different_nodes_count_together",
    ),
    Safeguard(
        "a narrower prompt segment explains crashes of a broader one",
        f"{POLICY}/_segment_crashes.py",
        "if self.is_narrower(other):",
        "if False:",
        f"{POLICY_TESTS}/test_segment_crashes.py"
        "::test_narrower_segment_is_held_in_place_of_a_broader_one",
    ),
    Safeguard(
        "crashes at one moment quarantine no prompt segment",
        f"{POLICY}/_segment_crashes.py",
        "MOMENTS_TO_QUARANTINE = 2",
        "MOMENTS_TO_QUARANTINE = 1",
        f"{POLICY_TESTS}/test_segment_crashes.py" "::test_crashes_at_one_moment_hold_nothing",
    ),
    Safeguard(
        "an answer after a crash clears its prompt segments",
        f"{POLICY}/_segment_crashes.py",
        "if evidence & _EXONERATING:",
        "if False:",
        f"{POLICY_TESTS}/test_segment_crashes.py" "::test_answers_after_a_crash_clear_a_segment",
    ),
    Safeguard(
        "a prompt segment that was answered before needs more crashes",
        f"{POLICY}/_segment_crashes.py",
        "ANSWERED_CRASHES_TO_QUARANTINE = 5",
        "ANSWERED_CRASHES_TO_QUARANTINE = 3",
        f"{POLICY_TESTS}/test_segment_crashes.py" "::test_answers_before_need_more_crashes",
    ),
    Safeguard(
        "such a segment is at most of the crashes around",
        f"{POLICY}/_segment_crashes.py",
        "ANSWERED_SHARE = 0.8",
        "ANSWERED_SHARE = 0.0",
        f"{POLICY_TESTS}/test_segment_crashes.py"
        "::test_segment_missing_at_some_crashes_needs_more_of_them",
    ),
    Safeguard(
        "such a segment has time to be answered",
        f"{POLICY}/_segment_crashes.py",
        "or now - times[0] < ANSWERED_DELAY_SECONDS",
        "or False",
        f"{POLICY_TESTS}/test_segment_crashes.py" "::test_answers_before_need_more_crashes",
    ),
    Safeguard(
        "a segment at more crashes outweighs common ones",
        f"{POLICY}/_segment_crashes.py",
        "if outweighs and _find_meanwhile(others, crashes) <= others:",
        "if False:",
        f"{ROUTING_TESTS}/test_segment_fleet.py"
        "::test_segment_that_was_sound_before_is_quarantined[15.0-0]",
    ),
    Safeguard(
        "a broader segment is quarantined once it crashes without the narrower one",
        f"{POLICY}/_segment_crashes.py",
        "needed = min(len(remaining), CRASHES_BEYOND_NARROWER)",
        "needed = len(remaining)",
        f"{POLICY_TESTS}/test_segment_crashes.py"
        "::test_broader_segment_is_held_once_it_crashes_without_the_narrower_one",
    ),
    Safeguard(
        "an answer to a request sent before a crash clears nothing",
        f"{ROUTING}/_segment_ledger.py",
        "if crash.at <= sent_at and evidence not in known:",
        "if evidence not in known:",
        f"{ROUTING_TESTS}/test_segment_guard.py"
        "::test_answer_to_a_request_sent_before_the_crash_clears_nothing",
    ),
    Safeguard(
        "an answer counts once its endpoint has survived it",
        f"{ROUTING}/_segment_guard.py",
        "        self._take_back_answers(incarnation)\n",
        "",
        f"{ROUTING_TESTS}/test_segment_guard.py"
        "::test_answer_that_ends_with_its_endpoint_counts_against_its_segments",
    ),
    Safeguard(
        "requests without all that the crashes have in common are sent",
        f"{ROUTING}/_segment_ledger.py",
        "concerned = [each for each in concerned if each.concerns(workload)]",
        "pass",
        f"{ROUTING_TESTS}/test_segment_guard.py" "::test_restart_from_the_store_holds_the_same",
    ),
    Safeguard(
        "crashes with prompt segments are bounded",
        f"{ROUTING}/_segment_ledger.py",
        "self._drop(self._pick_dropped())",
        "pass",
        f"{ROUTING_TESTS}/test_segment_guard.py" "::test_victims_do_not_push_out_the_cause",
    ),
    Safeguard(
        "crashes under a quarantined segment are kept longest",
        f"{ROUTING}/_segment_ledger.py",
        "(each in needed, self._crashes[each].crash.at, each)",
        "(self._crashes[each].crash.at, each)",
        f"{ROUTING_TESTS}/test_segment_guard.py" "::test_victims_do_not_push_out_the_cause",
    ),
    Safeguard(
        "a suspect gets no second try",
        f"{ROUTING}/_forward.py",
        "return self._guard.segments.is_suspect(progress.workload)",
        "return False",
        f"{ROUTING_TESTS}/test_forward.py"
        "::TestCrashingSegments::test_suspect_gets_no_second_try",
    ),
    Safeguard(
        "victims of a single crash are tried again",
        f"{ROUTING}/_segment_ledger.py",
        "CRASHES_TO_SUSPECT = 2",
        "CRASHES_TO_SUSPECT = 1",
        f"{ROUTING_TESTS}/test_forward.py"
        "::TestCrashingSegments::test_request_of_a_first_crash_is_tried_again",
    ),
    Safeguard(
        "a request that waits at an engine is cancelled with its quarantine",
        f"{ROUTING}/_forward.py",
        "attempt.cancel(Lost(reason, at_fault=False))",
        "pass",
        f"{ROUTING_TESTS}/test_forward.py"
        "::TestCrashingSegments::test_request_that_waits_at_an_engine_is_cancelled",
    ),
    Safeguard(
        "the endpoint of an answer without length is checked",
        f"{ROUTING}/_failure_detector.py",
        "return await self._probe(state.endpoint.address) is Liveness.REFUSED",
        "return False",
        f"{ROUTING_TESTS}/test_forward.py"
        "::TestAnswersWithoutLength::test_stream_that_ends_with_its_endpoint_is_resumed",
    ),
    Safeguard(
        "quarantined segments outlive all processes",
        f"{ADAPTER}/_entry.py",
        "self._crashes.segments.merge(updates, CrashSource.STORE)",
        "pass",
        f"{ADAPTER_TESTS}/test_crashing_segment.py"
        "::test_quarantined_segment_survives_restart_of_all_entry_nodes",
    ),
    Safeguard(
        "crashes under a quarantined segment count against no content",
        f"{ROUTING}/_crash_ledger.py",
        "if not explained:",
        "if True:",
        f"{ROUTING_TESTS}/test_crash_ledger.py"
        "::TestQuarantine::test_victims_of_a_quarantined_segment_are_not_held_back",
    ),
    Safeguard(
        "callers without chunks get streams",
        f"{ADAPTER}/_front.py",
        "if self._request.version >= HttpVersion11:",
        "if True:",
        f"{ADAPTER_TESTS}/test_programs.py"
        "::TestEntry::test_caller_without_chunks_gets_streams_that_end_with_the_connection",
    ),
    Safeguard(
        "endpoints that refuse connections do not end a request",
        f"{ROUTING}/_forward.py",
        "if progress.connect_seconds <= _MAX_CONNECT_SECONDS:",
        "if progress.not_sent < 4:",
        f"{ROUTING_TESTS}/test_forward.py::TestFailedConnections"
        "::test_endpoint_is_found_behind_many_that_refuse_connections",
    ),
    Safeguard(
        "nodes read the store once no relay has a fresh snapshot",
        "packages/wrenloft-policy/src/wrenloft_policy/_relays.py",
        "if not reads and rank < MAX_FIRST_DIRECT_READS:",
        "if False:",
        "packages/wrenloft-policy/tests/test_relays.py::TestDirectReads"
        "::test_every_node_reads_in_time_if_all_relays_are_cut_off",
    ),
    Safeguard(
        "an engine drops a version on which requests may no longer begin",
        f"{SWARM}/_reconciler.py",
        "group.create_task(self._run_unloading())",
        "pass",
        f"{ADAPTER_TESTS}/test_late_requests.py"
        "::test_request_held_in_a_link_does_not_begin_on_a_version_past_its_deadline",
    ),
    Safeguard(
        "a version past its deadline is not loaded",
        f"{SWARM}/_reconciler.py",
        "if state.serves(wanted.number, everything) or self._is_superseded(wanted.number):",
        "if state.serves(wanted.number, everything):",
        f"{SWARM_TESTS}::TestReconciler"
        "::test_empty_engine_is_not_loaded_with_a_version_past_its_deadline",
    ),
    Safeguard(
        "an engine loads the part that is assigned to its agent",
        f"{SWARM}/_reconciler.py",
        "parts[assignments.own_part]",
        "parts[index % len(parts)]",
        "packages/wrenloft-swarm/tests/test_overlaps.py::TestParts"
        "::test_agents_fetch_for_others_the_part_that_they_load_first",
    ),
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
        "an id that was used is remembered",
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
        "self.sent_at + self.seconds * (1.0 - _CLOCK_DRIFT_MARGIN)",
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
        "an organisation that was idle accumulates no credit",
        f"{POLICY}/_queue.py",
        "self._served[request.organisation] = max(served, least_served)",
        "self._served[request.organisation] = served",
        f"{POLICY_TESTS}/test_limits.py::TestFairQueue::test_idle_organisation_accumulates_no_credit",
    ),
    Safeguard(
        "half of the runners are never ejected",
        f"{POLICY}/_ejection.py",
        "while len(kept) < min_kept and ejected:",
        "while False:",
        f"{POLICY_TESTS}/test_limits.py::TestEjections::test_never_ejects_all",
    ),
    Safeguard(
        "requests sent since a report count",
        f"{POLICY}/_runners.py",
        "return max(candidate.own, candidate.reported + candidate.sent_since)",
        "return candidate.reported",
        f"{POLICY_TESTS}/test_runners.py::TestChooseRunner"
        "::test_burst_is_spread_between_reports",
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
        "fate = await self._ask_for_fate(request, entry, attempt_id)",
        "fate = Fate.NOT_RUN",
        f"{REQUESTS}::TestKilled::test_an_unkeyed_note_is_never_sent_again",
    ),
    Safeguard(
        "routing: a leaving endpoint stays leaving",
        f"{ROUTING}/_endpoints.py",
        "departure = self.departures.find(agent_id, endpoint.born)",
        "departure = None",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints::test_leaving_outlives_a_lapsed_entry",
    ),
    Safeguard(
        "routing: entries missing after an outage are kept",
        f"{ROUTING}/_endpoints.py",
        "if agent_id not in seen and trusted:",
        "if agent_id not in seen:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_missing_entry_is_gone_only_if_the_snapshot_is_trusted",
    ),
    Safeguard(
        "routing: a report of a dropped version takes precedence over the list",
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
        "::test_stale_configuration_refuses_keys_but_serves_public_rules",
    ),
    Safeguard(
        "routing: requests that are not idempotent are not retried",
        f"{ROUTING}/_forward.py",
        "allowed = progress.rule.idempotent and not progress.is_probe",
        "allowed = not progress.is_probe",
        f"{ROUTING_TESTS}/test_forward.py::TestWholeAnswers"
        "::test_unsafe_request_is_never_repeated",
    ),
    Safeguard(
        "routing: an answer must be this request's",
        f"{ROUTING}/_forward.py",
        "if not reply.genuine:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestWholeAnswers"
        "::test_unsafe_request_is_never_repeated",
    ),
    Safeguard(
        "routing: events are contiguous",
        f"{ROUTING}/_streams.py",
        "if last is not None and event.number != last + 1:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestStreams::test_wrong_continuation_is_rejected",
    ),
    Safeguard(
        "routing: each announced version keeps its deadline",
        f"{ROUTING}/_gate.py",
        "known.append(wanted)",
        "known[:] = [wanted]",
        f"{ROUTING_TESTS}/test_forward.py::TestVersions"
        "::test_later_version_does_not_postpone_an_earlier_deadline",
    ),
    Safeguard(
        "routing: a chain is of one version",
        f"{ROUTING}/_chains.py",
        "return weights_by_agent[state.endpoint.agent_id].version == version",
        "return True",
        f"{ROUTING_TESTS}/test_chains.py::TestListAble"
        "::test_versions_are_never_mixed_in_a_chain",
    ),
    Safeguard(
        "swarm: a chunk is checked before it is stored",
        f"{SWARM}/_chunk_store.py",
        "if not self.matches(chunk, data):",
        "if False:",
        f"{SWARM_TESTS}::TestVersionChunks::test_rejects_corrupt_bytes",
    ),
    Safeguard(
        "swarm: staged chunks are read back before the order",
        f"{SWARM}/_staging.py",
        "return data if version_chunks.matches(chunk, data) else None",
        "return data",
        f"{SWARM_TESTS}::TestReconciler"
        "::test_corrupt_staged_chunks_are_replaced_before_the_order",
    ),
    Safeguard(
        "swarm: nothing is staged between check and order",
        f"{SWARM}/_load_orders.py",
        "async with self._staging.lock:",
        "if True:",
        f"{SWARM_TESTS}::TestReconciler::test_next_versions_chunk_overwrites_no_verified_one",
    ),
    Safeguard(
        "swarm: comparisons are renewed while an engine is busy",
        f"{SWARM}/_staging.py",
        "kept_since = read_clock() - max_age",
        "kept_since = read_clock() - 60.0",
        f"{CORRUPT_CHUNKS}::test_chunks_corrupt_during_an_unload_are_replaced",
    ),
    Safeguard(
        "swarm: the version to load is chosen again while an engine is busy",
        f"{SWARM}/_load_orders.py",
        "if attempt.unanswered_since is None and not is_current():",
        "if False:",
        f"{CORRUPT_CHUNKS}::test_version_is_chosen_again_while_the_engine_is_busy",
    ),
    Safeguard(
        "swarm: chunks of a late order are compared after it",
        f"{SWARM}/_staging.py",
        "and self.measure_age(wanted) <= CORRUPTION_GRACE_SECONDS",
        "",
        f"{CORRUPT_CHUNKS}::test_order_sent_long_after_the_comparison_is_undone",
    ),
    Safeguard(
        "swarm: a chunk that was corrupt too long before it was replaced is remembered",
        f"{SWARM}/_staging.py",
        "            self._exposed_at = now\n",
        "            pass\n",
        f"{CORRUPT_CHUNKS}::test_order_carried_out_by_an_engine_that_was_silent_is_undone",
    ),
    Safeguard(
        "swarm: entry nodes send nothing to weights that may be corrupt",
        f"{SWARM}/_load_orders.py",
        "        self._latest.set_withheld(True)\n        if await self._prove(attempt):",
        "        if await self._prove(attempt):",
        f"{CORRUPT_CHUNKS}::test_engine_is_withheld_until_a_late_order_is_settled",
    ),
    Safeguard(
        "swarm: a write that was given up ends before the comparisons",
        f"{SWARM}/_staging.py",
        "await asyncio.shield(write)",
        "await write",
        f"{STAGING_AREA}::test_area_stays_locked_until_an_abandoned_write_has_ended",
    ),
    Safeguard(
        "swarm: a part that was fetched is loaded",
        f"{SWARM}/_reconciler.py",
        "if state.span is None:\n            return True",
        "if state.span is None:\n            return self._context.is_cold()",
        f"{SWARM_TESTS}::TestReconciler::test_part_is_loaded_though_others_were_faster",
    ),
    Safeguard(
        "swarm: a stalled fetch keeps no requests away",
        f"{SWARM}/_reconciler.py",
        "if version_chunks.list_missing()"
        " and read_clock() - version_chunks.added_at > STALL_SECONDS:",
        "if False:",
        f"{SWARM_TESTS}::TestReconciler::test_stalled_fetch_keeps_no_requests_away",
    ),
    Safeguard(
        "adapter: the newest incarnation at an address counts",
        f"{ADAPTER}/_follow.py",
        "for item in sorted(snapshot.items, key=lambda each: each.revision):",
        "for item in snapshot.items:",
        f"{ADAPTER_TESTS}/test_decode.py::TestEndpointDecoder"
        "::test_latest_incarnation_at_an_address_wins",
    ),
    Safeguard(
        "adapter: an answer without length needs a clean end",
        f"{ADAPTER}/_runner.py",
        "if not data and not self.framed:",
        "if False:",
        f"{ADAPTER_TESTS}/test_runner.py::TestRunnerTransport"
        "::test_response_without_length_needs_a_clean_close",
    ),
    Safeguard(
        "adapter: the client library retries nothing",
        f"{ADAPTER}/_serve.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        f"{ADAPTER_TESTS}/test_runner.py::TestRunnerTransport"
        "::test_request_on_a_closed_kept_alive_connection_is_sent_once",
    ),
    Safeguard(
        "a later start of an endpoint keeps no earlier state",
        f"{ROUTING}/_endpoints.py",
        "if state is not None and endpoint.born > state.endpoint.born:",
        "if False:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_endpoint_that_starts_again_has_left_nothing",
    ),
    Safeguard(
        "a report of an earlier incarnation is dropped",
        f"{ROUTING}/_endpoints.py",
        "if report.born >= state.endpoint.born:",
        "if True:",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_report_of_an_earlier_incarnation_changes_nothing",
    ),
    Safeguard(
        "an entry names a configured service",
        f"{ADAPTER}/_follow.py",
        "if services is not None and endpoint.service not in services:",
        "if False:",
        f"{ADAPTER_TESTS}/test_decode.py::TestEndpointDecoder"
        "::test_invalid_entry_does_not_replace_an_endpoint",
    ),
    Safeguard(
        "a request that waits takes spare capacity at random",
        f"{ROUTING}/_gate.py",
        "if queue.fresh + queue.overdue <= 1:",
        "if True:",
        f"{ROUTING_TESTS}/test_loads.py::TestContention::test_restarted_engine_is_not_overloaded",
    ),
    Safeguard(
        "loads of silent nodes stop counting",
        f"{ROUTING}/_loads.py",
        "if now - at > LOAD_TTL_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_loads.py::TestPeerLoads::test_expired_node_is_not_counted",
    ),
    Safeguard(
        "a version deadline is no failure of the engine",
        f"{ROUTING}/_forward.py",
        'late = Lost("not begun before the version is due", at_fault=False)',
        'late = Lost("not begun before the version is due")',
        f"{ROUTING_TESTS}/test_forward.py::TestVersions"
        "::test_version_deadline_is_not_counted_as_an_engine_failure",
    ),
    Safeguard(
        "origin fetchers reserve their link for the origin",
        f"{POLICY}/_fetching.py",
        "if own_turn and origin_first and not origin_free:",
        "if False:",
        f"{POLICY_TESTS}/test_fetching.py::TestChooseFetch"
        "::test_origin_fetcher_reserves_its_link_for_the_origin",
    ),
    Safeguard(
        "any version that is about to be loaded keeps requests away",
        f"{SWARM}/_reconciler.py",
        "for each in self._wanted if each.number > state.version)",
        "for each in [self._current] if each.number > state.version)",
        f"{SWARM_TESTS}::TestReconciler"
        "::test_requests_are_kept_away_while_the_version_after_is_fetched",
    ),
    Safeguard(
        "a subscriber does not get its own requests",
        f"{ROUTING}/_zone_view.py",
        "sums[agent_id] = sums.get(agent_id, NO_LOAD) - load",
        "sums[agent_id] = sums.get(agent_id, NO_LOAD)",
        f"{ROUTING_TESTS}/test_zone.py::TestFrameWriter"
        "::test_subscriber_does_not_get_its_own_requests",
    ),
    Safeguard(
        "a snapshot never looks newer than it is",
        f"{ROUTING}/_store_snapshots.py",
        "change.begun_at - self._clock_lead",
        "change.begun_at",
        f"{ROUTING_TESTS}/test_zone.py::TestSnapshotMirror"
        "::test_snapshot_never_looks_newer_than_it_is",
    ),
    Safeguard(
        "a lost relay is skipped",
        f"{ROUTING}/_members.py",
        "member.avoided_until = read_clock() + pause",
        "member.avoided_until = 0.0",
        f"{ROUTING_TESTS}/test_local_state.py::TestMembers"
        "::test_lost_relay_is_skipped_for_a_while",
    ),
    Safeguard(
        "a node that knows only itself stays with its relay",
        f"{ROUTING}/_zone.py",
        "        if len(self._members) == 1:\n            return False\n",
        "",
        f"{ROUTING_TESTS}/test_zone.py::TestZoneLink"
        "::test_node_that_starts_without_the_store_subscribes_to_its_relay",
    ),
    Safeguard(
        "other nodes of a zone read the store in turns",
        "packages/wrenloft-policy/src/wrenloft_policy/_relays.py",
        "return random.uniform(0.0, 2.0 * DIRECT_READ_SECONDS * nodes)",
        "return 0.0",
        f"{ROUTING_TESTS}/test_local_state.py::TestSharedSnapshot"
        "::test_unavailable_store_gets_few_calls_from_many_nodes",
    ),
    Safeguard(
        "relays take over reading in turn",
        f"{POLICY}/_relays.py",
        "min(MAX_STALE_INTERVALS, STALE_INTERVALS + TAKEOVER_STEP * (place_rank - 1))",
        "1.0",
        f"{POLICY_TESTS}/test_relays.py::TestMaxSnapshotAge::test_relays_take_over_in_turn",
    ),
    Safeguard(
        "a snapshot counts what was sent",
        f"{ROUTING}/_endpoint_snapshot.py",
        "waiting=load.waiting + 1",
        "waiting=load.waiting",
        f"{ROUTING_TESTS}/test_snapshot.py::TestEndpointSnapshot::test_requests_of_one_moment_spread",
    ),
    Safeguard(
        "a snapshot ends when it changes which endpoints are eligible",
        f"{ROUTING}/_endpoint_snapshot.py",
        "return self.revision == revision and now",
        "return now",
        f"{ROUTING_TESTS}/test_snapshot.py::TestEndpointSnapshot"
        "::test_leaving_endpoint_gets_nothing_from_an_older_snapshot",
    ),
    Safeguard(
        "chunks are not late while the origin is drained",
        f"{POLICY}/_fetching.py",
        "age - DRAIN_TIME_FACTOR * drain_seconds",
        "age - 1.0",
        f"{POLICY_TESTS}/test_fetching.py::TestLateness"
        "::test_chunks_are_not_late_while_the_origin_is_drained",
    ),
    Safeguard(
        "late chunks pass on to other agents",
        f"{POLICY}/_fetching.py",
        "skip = int(late / turn) % len(members)",
        "skip = 0",
        f"{POLICY_TESTS}/test_fetching.py::TestListOriginFetchers"
        "::test_late_chunks_are_divided_among_all_and_pass_on",
    ),
    Safeguard(
        "agents subscribe to a bounded set of others",
        f"{SWARM}/_neighbours.py",
        "chosen += members[: MAX_NEAR if first.near else elsewhere]",
        "chosen += members",
        "packages/wrenloft-swarm/tests/test_neighbours.py::TestChooseSubscriptions"
        "::test_connections_do_not_grow_with_the_fleet",
    ),
    Safeguard(
        "the store's content is sent deflated",
        f"{ROUTING}/_packing.py",
        "<= MAX_PLAIN_BYTES:",
        "<= MAX_PLAIN_BYTES * MAX_PLAIN_BYTES:",
        f"{ROUTING_TESTS}/test_packing.py::TestPackItems"
        "::test_endpoints_reach_all_nodes_of_a_zone_in_time_to_serve",
    ),
    Safeguard(
        "deflated text is inflated up to a length",
        f"{ROUTING}/_packing.py",
        "if not inflater.eof:",
        "if False:",
        f"{ROUTING_TESTS}/test_packing.py::TestPackItems" "::test_malformed_packed_text_is_refused",
    ),
    Safeguard(
        "a list's revision is its first page's",
        f"{ADAPTER}/_store.py",
        'int(first.fields["storeRevision"])',
        'int(answer.fields["storeRevision"])',
        f"{ADAPTER_TESTS}/test_ranges.py::TestRangeReader"
        "::test_changes_between_pages_are_not_missed",
    ),
    Safeguard(
        "after a loss of history the full range is read",
        f"{ADAPTER}/_ranges.py",
        "except HistoryLostError:",
        "except ZeroDivisionError:",
        f"{ADAPTER_TESTS}/test_ranges.py::TestRangeReader"
        "::test_compacted_history_causes_a_full_read",
    ),
    Safeguard(
        "one node of a zone becomes its seed",
        f"{ADAPTER}/_seeds.py",
        "            return await self.find()\n        return own",
        "            return own\n        return own",
        f"{ADAPTER_TESTS}/test_seeds.py::TestSeedRegistry"
        "::test_nodes_that_start_together_find_one_seed",
    ),
    Safeguard(
        "an agent lists nothing before the seed's key is read",
        f"{ADAPTER}/_relay_tracker.py",
        "return self._seed_read and not self.is_current",
        "return True",
        f"{ADAPTER_TESTS}/test_relay_tracker.py::TestRelayTracker"
        "::test_lists_nothing_until_the_seed_key_is_read",
    ),
    Safeguard(
        "agents of a large fleet wait longer",
        f"{ADAPTER}/_relay_tracker.py",
        "self._extra_wait if self.is_large else 0.0",
        "0.0",
        f"{ADAPTER_TESTS}/test_relay_tracker.py::TestRelayTracker"
        "::test_agents_of_a_large_fleet_wait_longer",
    ),
    Safeguard(
        "a change of rules is not sent to agents",
        f"{ADAPTER}/_agent_documents.py",
        "if self._reduced is None or self._services != services:",
        "if True:",
        f"{ADAPTER_TESTS}/test_agent_documents.py::TestAgentDocuments"
        "::test_change_of_rules_is_not_sent",
    ),
    Safeguard(
        "urgent chunks go first",
        f"{SWARM}/_upload_queue.py",
        "(not urgent, next(self._sequence), waiter)",
        "(False, next(self._sequence), waiter)",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadQueue"
        "::test_urgent_chunks_go_first_and_in_order",
    ),
    Safeguard(
        "a slow receiver releases the link",
        f"{SWARM}/_upload_queue.py",
        "call_later(EXCLUSIVE_SECONDS, release)",
        "call_later(1e6, release)",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadQueue"
        "::test_slow_receiver_does_not_hold_the_link",
    ),
    Safeguard(
        "the link is granted again when a granted request is cancelled",
        f"{SWARM}/_upload_queue.py",
        "self._wake_next()  # the link",
        "pass  # the link",
        "packages/wrenloft-swarm/tests/test_upload_queue.py::TestUploadQueue"
        "::test_cancelled_request_does_not_block_the_queue",
    ),
    Safeguard(
        "staged chunks are recovered for the version being fetched",
        f"{SWARM}/_reconciler.py",
        "if named.number not in self._adopted:",
        "if False:",
        f"{SWARM_TESTS}::TestReconciler::test_killed_agent_resumes_the_fetch",
    ),
    Safeguard(
        "no fetch waits for the digests of staged chunks",
        f"{SWARM}/_reconciler.py",
        "timeout=RECOVERY_WAIT_SECONDS)",
        "timeout=None)",
        f"{SWARM_TESTS}::TestReconciler"
        "::test_version_is_fetched_while_digests_of_staged_chunks_are_missing",
    ),
    Safeguard(
        "engines that are ready at different times keep one order",
        f"{POLICY}/_versions.py",
        "min(first_at, ready_at)",
        "ready_at",
        f"{POLICY_TESTS}/test_versions.py::TestPickSwapTime"
        "::test_engine_whose_turn_has_passed_swaps_at_once",
    ),
    Safeguard(
        "engines swap one after the other",
        f"{POLICY}/_versions.py",
        "turn * max(MIN_SWAP_SPREAD_SECONDS, latest - start)",
        "0.0",
        f"{POLICY_TESTS}/test_versions.py::TestPickSwapTime" "::test_swaps_are_spread_over_time",
    ),
    Safeguard(
        "what is out of a version spreads during an outage",
        f"{POLICY}/_overlaps.py",
        "from_neighbours=is_origin_stalled,",
        "from_neighbours=False,",
        f"{POLICY_TESTS}/test_overlaps.py::TestLimitFetches"
        "::test_dropped_version_spreads_only_during_an_outage",
    ),
    Safeguard(
        "the group that is to have the older version first loads it",
        f"{POLICY}/_overlaps.py",
        "if first_group is None or first_group == group:",
        "if first_group is None:",
        f"{POLICY_TESTS}/test_overlaps.py::TestShouldSkipVersion"
        "::test_half_of_the_engines_always_load_the_older_version",
    ),
    Safeguard(
        "versions are fetched together only if both fit",
        f"{POLICY}/_versions.py",
        "return FETCH_START_SECONDS + 2.0 * fetch + INSTALL_SECONDS <= time",
        "return True",
        f"{POLICY_TESTS}/test_overlaps.py" "::test_versions_are_fetched_together_only_if_both_fit",
    ),
    Safeguard(
        "no second copies leave the origin after an outage",
        f"{SWARM}/_transfer.py",
        "if not self._overlaps or (self._late_since is None and late <= 0.0):",
        "if not self._overlaps or late <= 0.0:",
        "packages/wrenloft-swarm/tests/test_overlaps.py::TestLateness"
        "::test_agents_stay_late_when_the_origin_returns",
    ),
    Safeguard(
        "crashes reported by other nodes count",
        f"{ROUTING}/_crash_ledger.py",
        "if reported.age < CRASH_TTL_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestQuarantine"
        "::test_third_crash_seen_by_any_node_quarantines",
    ),
    Safeguard(
        "a failure of one incarnation is one crash",
        f"{ROUTING}/_crash_ledger.py",
        "entry.crashes[incarnation] = joined",
        'entry.crashes[IncarnationId(f"{incarnation}{self.revision}")] = joined',
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestQuarantine::test_failure_reported_by_many_nodes_is_one_crash",
    ),
    Safeguard(
        "a cleared crash stays cleared, in any order",
        f"{POLICY}/_crashes.py",
        "status=max(known.status, reported.status)",
        "status=reported.status",
        f"{POLICY_TESTS}/test_crashes.py::test_reports_merge_to_the_same_in_any_order",
    ),
    Safeguard(
        "contents with crashes are bounded",
        f"{ROUTING}/_crash_ledger.py",
        "while len(self._entries) > MAX_CONTENTS:",
        "while False:",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestBounds" "::test_number_of_contents_is_bounded",
    ),
    Safeguard(
        "quarantined contents are dropped last",
        f"{ROUTING}/_crash_ledger.py",
        "oldest = (each for each in self._entries if each not in self._suspects)",
        "oldest = iter(self._entries)",
        f"{ROUTING_TESTS}/test_crash_ledger.py::TestBounds" "::test_number_of_contents_is_bounded",
    ),
    Safeguard(
        "a recent whole answer clears its content",
        f"{ROUTING}/_crash_guard.py",
        "if crashed_at and is_cleared_by_success(proven_at, max(crashed_at)):",
        "if False:",
        f"{ROUTING_TESTS}/test_crash_guard.py"
        "::test_recently_successful_content_is_not_quarantined",
    ),
    Safeguard(
        "a content with more crashes explains those it shares",
        f"{POLICY}/_crashes.py",
        "unexplained -= other_counted",
        "pass",
        f"{POLICY_TESTS}/test_crashes.py::test_crashes_explained_by_another_content_do_not_count",
    ),
    Safeguard(
        "a quarantine is stored by nodes that observed a crash",
        f"{ROUTING}/_crash_guard.py",
        "if self._ledger.has_own_crash(content):\n            self._store.keep",
        "if False:\n            self._store.keep",
        f"{ROUTING_TESTS}/test_crash_guard.py::test_quarantine_is_stored_by_nodes_that_observed_a_crash",
    ),
    Safeguard(
        "one probe at a time at a node",
        f"{ROUTING}/_crash_guard.py",
        "self._probe_times.record(content, read_clock())",
        "pass",
        f"{ROUTING_TESTS}/test_crash_guard.py::test_one_probe_a_minute_across_the_fleet",
    ),
    Safeguard(
        "probes become rarer with each crash",
        f"{POLICY}/_crashes.py",
        "PROBE_INTERVAL_SECONDS * 2.0**extra_crashes",
        "PROBE_INTERVAL_SECONDS",
        f"{POLICY_TESTS}/test_crashes.py::test_each_further_crash_doubles_the_wait",
    ),
    Safeguard(
        "a probe has one attempt",
        f"{ROUTING}/_forward.py",
        "allowed = progress.rule.idempotent and not progress.is_probe",
        "allowed = progress.rule.idempotent",
        f"{ROUTING_TESTS}/test_forward.py::TestQuarantinedContent"
        "::test_error_response_to_a_probe_is_forwarded",
    ),
    Safeguard(
        "a crash update stops a request that waits",
        f"{ROUTING}/_forward.py",
        "if progress.is_probe or self._guard.find_refusal(progress.workload) is None:",
        "if True:",
        f"{ROUTING_TESTS}/test_forward.py::TestQuarantinedContent"
        "::test_crash_update_stops_a_waiting_repeat",
    ),
    Safeguard(
        "a silent endpoint is excluded for as long as it was silent",
        f"{ROUTING}/_endpoints.py",
        "silence = min(MAX_SUSPECT_SECONDS, now - state.silent_since)",
        "silence = MAX_SUSPECT_SECONDS",
        f"{ROUTING_TESTS}/test_exclusion.py" "::test_exclusion_is_no_longer_than_the_silence",
    ),
    Safeguard(
        "requests that notice one silence exclude an endpoint once",
        f"{ROUTING}/_endpoints.py",
        "if state.silent_until <= now:",
        "if True:",
        f"{ROUTING_TESTS}/test_exclusion.py" "::test_exclusion_is_no_longer_than_the_silence",
    ),
    Safeguard(
        "data ends the exclusion of a silence",
        f"{ROUTING}/_endpoints.py",
        "if state.silent_until > now:",
        "if False:",
        f"{ROUTING_TESTS}/test_exclusion.py"
        "::test_exclusion_of_a_silence_ends_with_the_first_data",
    ),
    Safeguard(
        "an accepted connection ends no exclusion of another failure",
        f"{ROUTING}/_endpoints.py",
        "if state.failed_until > now and state.other_failures <= 0:",
        "if state.failed_until > now:",
        f"{ROUTING_TESTS}/test_exclusion.py"
        "::test_accepted_connection_ends_no_exclusion_of_another_failure",
    ),
    Safeguard(
        "a silence of all endpoints quarantines nothing",
        f"{ROUTING}/_failure_detector.py",
        "MAX_SOUND_SILENCE_SECONDS = 3.0",
        "MAX_SOUND_SILENCE_SECONDS = 0.0",
        f"{ROUTING_TESTS}/test_silent_fleet.py"
        "::test_silence_of_all_endpoints_quarantines_nothing",
    ),
    Safeguard(
        "an answer that continues after a silence is not lost",
        f"{ROUTING}/_failure_detector.py",
        "losses.end_silence()",
        "pass",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_silent_answer_that_continues_is_not_lost_with_a_restart",
    ),
    Safeguard(
        "data between two silences ends the first",
        f"{ROUTING}/_failure_detector.py",
        "check.record_heard(read_clock())",
        "pass",
        f"{ROUTING_TESTS}/test_failure_detector.py" "::test_heard_endpoint_is_silent_anew",
    ),
    Safeguard(
        "a delay of this process is no silence",
        f"{ROUTING}/_failure_detector.py",
        "if now - (self.unanswered_at if known else self.started_at) > MAX_PROBE_PERIOD_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_failure_detector.py" "::test_delay_of_this_process_is_no_silence",
    ),
    Safeguard(
        "an endpoint that accepts connections again is used",
        f"{ROUTING}/_failure_detector.py",
        "self._endpoints.record_reachable(state, read_clock())",
        "pass",
        f"{ROUTING_TESTS}/test_silent_fleet.py"
        "::test_all_endpoints_are_used_again_after_their_silence",
    ),
    Safeguard(
        "an endpoint that accepts no connection is watched",
        f"{ROUTING}/_failure_detector.py",
        "check.watched_until = read_clock() + MAX_SOUND_SILENCE_SECONDS",
        "pass",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_unreachable_endpoint_is_used_once_it_accepts_a_connection",
    ),
    Safeguard(
        "a request sent to an unreachable endpoint is not involved",
        f"{ROUTING}/_failure_detector.py",
        "if loss.heard_at <= since",
        "if True",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_request_sent_to_an_unreachable_endpoint_is_not_involved",
    ),
    Safeguard(
        "an answer that breaks off after a silence counts from then",
        f"{ROUTING}/_failure_detector.py",
        "elif loss.broken and not known.broken:",
        "elif False:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_answer_that_breaks_off_after_a_silence_is_lost",
    ),
    Safeguard(
        "second attempts wait for one probe only",
        f"{ROUTING}/_failure_detector.py",
        "check.end_first_probe()\n        losses =",
        "losses =",
        f"{ROUTING_TESTS}/test_failure_detector.py" "::test_requests_wait_for_the_first_probe_only",
    ),
    Safeguard(
        "a silence before a planned end is no failure",
        f"{ROUTING}/_failure_detector.py",
        "if sign is not FailureSign.REFUSED and self._has_departed(losses.endpoint):",
        "if False:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_silence_before_a_planned_end_is_no_failure",
    ),
    Safeguard(
        "an endpoint that answers has not failed",
        f"{ROUTING}/_failure_detector.py",
        "elif liveness is Liveness.REACHABLE:",
        "elif False:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_broken_connection_to_a_live_endpoint_is_no_failure",
    ),
    Safeguard(
        "a request sent after a failure is not involved",
        f"{ROUTING}/_failure_detector.py",
        "if known is None and request.sent_at <= losses.failed_at:",
        "if known is None:",
        f"{ROUTING_TESTS}/test_failure_detector.py::test_request_sent_after_the_failure_is_not_involved",
    ),
    Safeguard(
        "an endpoint that is leaving may end",
        f"{ROUTING}/_failure_detector.py",
        "if state.leaving or not (silent or self._is_listed(state)):",
        "if False:",
        f"{ROUTING_TESTS}/test_failure_detector.py"
        "::test_end_of_a_leaving_endpoint_is_no_failure",
    ),
    Safeguard(
        "a quick restart is a failure",
        f"{ROUTING}/_failure_detector.py",
        "return any(each.endpoint.incarnation != endpoint.incarnation for each in listed)",
        "return False",
        f"{ROUTING_TESTS}/test_failure_detector.py::test_restarted_endpoint_has_failed",
    ),
    Safeguard(
        "a silent failure is detected by the next request",
        f"{ROUTING}/_forward.py",
        "self._detector.record_unreachable(state)",
        "pass",
        f"{ROUTING_TESTS}/test_forward.py::TestQuarantinedContent"
        "::test_request_at_an_unreachable_endpoint_is_counted_before_its_deadline",
    ),
    Safeguard(
        "a quarantine outlives every node",
        f"{ADAPTER}/_entry.py",
        "self._crashes.merge(quarantines, CrashSource.STORE)",
        "pass",
        f"{ADAPTER_TESTS}/test_crashing_content.py"
        "::test_quarantine_survives_restart_of_all_entry_nodes",
    ),
    Safeguard(
        "only one node claims a probe",
        f"{ADAPTER}/_store.py",
        'expected = [{"key": key, "revision": 0}]',
        "expected: list[dict[str, Any]] = []",
        f"{ADAPTER_TESTS}/test_quarantines.py::test_only_one_of_two_nodes_claims_a_probe",
    ),
    Safeguard(
        "a rate limit is read from answers",
        f"{ADAPTER}/_runner.py",
        "self.named_limit = parse_named_limit(headers.getall(names.RATE_LIMIT, ()))",
        "self.named_limit = None",
        f"{ADAPTER_TESTS}/test_rate_limits.py"
        "::test_all_nodes_together_keep_to_the_limit_of_an_endpoint[1.8]",
    ),
    Safeguard(
        "each attempt at a limited endpoint needs a grant",
        f"{ROUTING}/_forward.py",
        "await self._request_grants(placed.states, placement.urgency)",
        "True",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits::test_every_attempt_requests_a_grant",
    ),
    Safeguard(
        "an endpoint that denied a grant is skipped",
        f"{ROUTING}/_gate.py",
        "states = [each for each in usable if each.denial.retry_at <= now]",
        "states = usable",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_moves_to_an_endpoint_with_capacity_at_once",
    ),
    Safeguard(
        "a request that limits give no timely turn is refused at once",
        f"{ROUTING}/_gate.py",
        "if all(each.limited for each in loads):",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_without_a_timely_turn_is_refused_at_once",
    ),
    Safeguard(
        "a request tries few of many limited endpoints",
        f"{ROUTING}/_gate.py",
        "return self.denials < MAX_DENIALS",
        "return True",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_request_tries_few_of_many_limited_endpoints",
    ),
    Safeguard(
        "a limiter's bucket starts empty",
        f"{ROUTING}/_limiter.py",
        "_Account(Bucket(0.0, now))",
        "_Account(Bucket(2.0, now))",
        f"{ROUTING_TESTS}/test_limiter.py::test_bucket_starts_empty",
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
        "needed = count_required_tokens(more_urgent, rule.burst)",
        "needed = 1.0",
        f"{ROUTING_TESTS}/test_limiter.py::test_urgent_request_that_was_denied_goes_first",
    ),
    Safeguard(
        "a limit ends after several answers without it",
        f"{POLICY}/_rate_limits.py",
        "ANSWERS_TO_CLEAR_LIMIT = 3",
        "ANSWERS_TO_CLEAR_LIMIT = 1",
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
        "of two updates on a limit the later one applies",
        f"{POLICY}/_rate_limits.py",
        "if known is None or (reported.sequence, reported.node) > (known.sequence, known.node):",
        "if True:",
        f"{POLICY_TESTS}/test_rate_limits.py::TestMergeLimit"
        "::test_nodes_agree_in_any_order_of_updates",
    ),
    Safeguard(
        "partitions of a fleet share a limit",
        f"{POLICY}/_rate_limits.py",
        "return rate * MINORITY_SHARE * fleet.share",
        "return rate",
        f"{POLICY_TESTS}/test_rate_limits.py::TestAllocateRate"
        "::test_two_partitions_leave_capacity_for_bursts",
    ),
    Safeguard(
        "the tokens in a bucket are bounded",
        f"{POLICY}/_rate_limits.py",
        "return Bucket(min(size, bucket.tokens + refill), now)",
        "return Bucket(bucket.tokens + refill, now)",
        f"{POLICY_TESTS}/test_rate_limits.py::TestRefillBucket"
        "::test_burst_is_bounded_after_idle_time",
    ),
    Safeguard(
        "cold endpoint: the limiters' buckets add up to the bound",
        f"{POLICY}/_cold.py",
        "rest = most - count_most_grants(whole)",
        "rest = most",
        f"{POLICY_TESTS}/test_cold.py"
        "::TestComputeColdRule::test_all_limiters_together_stay_within_the_bound",
    ),
    Safeguard(
        "cold endpoint: few nodes of many grant nothing",
        f"{POLICY}/_cold.py",
        "return ColdShare.LITTLE if fleet.share >= MIN_GRANTING_SHARE else ColdShare.NONE",
        "return ColdShare.LITTLE",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[38-figures1-_cut_off_each_node]",
    ),
    Safeguard(
        "cold endpoint: a limiter waits before it takes over",
        f"{ROUTING}/_fleet_history.py",
        "TAKEOVER_SECONDS = 1.5",
        "TAKEOVER_SECONDS = 0.0",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[9-figures6-_cut_unnoticed_by_limiter]",
    ),
    Safeguard(
        "cold endpoint: a limiter that has started waits",
        f"{ROUTING}/_fleet_history.py",
        "START_SECONDS = 3.0",
        "START_SECONDS = 0.0",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[9-figures4-_restart_all]",
    ),
    Safeguard(
        "cold endpoint: a limiter that was suspended waits",
        f"{ROUTING}/_fleet_history.py",
        "if now - self._observed_at > MAX_GAP_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[9-figures3-_freeze_limiter]",
    ),
    Safeguard(
        "cold endpoint: a limiter needs recent news of others",
        f"{ROUTING}/_fleet_history.py",
        "return NodeGroup(int(min(reached, 1.0 + heard)), len(nodes))",
        "return NodeGroup(reached, len(nodes))",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[9-figures0-_cut_unnoticed_by_limiter]",
    ),
    Safeguard(
        "cold endpoint: nodes behind a partition still count when their entries expire",
        f"{ROUTING}/_fleet_history.py",
        "if record.stopping or now - record.listed_at > LISTED_SECONDS:",
        "if True:",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_bound_holds_through_failures[9-figures3-_cut_across_zones_until_entries_expire]",
    ),
    Safeguard(
        "cold endpoint: the rule binds nodes that don't know of the coldness",
        f"{ROUTING}/_limiter.py",
        "if account.cold is None or account.cold_until <= now:",
        "if request.cold is None:",
        f"{ROUTING_TESTS}/test_cold_fleet.py"
        "::test_nodes_that_do_not_know_of_the_coldness_get_grants_by_the_same_rule",
    ),
    Safeguard(
        "cold endpoint: a grant is needed without an advertised limit",
        f"{ROUTING}/_grants.py",
        "if endpoint.incarnation in granted or not (limited or cold):",
        "if endpoint.incarnation in granted or not limited:",
        f"{ROUTING_TESTS}/test_cold_requests.py"
        "::TestColdEndpoints::test_cold_endpoint_without_a_limit_needs_a_grant",
    ),
    Safeguard(
        "cold endpoint: one that turns cold meanwhile is asked for",
        f"{ROUTING}/_grants.py",
        "granted.add(asked.incarnation)",
        "return True",
        f"{ROUTING_TESTS}/test_cold_requests.py"
        "::TestColdEndpoints::test_engine_that_turns_cold_while_another_is_asked_for",
    ),
    Safeguard(
        "cold endpoint: an unchanged entry extends nothing",
        f"{ROUTING}/_endpoints.py",
        "if endpoint is not state.endpoint and endpoint != state.endpoint:",
        "if True:",
        f"{ROUTING_TESTS}/test_cold_ledger.py"
        "::TestEntries::test_time_of_an_entry_counts_from_its_first_read",
    ),
    Safeguard(
        "cold endpoint: a start counts whatever the entry states",
        f"{ROUTING}/_cold_tracker.py",
        "(started_at + rule.seconds, ColdSource.START),",
        "",
        f"{ROUTING_TESTS}/test_cold_ledger.py"
        "::TestEntries::test_endpoint_that_starts_later_is_cold_whatever_its_entry_states",
    ),
    Safeguard(
        "cold endpoint: coldness is capped",
        f"{ROUTING}/_cold_ledger.py",
        "if until > entry.begun_at + cap:",
        "if False:",
        f"{ROUTING_TESTS}/test_cold_ledger.py"
        "::TestAnswers::test_coldness_that_never_ends_is_capped",
    ),
    Safeguard(
        "cold endpoint: capped coldness doesn't begin again at once",
        f"{ROUTING}/_cold_ledger.py",
        "if begins and source in entry.capped:",
        "if False:",
        f"{ROUTING_TESTS}/test_cold_ledger.py"
        "::TestAnswers::test_coldness_that_never_ends_is_capped",
    ),
    Safeguard(
        "cold endpoint: reports are adopted once",
        f"{ROUTING}/_cold_ledger.py",
        "if (report.sequence, report.node) > (entry.sequence, entry.node):",
        "if True:",
        f"{ROUTING_TESTS}/test_cold_ledger.py" "::TestAnswers::test_reports_do_not_circulate",
    ),
    Safeguard(
        "a limit binds one incarnation",
        f"{ROUTING}/_endpoints.py",
        "return self.limits.find_rate(state.endpoint.incarnation) if len(self.limits) else None",
        "return next((each.rate for each in self.limits.list_active()), None)",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_restarted_endpoint_is_not_limited",
    ),
    Safeguard(
        "an urgent request retries where a less urgent one was denied",
        f"{ROUTING}/_gate.py",
        "if choice is None and reset is not None and request.urgency < reset.urgency:",
        "if False:",
        f"{ROUTING_TESTS}/test_forward.py::TestRateLimits"
        "::test_urgent_request_retries_where_a_less_urgent_one_was_denied",
    ),
    Safeguard(
        "an answer that says that its endpoint leaves is heeded",
        f"{ROUTING}/_endpoints.py",
        "self.record_departure(endpoint.agent_id, endpoint.born, DepartureSource.ANSWER)",
        "pass",
        f"{ROUTING_TESTS}/test_forward.py::TestLeaving"
        "::test_endpoint_gets_nothing_after_any_answer_that_says_so",
    ),
    Safeguard(
        "leaving outlives what the list says",
        f"{ROUTING}/_endpoints.py",
        "departure = self.departures.find(agent_id, endpoint.born)",
        "departure = None",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_leaving_told_by_an_answer_outlives_what_the_list_says",
    ),
    Safeguard(
        "leaving ends with the incarnation",
        f"{ROUTING}/_departures.py",
        "return known if known is not None and known.born >= born else None",
        "return known",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_leaving_ends_with_the_incarnation",
    ),
    Safeguard(
        "a request that waited for a grant is placed anew if its endpoint leaves",
        f"{ROUTING}/_forward.py",
        "elif all(each.is_open(read_clock()) for each in placed.states):",
        "else:",
        f"{ROUTING_TESTS}/test_forward.py::TestLeaving"
        "::test_request_that_waits_for_a_grant_goes_elsewhere",
    ),
    Safeguard(
        "nodes tell each other of leaving endpoints",
        f"{ROUTING}/_endpoints.py",
        "self.record_departure(agent_id, born, DepartureSource.PEER)",
        "pass",
        f"{ADAPTER_TESTS}/test_leaving.py::test_nodes_tell_each_other_of_leaving_endpoints",
    ),
    Safeguard(
        "a resting endpoint is left out",
        f"{ROUTING}/_endpoints.py",
        "return self.is_allowed(None) and self.rest_until <= now",
        "return self.is_allowed(None)",
        f"{ROUTING_TESTS}/test_rest_fleet.py::test_no_node_disturbs_resting_endpoints",
    ),
    Safeguard(
        "a shorter rest does not end a longer one",
        f"{ROUTING}/_rests.py",
        "if end <= known:",
        "if False:",
        f"{ROUTING_TESTS}/test_rest_fleet.py"
        "::test_rest_ends_when_all_that_were_asked_for_have_ended",
    ),
    Safeguard(
        "a rest outlives the entry of the list",
        f"{ROUTING}/_endpoints.py",
        "rest_until = self.rests.find_end(endpoint.incarnation)",
        "rest_until = 0.0",
        f"{ROUTING_TESTS}/test_rest_fleet.py::test_rest_holds_whatever_comes_after_it",
    ),
    Safeguard(
        "requests are refused at once while all endpoints rest",
        f"{ROUTING}/_gate.py",
        "rest_end = None if eligible else self._find_rest_end(service, regions, tried, now)",
        "rest_end = None",
        f"{ROUTING_TESTS}/test_forward.py::TestRests"
        "::test_request_is_refused_at_once_when_all_endpoints_rest",
    ),
    Safeguard(
        "callers return at different times after a rest",
        f"{POLICY}/_rests.py",
        "return max(0.0, wait) + random.uniform(*shares) * spread",
        "return max(0.0, wait) + shares[0] * spread",
        f"{POLICY_TESTS}/test_rests.py::TestPickRestRetryAfter"
        "::test_callers_do_not_return_together",
    ),
    Safeguard(
        "the store's era orders snapshots before their revisions do",
        f"{ROUTING}/_store_snapshots.py",
        "return self.era, self.revision",
        "return 0, self.revision",
        f"{ROUTING_TESTS}/test_local_state.py::TestSharedSnapshot"
        "::test_next_era_replaces_whatever_its_revisions_are",
    ),
    Safeguard(
        "entries missing from an older copy count as expired",
        f"{ROUTING}/_store_snapshots.py",
        "if known is not None and 0 < known.snapshot.era < snapshot.era:",
        "if False:",
        f"{ROUTING_TESTS}/test_local_state.py::TestSharedSnapshot"
        "::test_entries_missing_from_an_older_copy_are_not_removed",
    ),
    Safeguard(
        "frames send what differs by content",
        f"{ROUTING}/_zone_view.py",
        "changed=tuple(each for each in items if sent.get(each.key) != each),",
        "changed=tuple(each for each in items if each.key not in sent\n"
        "            or sent[each.key].revision != each.revision),",
        f"{ROUTING_TESTS}/test_zone.py::TestFrameWriter"
        "::test_same_revisions_of_the_next_era_are_sent",
    ),
    Safeguard(
        "a store whose content is older is read with pauses",
        f"{ROUTING}/_store_snapshots.py",
        "            self._note_rejection(snapshot, known.snapshot)\n            return False",
        "            self._note_rejection(snapshot, known.snapshot)\n            return True",
        f"{ROUTING_TESTS}/test_local_state.py::TestSharedSnapshot"
        "::test_store_that_answers_with_older_content_is_read_with_pauses",
    ),
    Safeguard(
        "changes of another era are no changes",
        f"{ADAPTER}/_ranges.py",
        "return changes if changes.era == known.era else None",
        "return changes",
        f"{ADAPTER_TESTS}/test_ranges.py::TestRangeReader"
        "::test_range_is_read_in_full_after_a_return_from_an_older_copy",
    ),
    Safeguard(
        "pages of two eras are no list",
        f"{ADAPTER}/_store.py",
        "if answer.era != first.era:",
        "if False:",
        f"{ADAPTER_TESTS}/test_store.py::TestStoreClient::test_pages_of_two_eras_are_no_list",
    ),
    Safeguard(
        "a configuration never goes back",
        f"{ADAPTER}/_follow.py",
        "order = table.version, taken.snapshot.era, item.revision",
        "order = 0, taken.snapshot.era, item.revision",
        f"{ADAPTER_TESTS}/test_follow.py::TestOperatorDocuments"
        "::test_configuration_never_goes_back",
    ),
    Safeguard(
        "a node registers again whose entry the store has lost",
        f"{ADAPTER}/_entry.py",
        "self._registration.review(taken, len(self._members))",
        "pass",
        f"{ADAPTER_TESTS}/test_store_eras.py"
        "::test_nodes_whose_entries_the_store_lost_register_again",
    ),
    Safeguard(
        "a seed that the store lost is registered again",
        f"{ADAPTER}/_seeds.py",
        "self._known = None if value is None else _decode(value)",
        "self._known = self._known if value is None else _decode(value)",
        f"{ADAPTER_TESTS}/test_seeds.py::TestSeedRegistry"
        "::test_seed_that_the_store_lost_is_registered_again",
    ),
    Safeguard(
        "quarantines that the store lost are written again",
        f"{ADAPTER}/_quarantines.py",
        "if recent.at > oldest:",
        "if False:",
        f"{ADAPTER_TESTS}/test_quarantines.py::test_writes_that_the_store_lost_are_repeated",
    ),
    Safeguard(
        "ended endpoints that an older copy lists are left out",
        f"{ROUTING}/_endpoints.py",
        "return self._gone.get(endpoint.agent_id, -1) >= endpoint.born",
        "return False",
        f"{ROUTING_TESTS}/test_local_state.py::TestEndpoints"
        "::test_ended_endpoint_that_an_older_copy_lists_is_not_used",
    ),
    Safeguard(
        "an agent looks up nodes of which it received no update",
        f"{AGENT}/nodes/_attach.py",
        "self._known.addresses = listed",
        "pass",
        "tests/test_control_under_failure.py::TestConfiguration"
        "::test_survives_a_restart_of_which_no_agent_has_heard",
    ),
    Safeguard(
        "requests keep to the regions that the rule allows",
        f"{ROUTING}/_endpoints.py",
        "bound = regions is not None and self.endpoint.region not in regions",
        "bound = False",
        f"{ROUTING_TESTS}/test_regions.py::TestForwarding::test_only_allowed_regions_are_used",
    ),
    Safeguard(
        "an organisation's regions bind as well as the rule's",
        f"{ROUTING}/_table.py",
        "return intersect_regions(rule.regions, frozenset() if caller is None else caller.regions)",
        "return intersect_regions(rule.regions)",
        f"{ROUTING_TESTS}/test_regions.py::TestForwarding::test_only_allowed_regions_are_used",
    ),
    Safeguard(
        "a newer configuration binds a request that waits",
        f"{ROUTING}/_forward.py",
        "if placement.regions != self._find_regions(progress):",
        "if False:",
        f"{ROUTING_TESTS}/test_regions.py::TestForwarding"
        "::test_waiting_request_keeps_to_a_newer_configuration",
    ),
    Safeguard(
        "address lookups name nodes of allowed regions first",
        f"{ROUTING}/_members.py",
        "if allowed is not None:",
        "if False:",
        f"{ROUTING_TESTS}/test_regions.py::TestAddresses"
        "::test_only_the_callers_and_allowed_regions_are_named",
    ),
    Safeguard(
        "an evacuated endpoint is closed",
        f"{ROUTING}/_endpoints.py",
        "return not (bound or self.leaving or self.evacuated)",
        "return not (bound or self.leaving)",
        f"{ROUTING_TESTS}/test_evacuations.py::TestPlacement"
        "::test_requests_go_to_other_zones_and_come_back",
    ),
    Safeguard(
        "an endpoint that starts in an evacuated zone is evacuated",
        f"{ROUTING}/_endpoints.py",
        "state.evacuated = endpoint.place in self._evacuated",
        "pass",
        f"{ROUTING_TESTS}/test_evacuations.py::TestPlacement"
        "::test_endpoints_listed_later_are_evacuated_too",
    ),
    Safeguard(
        "an older copy of the store doesn't end an evacuation",
        f"{ROUTING}/_evacuations.py",
        "if era > known.era and now - missing_since < ERA_GRACE_SECONDS:",
        "if False:",
        f"{ROUTING_TESTS}/test_evacuations.py::TestEvacuationLedger"
        "::test_older_copy_of_the_store_does_not_end_an_evacuation_at_once",
    ),
    Safeguard(
        "the sum of what a node holds is bounded",
        f"{POLICY}/_memory.py",
        "if held + size > limit:",
        "if False:",
        f"{ADAPTER_TESTS}/test_memory.py"
        "::test_large_bodies_beyond_the_sum_are_refused_and_earlier_ones_served",
    ),
    Safeguard(
        "a body of unknown length counts as it arrives",
        f"{ADAPTER}/_front.py",
        "if size + REQUEST_BYTES > held.size:",
        "if False:",
        f"{ADAPTER_TESTS}/test_memory.py::test_body_of_unknown_length_is_refused_at_the_bound",
    ),
    Safeguard(
        "an answer is read ahead of a slow caller",
        f"{POLICY}/_memory.py",
        "READ_AHEAD_BYTES = 1 << 20",
        "READ_AHEAD_BYTES = 1 << 16",
        f"{ADAPTER_TESTS}/test_slow_callers.py"
        "::test_callers_that_read_are_served_beside_slow_ones",
    ),
    Safeguard(
        "what waits for slow callers is bounded in sum",
        f"{ADAPTER}/_front.py",
        "if buffer.needs_room():",
        "if False:",
        f"{ADAPTER_TESTS}/test_slow_callers.py"
        "::test_slow_callers_together_stay_within_the_budget",
    ),
    Safeguard(
        "a caller that takes nothing is cut off",
        f"{ROUTING}/_caller_buffers.py",
        "self._transport.abort()",
        "pass",
        f"{ADAPTER_TESTS}/test_slow_callers.py"
        "::test_caller_that_blocks_its_endpoint_is_cut_off_before_the_endpoint_gives_up",
    ),
    Safeguard(
        "a begun answer is not given by another endpoint",
        f"{ROUTING}/_answers.py",
        "progress.answer_begun = progress.stream.begun = True",
        "pass",
        f"{ADAPTER_TESTS}/test_large_answers.py"
        "::test_answer_that_breaks_off_while_forwarded_never_looks_complete",
    ),
    Safeguard(
        "an engine's memory is not exceeded",
        f"{POLICY}/_engine_memory.py",
        "return held + tokens <= share * engine.memory_tokens",
        "return True",
        f"{ROUTING_TESTS}/test_engine_memory.py"
        "::test_engine_whose_memory_would_be_exceeded_is_not_chosen",
    ),
    Safeguard(
        "requests behind an answer that closes their connection are answered",
        f"{ADAPTER}/_caller_connections.py",
        "return self._stays_open or (self.has_waiting_request and not self.ends_with_answer)",
        "return self._stays_open",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestWaitingRequests::test_request_behind_a_rejected_body_is_refused_as_not_run",
    ),
    Safeguard(
        "a stopping node announces no close while a request waits behind",
        f"{ADAPTER}/_front.py",
        "if self._is_stopping() and not waiting:",
        "if self._is_stopping():",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestWaitingRequests::test_requests_behind_one_in_progress_at_the_stop_are_served",
    ),
    Safeguard(
        "requests in progress at the end of the grace period get a final answer",
        f"{ADAPTER}/_cutoff.py",
        "limit.reschedule(now)",
        "pass",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestCutoff::test_requests_without_an_answer_get_a_final_one",
    ),
    Safeguard(
        "a request that an endpoint may be running is not promised as not run",
        f"{ADAPTER}/_runner.py",
        "sendings.count += 1",
        "pass",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestCutoff::test_requests_without_an_answer_get_a_final_one",
    ),
    Safeguard(
        "the end of an aborted answer without a length is a reset",
        f"{ADAPTER}/_caller_connections.py",
        "if self.is_unframed and connection is not None:",
        "if False:",
        f"{ADAPTER_TESTS}/test_stopping.py::TestCutoff::test_begun_streams_never_look_complete",
    ),
    Safeguard(
        "a stalled caller of an answer without a length sees a reset",
        f"{ROUTING}/_caller_buffers.py",
        "self.on_cut_off()",
        "pass",
        f"{ADAPTER_TESTS}/test_untaken_answers.py"
        "::test_stalled_caller_that_is_cut_off_does_not_see_a_complete_answer",
    ),
    Safeguard(
        "an answer without a length that the exit cuts off is reset",
        f"{ADAPTER}/_front.py",
        "each.reset_on_close()",
        "pass",
        f"{ADAPTER_TESTS}/test_untaken_answers.py"
        "::test_untaken_answer_without_a_length_does_not_look_complete_at_the_exit",
    ),
    Safeguard(
        "an answer that is being written is not ended by the cutoff",
        f"{ADAPTER}/_cutoff.py",
        "limit.reschedule(None)  # it may be due already, and not have ended the block yet",
        "pass",
        f"{ADAPTER_TESTS}/test_untaken_answers.py" "::test_lifted_limit_does_not_end_its_block",
    ),
    Safeguard(
        "a begun answer is aborted after an internal error",
        f"{ADAPTER}/_front.py",
        "if sink.response is not None and not sink.written and not sink.aborted:",
        "if False:",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::test_internal_error_gives_a_final_answer_or_aborts_a_begun_one",
    ),
    Safeguard(
        "a stop waits for answers that callers have not taken",
        f"{ADAPTER}/_caller_connections.py",
        "return transport is not None and transport.get_write_buffer_size() > 0",
        "return False",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestCallers::test_answers_that_callers_have_not_taken_are_sent_before_the_exit",
    ),
    Safeguard(
        "a stop does not wait for requests of lost connections",
        f"{ADAPTER}/_caller_connections.py",
        "return False\n        return self._request_in_progress",
        "return self.has_waiting_request\n        return self._request_in_progress",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::test_requests_of_a_caller_that_left_are_not_waited_for",
    ),
    Safeguard(
        "a failed removal of the own entry does not end the drain",
        f"{ADAPTER}/_entry.py",
        "await asyncio.wait([unregistering], timeout=MAX_UNREGISTER_SECONDS)",
        "await unregistering",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::test_failed_background_task_ends_the_node_behind_its_requests",
    ),
    Safeguard(
        "the settings file is watched after an error",
        f"{ADAPTER}/_serve.py",
        "except Exception:",
        "except ZeroDivisionError:",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestReload::test_file_is_watched_after_an_error_of_its_reader",
    ),
    Safeguard(
        "extra responses of endpoints are skipped",
        f"{ADAPTER}/_serve.py",
        "response_class=EndpointResponse,",
        "",
        f"{ADAPTER_TESTS}/test_stopping.py"
        "::TestExtraResponses::test_true_response_behind_extra_ones_is_passed_on",
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
                print(
                    f"STALE   {safeguard.name}: {safeguard.file} does not contain it exactly once"
                )
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
        os.killpg(handle.pid, signal.SIGKILL)  # and the programs that the test has started
        await handle.wait()
        return True  # without the safeguard, the awaited event never occurs


async def run(words: str) -> int:
    """Check every safeguard whose name contains ``words``."""
    slots = asyncio.Semaphore(PARALLEL)
    chosen = [each for each in SAFEGUARDS if words in each.name]
    results = await asyncio.gather(*(check(each, slots) for each in chosen))
    print(f"{sum(results)} of {len(results)} safeguards shown to be needed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run(" ".join(sys.argv[1:]))))
