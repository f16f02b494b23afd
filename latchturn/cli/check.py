"""`latchturn check`: explore the reducer, plant faults in it, walk at random, replay what was found."""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import structlog

from ..checking import explorer, pairs, plants, properties, scopes, traces, walks

HOLDS, BROKEN, UNUSABLE, UNFINISHED = 0, 1, 2, 3
log = structlog.get_logger()


def _known(_: click.Context, option: click.Parameter, value: str | None) -> str | None:
    """One clear line for a name that does not exist."""
    names = plants.PLANTED_FAULTS if option.name == "fault" else scopes.SCOPES
    if value and value not in names:
        raise click.BadParameter(f"{value!r} does not exist; expected one of {', '.join(names)}")
    return value


JOBS = click.option("--jobs", default=os.cpu_count() or 1, show_default=True, type=click.IntRange(1, 64))
SECONDS = click.option("--seconds", default=0.0, type=click.FloatRange(0), help="Time at most; 0: no end.")


@click.group()
def check() -> None:
    """Check the rules over the program's own code."""


@check.command()
@click.option("--scope", "names", multiple=True, callback=lambda c, p, v: [_known(c, p, k) for k in v],
              help="A scope; may be given more than once. Default: two.")  # fmt: skip
@click.option("--exchanges", type=click.IntRange(1, 3), help="Only scopes of so many exchanges.")
@click.option("--calls", type=click.IntRange(1, 2), help="Only scopes of so many calls.")
@SECONDS
@JOBS
@click.option("--plant", "fault", callback=_known, help="Plant a fault of the catalogue first.")
@click.option("--json", "file", type=click.Path(path_type=Path), help="Keep a counterexample in this file.")
@click.option("--pairs", "show_pairs", is_flag=True, help="Show which state met which move, and how often.")
def attempt(
    names: list[str], exchanges: int | None, calls: int | None, seconds: float, jobs: int,
    fault: str | None, file: Path | None, show_pairs: bool,
) -> None:  # fmt: skip
    """Explore scopes exhaustively."""
    if not names:
        names = ["two"]
        if exchanges or calls:
            all_ = [scopes.SCOPES[name] for name in scopes.EXHAUSTIVE]
            fit = [k for k in all_ if exchanges in (None, k.exchanges) and calls in (None, k.calls)]
            names = [k.name for k in fit]
    if not names:
        raise click.UsageError(f"no scope has {exchanges} exchanges and {calls} calls; see check scopes")
    met: pairs.Pairs = pairs.Pairs()
    verdict = HOLDS
    for name in names:
        result = explorer.explore(name, jobs, seconds, fault or "", _progress if sys.stderr.isatty() else None)
        met.update(result.pairs)
        rate = result.transitions / max(result.seconds, 1e-9)
        outcome = "BROKEN" if result.violated else "holds, exhausted" if result.exhausted else "not exhausted"
        click.echo(
            f"{name}: {outcome}; {result.states} states, {result.transitions} transitions, depth "
            f"{result.depth}, {result.ends} ends, {result.seconds:.1f} s, {rate:.0f} transitions/s"
        )
        if result.violated:
            _show(traces.Trace(traces.VERSION, name, result.choices, result.violated, result.message, fault or ""),
                  file)  # fmt: skip
            sys.exit(BROKEN)
        verdict = verdict if result.exhausted else UNFINISHED
    if show_pairs:
        for (machine, state, move), count, never in pairs.pair_counts(met):
            click.echo(f"{machine:<11}{state:<17}{move:<10}{count:>9}  {never and 'never: ' + never}")
        click.echo(f"{len(pairs.unmet_pairs(met))} pairs that can be were not met")
    sys.exit(verdict)


def _progress(result: explorer.Result) -> None:
    log.info("exploring", scope=result.scope, depth=result.depth, states=result.states,
             seconds=round(result.seconds, 1))  # fmt: skip


def _show(trace: traces.Trace, file: Path | None) -> None:
    if trace.fault:
        click.echo(f"{trace.broken}: {trace.message} (planted: {trace.fault})")
        click.echo("choices: " + "; ".join(" ".join(map(str, c)) for c in trace.choices))
    else:
        click.echo("\n".join(traces.narrate(trace.scope, trace.choices)))
    if file is not None:
        traces.write(file, trace)
        click.echo(f"kept in {file}; latchturn check replay {file}")


