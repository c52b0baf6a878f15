"""The command that checks every specification and prints the results.

python -m jujubeglade.model          the full bounds, as `make check-model` runs it
python -m jujubeglade.model small    the small bounds, as in CI
"""

import sys

from jujubeglade.model import check, registry, spec


def main(arguments):
    """Check all specifications and their mutations.

    Args:
      arguments: A list of strings: empty, or the name of the bounds.

    Returns:
      An integer, the exit status of the process: 0 if every result is as expected.
    """
    size = arguments[0] if arguments else "full"
    unexpected = 0
    for specification in registry.specifications():
        print(f"== {specification.name}")
        unexpected += _check_safety(specification, size)
        unexpected += _check_witnesses(specification)
        unexpected += _check_progress(specification)
        unexpected += _check_mutations(specification)
    print(f"{unexpected} unexpected")
    return 1 if unexpected else 0


def _check_safety(specification, size):
    unexpected = 0
    for bounds in specification.bounds[size]:
        outcome = check.safety(specification, bounds)
        _print_run(bounds, outcome)
        unexpected += _print_properties(outcome)
    return unexpected


def _check_witnesses(specification):
    missing = check.unreached(specification, specification.bounds["small"][0])
    for name in specification.witnesses:
        verdict = "UNREACHED" if name in missing else "reached"
        print(f"  {verdict} '{name}'")
    return len(missing)


def _check_progress(specification):
    unexpected = 0
    for bounds in specification.progress_bounds:
        outcome = check.progress(specification, bounds)
        _print_run(bounds, outcome)
        unexpected += _print_properties(outcome)
    return unexpected


def _print_run(bounds, outcome):
    extent = "exhaustive" if outcome.exhaustive else "NOT EXHAUSTIVE"
    print(f"{bounds}: {outcome.states} states, {extent}, {outcome.seconds:.1f} s")


def _print_properties(outcome):
    for name in outcome.properties:
        counterexample = outcome.failures.get(name)
        if counterexample is not None:
            print(f"  BROKEN {name}: {'; '.join(counterexample)}")
        elif outcome.exhaustive:
            print(f"  holds  {name}")
        else:
            print(f"  UNDETERMINED {name}")
    sys.stdout.flush()
    return len(outcome.failures) + (not outcome.exhaustive)


def _check_mutations(specification):
    unexpected = 0
    for mutation in spec.MUTATIONS:
        if mutation.specification == specification.name:
            outcome = check.mutated(specification, mutation)
            unexpected += not check.is_expected(mutation, outcome)
            _print_mutation(mutation, outcome)
    return unexpected


def _print_mutation(mutation, outcome):
    kind = "mutation" if mutation.expect_failure else "relaxation"
    verdict = "no counterexample"
    for name, steps in outcome.failures.items():
        verdict = f"breaks '{name}' in {len(steps)} steps"
    if not check.is_expected(mutation, outcome):
        verdict = f"UNEXPECTED: {verdict}"
    print(f"  {kind} '{mutation.name}': {verdict}, {outcome.states} states")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
