"""The part of an agent's record that is sent with every report."""

from wrenloft_messages import wrenloft_pb2 as messages


def extract_load(record: messages.AgentRecord) -> messages.AgentLoad:
    """Return a record's load, with what tells which report it is from."""
    return messages.AgentLoad(
        agent_id=record.agent_id,
        sequence=record.sequence,
        running=record.running,
        waiting=record.waiting,
        revision=record.revision,
    )