@check.command(name="plants")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1), help="Time at most for each.")
@JOBS
def all_plants(seconds: float, jobs: int) -> None:
    """Plant every fault of the catalogue, one at a time, and look for it."""
    click.echo(f"{'fault':<29}{'scope':<12}{'property':<14}{'depth':>5}{'states':>8}{'time':>8}")
    missed = 0
    caught = set()

    def run(name: str) -> explorer.Result:
        return explorer.explore(plants.PLANTED_FAULTS[name].scope, 1, seconds, name)

    with ThreadPoolExecutor(jobs) as threads:
        for name, result in zip(plants.PLANTED_FAULTS, threads.map(run, plants.PLANTED_FAULTS)):
            missed += not result.violated
            caught.add(result.violated)
            click.echo(
                f"{name:<29}{result.scope:<12}{result.violated or 'NOT CAUGHT':<14}{len(result.choices):>5}"
                f"{result.states:>8}{result.seconds:>7.1f}s"
            )
    idle = [property_.name for property_ in properties.PROPERTIES if property_.name not in caught]
    click.echo(
        f"{len(plants.PLANTED_FAULTS)} faults, {missed} not caught; properties that caught none: {idle or 'none'}"
    )
    sys.exit(BROKEN if missed or idle else HOLDS)


@check.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--steps", default=2000, show_default=True, type=click.IntRange(1))
@click.option("--walks", "count", default=1, show_default=True, type=click.IntRange(1), help="Seeds in a row.")
@JOBS
@click.option("--json", "file", type=click.Path(path_type=Path), help="Keep a counterexample in this file.")
def walk(seed: int, steps: int, count: int, jobs: int, file: Path | None) -> None:
    """Walk at random through a large world."""
    import multiprocessing

    work = [(s, steps) for s in range(seed, seed + count)]
    with multiprocessing.get_context("fork").Pool(min(jobs, count)) as pool:
        for seen in pool.starmap(walks.walk, work):
            click.echo(f"seed {seen.seed}: {seen.steps} steps, {seen.calls} calls, {seen.seconds:.1f} s")
            if seen.violated:
                short = walks.shorten(seen.choices, seen.violated)
                _show(traces.Trace(traces.VERSION, "wide", short, seen.violated, seen.message), file)
                sys.exit(BROKEN)


@check.command()
@click.option("--walks", "count", default=20, show_default=True, type=click.IntRange(1))
@click.option("--steps", default=400, show_default=True, type=click.IntRange(1))
def lines(count: int, steps: int) -> None:
    """Tell which lines of the reducer no path reaches, over the small scopes and some walks."""

    from ..checking.reached import unreached_lines

    for file, numbers in unreached_lines(count, steps).items():
        click.echo(f"{file}: {', '.join(map(str, numbers)) or 'all reached'}")


@check.command(name="properties")
def all_properties() -> None:
    """The laws, a sentence each."""
    for property_ in properties.PROPERTIES:
        click.echo(f"{property_.name:<14}{property_.statement}")


@check.command(name="scopes")
def all_scopes() -> None:
    """The scopes, and what each leaves out."""
    for scope in scopes.SCOPES.values():
        click.echo(f"{scope.name:<12}{scope.about}")
        click.echo(f"{'':<12}leaves out: {scope.leaves_out}")
        click.echo(f"{'':<12}{json.dumps(scope.budgets)}, {scope.rare_choices} rare a path")


@check.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--as-test", is_flag=True, help="Print a ready test instead.")
def replay(file: Path, as_test: bool) -> None:
    """Replay a counterexample from its file."""
    try:
        trace = traces.read(file)
        if as_test:
            click.echo(traces.as_test(trace))
            return
        if trace.fault:
            plants.plant(trace.fault)
        traces.replay(trace.scope, trace.choices)
    except KeyError:
        raise click.UsageError(f"{file}: planted fault {trace.fault!r} does not exist") from None
    except traces.TraceError as error:
        click.echo(f"latchturn: {error}" if str(file) in str(error) else f"latchturn: {file}: {error}", err=True)
        sys.exit(UNUSABLE)
    lines = traces.narrate(trace.scope, trace.choices)
    click.echo("\n".join(lines))
    sys.exit(BROKEN if lines and lines[-1].startswith("BROKEN") else HOLDS)
