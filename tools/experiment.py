"""Writes experiment files for acacia-load from an example deployment."""

import tomllib

BODY_BYTES = {"idempotent": 0, "at_most_once": 512}


def load_example(path):
    with open(path, "rb") as it:
        return tomllib.load(it)


def load_classes(example):
    """Returns how callers use each class of the example."""
    out = []
    for name, it in example["classes"].items():
        is_once = it["execution"] == "at_most_once"
        has_body = is_once or it.get("key", "none") == "none"
        path = it["path_prefix"] + "/{key}"
        out.append({
            "name": name, "method": "POST" if has_body else "GET",
            "path": path, "body_bytes": 2048 if has_body else 0,
            "at_most_once": int(is_once), "keys": 5000, "zipf": 0.9,
            "hot_keys": 20, "hot_share": 0.2, "hot_move_s": 5.0})
    return out


def write_experiment(path, name, example, keys, targets, share=0.5,
                     duration_s=10, seed=1, phases=(), actions=(),
                     rate_limit=None, connections=8):
    """Writes an experiment in which each account sends `share` of its rate,
    spread evenly over the classes."""
    classes = load_classes(example)
    lines = ["[experiment]", 'name = "%s"' % name, "seed = %d" % seed,
             "duration_s = %s" % float(duration_s), "timeout_ms = 5000",
             'targets = "%s"' % ",".join(targets),
             "connections_per_target = %d" % connections]
    scale = 1.0
    total = sum(a["rate_per_second"] for a in example["accounts"].values())
    if rate_limit and total * share > rate_limit:
        scale = rate_limit / (total * share)
    for account, it in example["accounts"].items():
        lines += ["[[accounts]]", 'name = "%s"' % account,
                  'key = "%s"' % keys[account],
                  "rate = %s" % float(it["rate_per_second"]),
                  "burst = %s" % float(it["burst"])]
    for it in classes:
        lines.append("[[classes]]")
        lines += ['%s = "%s"' % (k, v) if isinstance(v, str)
                  else "%s = %s" % (k, v) for k, v in it.items()]
    for account, it in example["accounts"].items():
        rate = it["rate_per_second"] * share * scale / len(classes)
        for cls in classes:
            lines += ["[[flows]]", 'account = "%s"' % account,
                      'class = "%s"' % cls["name"], "rate = %.3f" % rate]
    for table, rows in (("phases", phases), ("actions", actions)):
        for row in rows:
            lines.append("[[%s]]" % table)
            lines += ["%s = '%s'" % (k, v) if isinstance(v, str)
                      else "%s = %s" % (k, v) for k, v in row.items()]
    with open(path, "w") as it:
        it.write("\n".join(lines) + "\n")
