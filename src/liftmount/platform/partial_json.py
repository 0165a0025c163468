"""What can be read of a document that can't be read as a whole.

One writer's bytes in a list must not hide what all others wrote: a text that
breaks the rules of JSON, or is nested too deeply to be read.
"""

import json
import re

# Strings, and the signs between values; whatever else there is stays in
# between.  A string may hold line breaks that it must not hold.
TOKEN_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]', re.DOTALL)
OPENING = '{['
CLOSING = '}]'
# From an answer through its list and an object to the object's fields.
MAX_DEPTH = 5


def parse_partial(text: str, depth: int = MAX_DEPTH):
    """Return the value of a JSON text, with None for what can't be read."""
    text = text.strip()
    try:
        return json.loads(text, strict=False)
    except (ValueError, RecursionError):
        pass
    if not depth or text[:1] not in ('{', '['):
        return None
    parts = _split_items(text)
    if text.startswith('['):
        return [parse_partial(value, depth - 1) for _name, value in parts]
    return {
        name: parse_partial(value, depth - 1)
        for name, value in parts
        if name is not None
    }


def _split_items(text):
    """Return (name, value) for each part inside the outermost brackets.

    Both are texts; the name is None in a list, or if it can't be read.
    """
    parts = []
    name = None
    level = 0
    start = 1
    for token in TOKEN_PATTERN.finditer(text):
        symbol = token.group()
        if symbol in OPENING:
            level += 1
        elif symbol in CLOSING:
            level -= 1
        is_end = level == 0 or (level == 1 and symbol == ',')
        if level == 1 and symbol == ':':
            name = parse_partial(text[start : token.start()], 0)
            start = token.end()
        elif is_end:
            value = text[start : token.start()]
            if value.strip():
                parts.append((name if type(name) is str else None, value))
            name = None
            start = token.end()
        if level == 0:
            break
    return parts
