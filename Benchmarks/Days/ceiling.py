#!/usr/bin/env python3
"""Upper bound of the worth that a system could earn on a day: ceiling.py SITE DAY[:SEED]... [--kit FOLDER] [--jobs N]

SITE: such as further/innbytte-takst. Run in the repository. Runs each day once with logs and a report, and prints for each its worth
beside an upper bound: of all parts together, of the whole day, and of the two worst windows.

The bound counts as lost only what no system that keeps its state in the platform's store alone could have served:
- While all nodes are without power or killed, no request is answered. Streams that run when this outage starts pause for longer than
  allowed (a stream that may be resumed is late, another one is lost), and a request that arrives before its end, less the objective,
  is late.
- Nodes that start while the store is unavailable know neither routes nor replicas: the time until its return counts
  as an outage of all nodes.
- A job that is sent while the store is unavailable, and could not be accepted within its objective, is late, or lost if the store
  returns only after the caller's deadline; a job may be accepted only once the store holds it.
- A result that is due while the store is unavailable, or that was generated while it was unavailable before all nodes were
  lost, is not counted as lost: it could have been generated earlier. So the bound is generous for batch jobs.
The bound also ignores the slots of replicas and the time on the network.
"""
import argparse
import json
import re
import statistics
import subprocess
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
WINDOW = 2.0
STEP = 0.02


def play(kit, bench, site, day):
    name, _, seed = day.partition(":")
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        command = [bench, "run", str(site), name, "--no-cpu", "--log", "all", "--report", file.name, "--why", "for the ceiling"]
        command += ["--seed", seed] if seed else []
        output = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace").stdout
        return day, output, json.loads(Path(file.name).read_text())


def log_lines(output):
    for line in output.splitlines():
        match = LINE.match(line)
        if match:
            try:
                yield float(match[1]), match[2], json.loads(match[3])
            except json.JSONDecodeError:
                continue


def job_arrivals(lines):
    """First submission and number of items of each job, from the logs of the nodes."""
    first, items = {}, {}
    for time, _, line in lines:
        if line["event"] == "job submission decided":
            first[line["job"]] = min(first.get(line["job"], time), time - line["took_ms"] / 1000)
            items[line["job"]] = line["items"]
    return [(time, items[job]) for job, time in first.items()]


def outages(report):
    """The times when the whole store is unavailable."""
    return [(e["at_s"], e["to_s"]) for e in report["events"]
            if e["kind"].startswith("platform_down") and "nodes" not in e["kind"] and e["share"] == 0]


def dark_times(lines, report):
    """The times when no node can answer: from the loss of all nodes until the first can have routes and replicas again."""
    started = sorted(time for time, _, line in lines if line["event"] == "started")
    dark = []
    for event in report["events"]:
        match = re.search(r"and (\d+) more", event["what"])
        hit = event["what"].count("front") + (int(match[1]) if match else 0)
        is_loss = any(word in event["kind"] for word in ("power_off_all", "kill_all", "wipe_after_ack", "herd_kill"))
        if not is_loss or hit < report["machines"] - 1:
            continue
        back = next((time for time in started if time > event["at_s"]), event["to_s"])
        for begin, end in outages(report):
            if begin <= back < end:
                back = end
        dark.append((event["at_s"], back))
    return dark


def shape_at(traffic, time):
    if traffic["shape"]["kind"] != "steps":
        return 1.0
    return next((rate for at, rate in reversed(traffic["shape"]["steps"]) if time >= at), 1.0)


def online_loss(cls, time, dark):
    """The share of its worth that a request of this kind loses if it arrives at this time."""
    late = 1 - cls["late_worth"] / cls["worth"]
    stream = cls.get("stream")
    length = 0.75 if stream else cls.get("work_ms", {"mean": 30})["mean"] / 1000
    for begin, end in dark:
        if begin - length < time < begin:
            is_saved = not stream or stream["resume"]
            return late if is_saved and end - time < cls["deadline_ms"] / 1000 else 1.0
        if begin <= time < end - cls["aim_ms"] / 1000:
            return late if end - time < cls["deadline_ms"] / 1000 else 1.0
    return 0.0


