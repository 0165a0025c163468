"""Parses the valid parts of an invalid JSON text.

An object in a list that is invalid JSON, or nested too deeply to parse, must
not make the other objects of the list unreadable.
"""

import json
import re

# Strings and punctuation.  Strings with unescaped line breaks are accepted.
TOKEN_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]', re.DOTALL)
OPENING = '{['
CLOSING = '}]'
# Levels that are split: response, list of events, event, object, spec, list of
# routes, route.
MAX_DEPTH = 7


def parse_partial(text: str, depth: int = MAX_DEPTH):
    """Return the value of a JSON text, with None for invalid parts.

    A value that is invalid as a whole is split into its items, down to
    ``depth`` levels.
    """
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
    """Return (name, value) for each item inside the outermost brackets.

    The values are JSON texts.  The name is None in a list, or if it is not a
    valid string.
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
