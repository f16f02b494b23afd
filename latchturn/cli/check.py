"""`latchturn check`: explore the reducer, test the checker with planted faults, walk at random, replay trace files."""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import structlog

from ..checking import explorer, pairs, plants, properties, scopes, traces, walks

HOLDS, BROKEN, UNUSABLE, UNFINISHED = 0, 1, 2, 3  # exit codes
log = structlog.get_logger()


def _existing_name(_: click.Context, option: click.Parameter, value: str | None) -> str | None:
    """Reject the name of a fault or scope that does not exist, and list the existing names."""
    names = plants.PLANTED_FAULTS if option.name == "fault" else scopes.SCOPES
    if value and value not in names:
        raise click.BadParameter(f"{value!r} does not exist; expected one of {', '.join(names)}")
    return value


JOBS = click.option("--jobs", default=os.cpu_count() or 1, show_default=True, type=click.IntRange(1, 64))
SECONDS = click.option("--seconds", default=0.0, type=click.FloatRange(0), help="Time limit; 0: none.")


@click.group()
def check() -> None:
    """Check the properties of the reducer on the program's own code."""


@check.command()
@click.option("--scope", "names", multiple=True, callback=lambda c, p, v: [_existing_name(c, p, k) for k in v],
              help="Scope to explore; may be repeated. Default: two.")  # fmt: skip
@click.option(
    "--exchanges", type=click.IntRange(1, 3), help="Without --scope: only scopes with this number of exchanges."
)
@click.option("--calls", type=click.IntRange(1, 2), help="Without --scope: only scopes with this number of calls.")
@SECONDS
@JOBS
@click.option("--plant", "fault", callback=_existing_name, help="Plant this fault first.")
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write a counterexample to this file.")
@click.option("--pairs", "show_pairs", is_flag=True, help="Show how often each transition was made in each state.")
def attempt(
    names: list[str], exchanges: int | None, calls: int | None, seconds: float, jobs: int,
    fault: str | None, file: Path | None, show_pairs: bool,
) -> None:  # fmt: skip
    """Explore one or more scopes exhaustively."""
    if not names:
        names = ["two"]
        if exchanges or calls:
            exhaustive = [scopes.SCOPES[name] for name in scopes.EXHAUSTIVE]
            matching = [k for k in exhaustive if exchanges in (None, k.exchanges) and calls in (None, k.calls)]
            names = [k.name for k in matching]
    if not names:
        raise click.UsageError(f"no scope has {exchanges} exchanges and {calls} calls; see check scopes")
    pair_totals: pairs.Pairs = pairs.Pairs()
    exit_code = HOLDS
    for name in names:
        result = explorer.explore(name, jobs, seconds, fault or "", _progress if sys.stderr.isatty() else None)
        pair_totals.update(result.pairs)
        rate = result.transitions / max(result.seconds, 1e-9)
        outcome = "BROKEN" if result.violated else "holds, exhausted" if result.exhausted else "not exhausted"
        click.echo(
            f"{name}: {outcome}; {result.states} states, {result.transitions} transitions, depth "
            f"{result.depth}, {result.ends} ends, {result.seconds:.1f} s, {rate:.0f} transitions/s"
        )
        if result.violated:
            _report_violation(
                traces.Trace(traces.VERSION, name, result.choices, result.violated, result.message, fault or ""), file
            )
            sys.exit(BROKEN)
        exit_code = exit_code if result.exhausted else UNFINISHED
    if show_pairs:
        for (machine, state, transition), count, reason in pairs.pair_counts(pair_totals):
            click.echo(f"{machine:<11}{state:<17}{transition:<10}{count:>9}  {reason and 'never: ' + reason}")
        click.echo(f"{len(pairs.uncovered_pairs(pair_totals))} possible pairs did not occur")
    sys.exit(exit_code)


def _progress(result: explorer.Result) -> None:
    log.info("exploring", scope=result.scope, depth=result.depth, states=result.states,
             seconds=round(result.seconds, 1))  # fmt: skip


def _report_violation(trace: traces.Trace, file: Path | None) -> None:
    if trace.fault:
        click.echo(f"{trace.broken}: {trace.message} (planted: {trace.fault})")
        click.echo("choices: " + "; ".join(" ".join(map(str, c)) for c in trace.choices))
    else:
        click.echo("\n".join(traces.narrate(trace.scope, trace.choices)))
    if file is not None:
        traces.write(file, trace)
        click.echo(f"written to {file}; replay it with: latchturn check replay {file}")


@check.command(name="plants")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1), help="Time limit for each fault.")
@JOBS
def all_plants(seconds: float, jobs: int) -> None:
    """Plant every fault, one at a time, and explore its scope to find it."""
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
    unused = [property_.name for property_ in properties.PROPERTIES if property_.name not in caught]
    click.echo(
        f"{len(plants.PLANTED_FAULTS)} faults, {missed} not caught; properties that caught none: {unused or 'none'}"
    )
    sys.exit(BROKEN if missed or unused else HOLDS)


@check.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--steps", default=2000, show_default=True, type=click.IntRange(1))
@click.option(
    "--walks",
    "count",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Number of walks; their seeds are consecutive.",
)
@JOBS
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write a counterexample to this file.")
def walk(seed: int, steps: int, count: int, jobs: int, file: Path | None) -> None:
    """Walk at random through the scope `wide`."""
    import multiprocessing

    work = [(s, steps) for s in range(seed, seed + count)]
    with multiprocessing.get_context("fork").Pool(min(jobs, count)) as pool:
        for walked in pool.starmap(walks.walk, work):
            click.echo(f"seed {walked.seed}: {walked.steps} steps, {walked.calls} calls, {walked.seconds:.1f} s")
            if walked.violated:
                shortened = walks.shorten(walked.choices, walked.violated)
                _report_violation(
                    traces.Trace(traces.VERSION, "wide", shortened, walked.violated, walked.message), file
                )
                sys.exit(BROKEN)


@check.command()
@click.option("--walks", "count", default=20, show_default=True, type=click.IntRange(1))
@click.option("--steps", default=400, show_default=True, type=click.IntRange(1))
def lines(count: int, steps: int) -> None:
    """List the lines of the reducer that random walks in every scope do not reach."""

    from ..checking.reached import unreached_lines

    for file, numbers in unreached_lines(count, steps).items():
        click.echo(f"{file}: {', '.join(map(str, numbers)) or 'all reached'}")


@check.command(name="properties")
def all_properties() -> None:
    """List the properties, each with its statement."""
    for property_ in properties.PROPERTIES:
        click.echo(f"{property_.name:<14}{property_.statement}")


@check.command(name="scopes")
def all_scopes() -> None:
    """List the scopes, what each leaves out, and its budgets."""
    for scope in scopes.SCOPES.values():
        click.echo(f"{scope.name:<12}{scope.about}")
        click.echo(f"{'':<12}leaves out: {scope.leaves_out}")
        click.echo(f"{'':<12}{json.dumps(scope.budgets)}, {scope.rare_choices} rare choices per path")


@check.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--as-test", is_flag=True, help="Print a test that replays it instead.")
def replay(file: Path, as_test: bool) -> None:
    """Replay a counterexample from a trace file."""
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
