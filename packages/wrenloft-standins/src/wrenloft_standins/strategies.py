"""Hypothesis strategies shared by the tests of this package."""

from hypothesis import strategies as st

from wrenloft_core import AgentId, PlaceName, RegionName
from wrenloft_policy import Host, RunnerCandidate

places = st.sampled_from([PlaceName("liptov-cave-a"), PlaceName("orava-hall-b")])
agent_ids = st.integers(0, 60).map(lambda number: AgentId(f"agent-{number}"))

candidates = st.builds(
    RunnerCandidate,
    agent_id=agent_ids,
    place=places,
    region=st.just(RegionName("liptov")),
    capacity=st.integers(1, 16),
    reported=st.integers(0, 40),
    sent_since=st.integers(-10, 10),
    own=st.integers(0, 20),
    ready_seconds=st.floats(0, 100),
    cached=st.booleans(),
)

candidate_lists = st.lists(candidates, max_size=12, unique_by=lambda each: each.agent_id)

hosts = st.builds(
    Host,
    agent_id=agent_ids,
    place=places,
    labels=st.just({"service": "majster-llm"}),
    leaving=st.booleans(),
    serves=st.booleans(),
    stored_share=st.floats(0, 1),
    other_models=st.integers(0, 3),
)

host_lists = st.lists(hosts, max_size=12, unique_by=lambda each: each.agent_id)
