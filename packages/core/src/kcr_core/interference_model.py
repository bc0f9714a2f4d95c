"""Learn how much each kind of task slows the service.

The model is linear: tail latency = base + sum over kinds of effect times
processors in use, with the effect scaled by the load of the service. It is
fitted by normalized least mean squares to each measurement that the governor
passes on. Effects decay towards zero while their kind does not run, so that
an old estimate does not exclude a kind for good.
"""

from collections import abc

# Share of the error that one measurement corrects (step size).
LEARNING_RATE = 0.3
# Factor on an effect per measurement without its kind.
DECAY = 0.995
# Maximum number of kinds whose effects are stored; the weakest is dropped.
MAX_KINDS = 64
# Weight of the constant term in the normalization, in processors.
BASE_PROCESSORS = 4.0
# Initial base latency, as a share of the target.
FIRST_BASE = 0.5
# Minimum load by which effects are scaled.
MIN_LOAD = 0.1


class Model:
    """Store the learned effects of the tasks on one instance."""

    def __init__(self) -> None:
        # Tail latency without tasks, in ms.
        self.base_ms = 0.0
        # Effect of each kind in ms per processor at full load.
        self.effects: dict[str, float] = {}
        self._has_learned = False

    def predict(
        self, load: float, processors: abc.Mapping[str, float]
    ) -> float:
        """Return the expected tail latency in ms.

        `processors` are those that the tasks of each kind may use.
        """
        scale = max(MIN_LOAD, load)
        return self.base_ms + scale * sum(
            self.effects.get(kind, 0.0) * amount
            for kind, amount in processors.items()
        )

    def effect(self, kind: str, load: float) -> float:
        """Return the effect of a kind at a load, in ms per processor."""
        return max(MIN_LOAD, load) * self.effects.get(kind, 0.0)

    def learn(
        self,
        p99_ms: float,
        load: float,
        processors: abc.Mapping[str, float],
        target_ms: float,
    ) -> None:
        """Correct the base and the effects by one measurement."""
        if not self._has_learned:
            self._has_learned = True
            self.base_ms = min(p99_ms, FIRST_BASE * target_ms)
        scale = max(MIN_LOAD, load)
        self._attribute_unexplained(p99_ms, load, processors)
        error = p99_ms - self.predict(load, processors)
        inputs = {k: scale * a for k, a in processors.items() if a > 0}
        norm = BASE_PROCESSORS**2 + sum(x * x for x in inputs.values())
        step = LEARNING_RATE * error / norm
        self.base_ms = max(0.0, self.base_ms + step * BASE_PROCESSORS)
        for kind, value in inputs.items():
            effect = self.effects.get(kind, 0.0)
            self.effects[kind] = max(0.0, effect + step * value)
        for kind in list(self.effects):
            if kind not in inputs:
                self.effects[kind] *= DECAY
        if len(self.effects) > MAX_KINDS:
            weakest = min(self.effects, key=lambda k: self.effects[k])
            del self.effects[weakest]

    def _attribute_unexplained(
        self, p99_ms: float, load: float, processors: abc.Mapping[str, float]
    ) -> None:
        """Attribute unexplained latency to kinds without an effect yet.

        Otherwise the base would absorb the effect of kinds that always run,
        and no action against them would ever be tried.
        """
        new_kinds = [k for k, a in processors.items() if k not in self.effects]
        total = sum(processors[kind] for kind in new_kinds)
        if total <= 0:
            return
        unexplained = max(0.0, p99_ms - self.predict(load, processors))
        for kind in new_kinds:
            self.effects[kind] = unexplained / (max(MIN_LOAD, load) * total)
