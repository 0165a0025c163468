"""Flow tags: 32-bit values that identify the target of a flow.

Both ends of a flow echo the last tag that they received, so any balancer
finds the target of a packet without state. A tag is a hash of the target's
number and of one bit, the variant. Openings carry the first variant, segments
of flows that are known to be at the target the second one. If two targets
collide in one variant, the other one serves for both.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.segments import TargetEntry

VARIANTS = (0, 1)
VARIANT_SHIFT = 31
HASH_MASK = (1 << VARIANT_SHIFT) - 1
WORD_MASK = 2**64 - 1
# The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB
GAMMA = 0x9E3779B97F4A7C15


def make_tag(number: int, variant: int) -> int:
    """Return the tag of a target's number; never 0, which means no tag."""
    mixed = (number + (variant + 1) * GAMMA) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 30)) * MIX_1) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 27)) * MIX_2) & WORD_MASK
    mixed = (mixed ^ (mixed >> 31)) & HASH_MASK
    return (variant << VARIANT_SHIFT) | (mixed or 1)


@define
class TagTable:
    """Targets by tag, in all variants.

    ``by_tag`` maps a tag to the names of its targets, several on collision.
    """

    entries: dict[str, TargetEntry] = Factory(dict)
    by_tag: dict[int, tuple[str, ...]] = Factory(dict)

    def add(self, entry: TargetEntry) -> None:
        """Add a target, or replace the entry of a known one."""
        is_new = entry.name not in self.entries
        self.entries[entry.name] = entry
        if not is_new:
            return
        for variant in VARIANTS:
            tag = make_tag(entry.number, variant)
            names = self.by_tag.get(tag, ())
            self.by_tag[tag] = (*names, entry.name)

    def remove(self, name: str) -> None:
        """Remove a target."""
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        for variant in VARIANTS:
            tag = make_tag(entry.number, variant)
            names = tuple(other for other in self.by_tag[tag] if other != name)
            if names:
                self.by_tag[tag] = names
            else:
                del self.by_tag[tag]

    def opening_tag(self, name: str) -> int:
        """Return the tag of a target for openings, unique if possible."""
        return self._first_unique(name, VARIANTS)

    def confirmed_tag(self, name: str) -> int:
        """Return the tag of a target for flows that are known to be there."""
        return self._first_unique(name, VARIANTS[::-1])

    def is_confirmed(self, tag: int, name: str) -> bool:
        """Return whether only segments of a target's own flows carry a tag."""
        is_confirmed = tag == self.confirmed_tag(name)
        return is_confirmed and tag != self.opening_tag(name)

    def _first_unique(self, name, variants):
        number = self.entries[name].number
        for variant in variants:
            tag = make_tag(number, variant)
            if len(self.by_tag[tag]) == 1:
                return tag
        return make_tag(number, variants[0])

    def find(self, tag: int, services) -> TargetEntry | None:
        """Return the target of a tag, or None if unknown or ambiguous.

        ``services`` only resolve a collision: an open flow stays at its
        target when its route changes to another service.
        """
        candidates = [self.entries[name] for name in self.by_tag.get(tag, ())]
        # A single candidate is not checked: a balancer that started after a
        # route changed can't know which service it led to before.
        if len(candidates) > 1:
            candidates = [
                entry for entry in candidates if entry.service in services
            ]
        # An ambiguous tag is not guessed: a guess may reach another target.
        return candidates[0] if len(candidates) == 1 else None
