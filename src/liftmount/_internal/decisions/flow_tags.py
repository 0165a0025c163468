"""Flow tags: 32 bits that name the target of a flow.

Both ends of a flow give back the last tag they got, so any balancer finds
the target of a packet without state.  A tag is a function of the target's
number and of one bit, the variant.  Two targets may share a tag; whoever
places a flow then takes the other variant.  With 27,000 targets one pair
in twelve fleets collides in one variant, and one in 10**5 in both.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.segments import TargetEntry

VARIANTS = (0, 1)
VARIANT_SHIFT = 31
HASH_MASK = (1 << VARIANT_SHIFT) - 1
WORD_MASK = 2**64 - 1
# The finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB
GAMMA = 0x9E3779B97F4A7C15


def make_tag(number: int, variant: int) -> int:
    """Return the tag of a target's number; never 0, which means none."""
    mixed = (number + (variant + 1) * GAMMA) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 30)) * MIX_1) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 27)) * MIX_2) & WORD_MASK
    mixed = (mixed ^ (mixed >> 31)) & HASH_MASK
    return (variant << VARIANT_SHIFT) | (mixed or 1)


@define
class TagTable:
    """Targets by tag, in all variants.

    ``by_tag`` maps a tag to the names of its targets, mostly one.
    """

    entries: dict[str, TargetEntry] = Factory(dict)
    by_tag: dict[int, tuple[str, ...]] = Factory(dict)

    def add(self, entry: TargetEntry) -> None:
        """Make a target known, or take over what it says anew."""
        is_new = entry.name not in self.entries
        self.entries[entry.name] = entry
        if not is_new:
            return
        for variant in VARIANTS:
            tag = make_tag(entry.number, variant)
            names = self.by_tag.get(tag, ())
            self.by_tag[tag] = (*names, entry.name)

    def remove(self, name: str) -> None:
        """Forget a target."""
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        for variant in VARIANTS:
            tag = make_tag(entry.number, variant)
            names = tuple(one for one in self.by_tag[tag] if one != name)
            if names:
                self.by_tag[tag] = names
            else:
                del self.by_tag[tag]

    def tag_for(self, name: str) -> int:
        """Return a tag that names only this target, if there is one."""
        number = self.entries[name].number
        for variant in VARIANTS:
            tag = make_tag(number, variant)
            if len(self.by_tag[tag]) == 1:
                return tag
        return make_tag(number, VARIANTS[0])

    def find(self, tag: int, services) -> TargetEntry | None:
        """Return the target of a tag, one of ``services`` if several have it.

        An open flow stays at its target when its route leads to another
        service; a balancer that started since can't know where it led
        before.  None when no target has the tag, or when it can't be told
        which one is meant: a guess might reach another one.
        """
        candidates = [self.entries[name] for name in self.by_tag.get(tag, ())]
        if len(candidates) > 1:
            candidates = [one for one in candidates if one.service in services]
        return candidates[0] if len(candidates) == 1 else None
