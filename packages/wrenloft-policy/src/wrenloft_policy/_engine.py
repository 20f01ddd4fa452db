"""Latency model of an engine, computed from its deployment's figures."""

from dataclasses import dataclass, field

_MEAN_PASS_REMAINDER = 0.5
"""Share of the current pass that a request waits on average, as it arrives in the middle of it."""


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Timing of an engine's batch.

    An engine alternates between prefill, in chunks of ``prefill_chunk_tokens``, and ``stride``
    decode steps of all streams in its batch.

    :param slots: maximum number of streams in the batch.
    :param stride: decode steps in one pass, which become one event.
    :param step: seconds of a decode step.
    :param step_per_stream: seconds that each stream in the batch adds to a step.
    :param prefill_rate: prompt tokens processed a second.
    :param prefill_chunk_tokens: maximum number of prompt tokens processed in one pass.
    :param mean_prompt_tokens: mean length of a prompt.
    :param mean_output_tokens: mean length of an output.
    :param memory_tokens: capacity of its memory.
    :param usual_read: seconds of prefill of a mean prompt; computed from the others.
    """

    slots: int
    stride: int
    step: float
    step_per_stream: float
    prefill_rate: float
    prefill_chunk_tokens: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    memory_tokens: int = 0
    usual_read: float = field(init=False, repr=False, compare=False)
    _passes: tuple[float, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        # Computed once: a node compares a hundred engines for one request, and each comparison
        # needs several of these.
        object.__setattr__(self, "usual_read", self.mean_prompt_tokens / self.prefill_rate)
        passes = tuple(self._compute_pass(streams) for streams in range(self.slots + 1))
        object.__setattr__(self, "_passes", passes)

    def decode_seconds(self, streams: int) -> float:
        """Return the seconds of the decode steps of one pass."""
        return self.stride * (self.step + self.step_per_stream * streams)

    def pass_seconds(self, streams: int) -> float:
        """Return the seconds of one pass in a steady state with ``streams`` in the batch.

        A new prompt follows each stream that ends: over the passes of one output, each slot
        prefills one prompt.

        :param streams: 0 to ``slots``.
        """
        return self._passes[streams]

    def _compute_pass(self, streams: int) -> float:
        passes = max(1.0, self.mean_output_tokens / self.stride)
        prefill_seconds = streams * self.usual_read / passes
        return self.decode_seconds(streams) + min(
            prefill_seconds, self.prefill_chunk_tokens / self.prefill_rate
        )

    def stream_seconds(self) -> float:
        """Return the seconds for which a mean stream occupies its slot in a full batch."""
        passes = max(1.0, self.mean_output_tokens / self.stride)
        return passes * self.pass_seconds(self.slots) + self.usual_read


@dataclass(frozen=True, slots=True)
class Prediction:
    """Seconds until a request's first byte.

    :param queued: until its own prefill starts; the uncertain part.
    :param own: for its own work.
    """

    queued: float
    own: float

    @property
    def total(self) -> float:
        """The sum of both parts."""
        return self.queued + self.own


def predict_first_event(
    profile: EngineProfile,
    running: int,
    waiting: float,
    prompt_tokens: float,
    pace: float = 1.0,
    waiting_tokens: float | None = None,
) -> Prediction:
    """Predict the seconds until a request sent now has its first event.

    The sum of three parts: a slot becomes free, once for each request beyond the batch; the
    prompts ahead are prefilled; its own prompt is prefilled and its first event decoded.

    :param running: requests in the batch.
    :param waiting: estimated requests ahead that are not in the batch.
    :param pace: how many times slower than its profile the engine is.
    :param waiting_tokens: prompt tokens of those requests, ``None`` for mean prompts.
    """
    ahead = running + waiting + 1 - profile.slots
    slot_wait = max(0, ahead) * profile.stream_seconds() / profile.slots
    unread_prompts = min(waiting, profile.slots)
    own_prefill = prompt_tokens / profile.prefill_rate
    current_pass = _MEAN_PASS_REMAINDER * profile.pass_seconds(min(running, profile.slots))
    first_pass = profile.decode_seconds(min(running + 1, profile.slots))
    if waiting_tokens is None:
        others_prefill = unread_prompts * profile.usual_read
    else:
        others_prefill = waiting_tokens / profile.prefill_rate * unread_prompts / max(1.0, waiting)
    decode_between = profile.decode_seconds(min(running, profile.slots)) if running else 0.0
    further_passes = int(
        (others_prefill + own_prefill) * profile.prefill_rate / profile.prefill_chunk_tokens
    )
    queued = slot_wait + current_pass + others_prefill + further_passes * decode_between
    return Prediction(queued=pace * queued, own=pace * (own_prefill + first_pass))
