"""Judges OWNER on what targets held and ran."""
STEP = 64  # Keys are sampled.


def intervals(target, key):
    """Times at which the target held the key, by its own clock of grants."""
    out, begin, until = [], None, 0.0
    for at, rows, expiry in target.timeline:
        if begin is not None and at > until:
            out.append((begin, until))
            begin = None
        held = any(row[0] <= key <= row[1] for row in rows)
        if held and begin is None:
            begin = at
        if not held and begin is not None:
            out.append((begin, at))
            begin = None
        until = expiry
    if begin is not None:
        out.append((begin, until))
    return out


def overlaps(targets, end):
    """Yields (key, a, b, from, to) for each time that two targets held a
    sampled key."""
    for key in range(0, 65536, STEP):
        held = [(it, intervals(it, key)) for it in targets]
        for n, (a, mine) in enumerate(held):
            for b, others in held[n + 1:]:
                for x in mine:
                    for y in others:
                        begin, until = max(x[0], y[0]), min(x[1], y[1], end)
                        if begin < until:
                            yield key, a, b, begin, until


def held_at(target, key, at):
    return any(begin <= at < until for begin, until in intervals(target, key))


def judge_owner(targets, end):
    """Returns what breaks OWNER: keys held by two targets for over half a
    second, or while both began requests on keys that both held."""
    broken, longest = [], {}
    for key, a, b, begin, until in overlaps(targets, end):
        known = longest.get((a.name, b.name))
        if known is None or until - begin > known[0]:
            longest[a.name, b.name] = until - begin, key, begin, a, b
    for (a_name, b_name), (length, key, begin, a, b) in longest.items():
        if length > 0.5:
            broken.append("%s and %s both held key %d for %.2f s from %.3f" %
                          (a_name, b_name, key, length, begin))
        ran_a = [it for it in a.runs if held_at(b, it[2], it[0])]
        ran_b = [it for it in b.runs if held_at(a, it[2], it[0])]
        if ran_a and ran_b:
            broken.append("%s ran %d and %s ran %d requests on keys while "
                          "both held them" %
                          (a_name, len(ran_a), b_name, len(ran_b)))
    return broken
