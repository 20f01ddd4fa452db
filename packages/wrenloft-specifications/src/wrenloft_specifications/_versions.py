"""Swapping a model's version: fetch, check, load, switch, drain, free.

Bounds: an old version that is served, two newer ones that share a chunk, two chunks each, any
chunk may arrive corrupt, the target may change once at any moment, one request in progress.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from wrenloft_specifications._protocol import Specification, Step

SERVED = "old"
CHUNKS = {"a": ("common", "only-a"), "b": ("common", "only-b")}
NONE = ""


class VersionSafeguard(Enum):
    """What keeps partial, mixed and superseded weights from being served."""

    CHECK_DIGEST = auto()
    WHOLE_BEFORE_LOAD = auto()
    WAIT_FOR_SWITCH = auto()
    DRAIN_BEFORE_FREE = auto()


class VersionState(NamedTuple):
    """The whole state.

    :param held: names of chunks kept; a corrupt one ends in ``!``.
    :param loaded: versions that the engine holds, with whether each is whole.
    :param switching: versions whose switch was ordered and has not taken effect.
    :param busy: the version that a request in progress uses.
    """

    target: str = "a"
    changed: bool = False
    held: frozenset[str] = frozenset()
    loaded: frozenset[tuple[str, bool]] = frozenset({(SERVED, True)})
    switching: frozenset[str] = frozenset()
    serving: str = SERVED
    busy: str = NONE
    cut_off: bool = False
    superseded: bool = False


def specify_versions(without: VersionSafeguard | None = None) -> Specification:
    """Return the specification, with one safeguard left out if one is named."""
    kept = set(VersionSafeguard) - {without}

    def steps(state: VersionState) -> Iterator[Step]:
        yield from _retarget(state)
        yield from _fetch(state, kept)
        yield from _load(state, kept)
        yield from _switch(state, kept)
        yield from _serve(state)
        yield from _free(state, kept)

    return Specification(
        name="versions",
        initial=VersionState(),
        steps=steps,
        invariants={
            "only whole versions serve": lambda state: (state.serving, True) in state.loaded,
            "no request is cut off": lambda state: not state.cut_off,
            "a superseded version does not come back": lambda state: not state.superseded,
        },
    )


def _retarget(state: VersionState) -> Iterator[Step]:
    if not state.changed:
        yield "a newer version is ordered", state._replace(target="b", changed=True)


def _fetch(state: VersionState, kept: set[VersionSafeguard]) -> Iterator[Step]:
    for chunk in CHUNKS[state.target]:
        if chunk in state.held or f"{chunk}!" in state.held:
            continue
        yield f"fetch {chunk}", state._replace(held=state.held | {chunk})
        if VersionSafeguard.CHECK_DIGEST not in kept:
            yield f"fetch {chunk}, corrupt", state._replace(held=state.held | {f"{chunk}!"})


def _load(state: VersionState, kept: set[VersionSafeguard]) -> Iterator[Step]:
    wanted = CHUNKS[state.target]
    have = [each for each in wanted if each in state.held or f"{each}!" in state.held]
    if len(have) < len(wanted) and VersionSafeguard.WHOLE_BEFORE_LOAD in kept:
        return
    if any(name == state.target for name, _ in state.loaded):
        return
    whole = all(each in state.held for each in wanted)
    yield f"load {state.target}", state._replace(loaded=state.loaded | {(state.target, whole)})


def _switch(state: VersionState, kept: set[VersionSafeguard]) -> Iterator[Step]:
    is_loaded = any(name == state.target for name, _ in state.loaded)
    under_way = state.switching and VersionSafeguard.WAIT_FOR_SWITCH in kept
    if is_loaded and not under_way and state.serving != state.target:
        switching = state.switching | {state.target}
        yield f"order the switch to {state.target}", state._replace(switching=switching)
    for version in state.switching:
        if not any(name == version for name, _ in state.loaded):
            continue
        yield f"switch to {version} takes effect", state._replace(
            serving=version,
            switching=state.switching - {version},
            superseded=state.superseded or (state.serving == "b" and version == "a"),
        )


def _serve(state: VersionState) -> Iterator[Step]:
    if state.busy == NONE:
        yield "a request starts", state._replace(busy=state.serving)
    else:
        yield "the request ends", state._replace(busy=NONE)


def _free(state: VersionState, kept: set[VersionSafeguard]) -> Iterator[Step]:
    if state.serving != state.target:
        return
    for version, whole in state.loaded:
        if version in (state.target, *state.switching):
            continue
        if version == state.busy and VersionSafeguard.DRAIN_BEFORE_FREE in kept:
            continue
        yield f"free {version}", state._replace(
            loaded=state.loaded - {(version, whole)},
            cut_off=state.cut_off or version == state.busy,
        )