def job_loss(cls, time, away):
    late = 1 - cls["late_worth"] / cls["worth"]
    for begin, end in away:
        if begin <= time < end - cls["aim_ms"] / 1000:
            return late if end - time < cls["deadline_ms"] / 1000 else 1.0
    return 0.0


def mark_shares(day, events):
    """Records in each event the share of its targets that the day's fault affects; 0: all."""
    shares = [(fault["kind"], float(fault["at"]), fault.get("share", 0)) for fault in day["faults"]]
    for event in events:
        event["share"] = next((share for kind, at, share in shares
                               if event["kind"].startswith(kind) and abs(at - event["at_s"]) < 0.3), 0)


def online_balance(classes, day, begin, dark):
    """The expected number of requests in a window, their worth, and the part of it that is lost."""
    count, worth, lost = 0.0, 0.0, 0.0
    for traffic in day["traffic"]:
        total = sum(traffic["mix"].values())
        for kind, share in traffic["mix"].items():
            if classes[kind].get("kind") == "batch":
                continue
            for step in range(int(WINDOW / STEP)):
                time = begin + step * STEP
                requests = traffic["per_s"] * share / total * shape_at(traffic, time) * STEP
                count += requests
                worth += requests * classes[kind]["worth"]
                lost += requests * classes[kind]["worth"] * online_loss(classes[kind], time, dark)
    return count, worth, lost


def ceiling(site, report, output):
    """The bound of the whole day, of its two worst windows, and these windows."""
    classes = {cls["name"]: cls for cls in site["classes"]}
    name, _, _ = report["day"].partition(":")
    day = next(day for day in site["day"] if day["name"] == name)
    mark_shares(day, report["events"])
    lines = list(log_lines(output))
    dark = dark_times(lines, report)
    away = sorted(outages(report) + dark)
    batch = next(cls for cls in classes.values() if cls.get("kind") == "batch")
    jobs = job_arrivals(lines)
    windows, earned, owed = [], 0.0, 0.0
    for window in report["windows"]:
        begin = float(window["name"])
        here = [(time, items) for time, items in jobs if begin <= time < begin + WINDOW]
        worth = sum(items * batch["worth"] for _, items in here)
        lost = sum(items * batch["worth"] * job_loss(batch, time, away) for time, items in here)
        requests = max(0, window["n"] - sum(items for _, items in here))
        expected, online_worth, online_lost = online_balance(classes, day, begin, dark)
        scale = requests / max(expected, 1e-9)
        worth += scale * online_worth
        lost += scale * online_lost
        owed += worth
        earned += worth - lost
        if window["worth"] is not None:
            windows.append((1 - lost / worth if worth else 1.0, begin))
    worst = sorted(windows)[:2]
    return earned / owed, statistics.mean(value for value, _ in worst), worst


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site"), parser.add_argument("days", nargs="+")
    parser.add_argument("--kit", default="../given/kit/more/system")
    parser.add_argument("--bench", default="more/bench-cc6490/bin/fleetbench")
    parser.add_argument("--jobs", type=int, default=3)
    args = parser.parse_args()
    path = Path(args.kit) / f"{args.site}.toml"
    site = tomllib.loads(path.read_text())
    bounds, worths = [], []
    with ThreadPoolExecutor(args.jobs) as pool:
        for day, output, report in pool.map(lambda day: play(args.kit, Path(args.kit) / args.bench, path, day), args.days):
            report["day"] = day
            whole, worst, which = ceiling(site, report, output)
            weights = {name: weight for name, weight, _ in report["parts"]}
            shares = {name: share for name, _, share in report["parts"]}
            prices = sum(price for _, _, price in report["prices"])
            bound = sum(weight * {"whole day": whole, "worst windows": worst}.get(name, 1.0) for name, weight in weights.items())
            bounds.append(bound - prices)
            worths.append(report["G"])
            print(f"{day}: worth {report['G']:.3f} of at most {bound - prices:.3f}; whole day "
                  f"{shares['whole day']:.3f} of {whole:.3f}, worst windows "
                  f"{shares['worst windows']:.3f} of {worst:.3f} "
                  f"({', '.join(f'{begin:.0f} s {value:.2f}' for value, begin in which)})")
    print(f"{len(worths)} days: mean worth {statistics.mean(worths):.3f} of at most {statistics.mean(bounds):.3f}")


if __name__ == "__main__":
    main()
