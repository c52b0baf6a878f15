"""Steps for the judge: logs written by hand, good ones and bad ones."""

from behave import given, then, when

from jujubeglade.bench import judge
from jujubeglade.fakes import upstream


@given("a judge's job {key} of {kind} tasks with values {values}")
def _given_job(context, key, kind, values):
    numbers = tuple(int(each) for each in values.split())
    context.job = judge.SubmittedJob(key, numbers, kind == "repeatable")
    context.absences = {"zone": (), "upstream": ()}
    context.forbid_restarts = False


@given("the judge knows that all was calm")
def _given_calm(context):
    context.forbid_restarts = True


@given("the judge knows that {what} {name} is out from {begin:d} to {end:d}")
def _given_absence(context, what, name, begin, end):
    context.absences[what] = (judge.Absence(name, begin, end),)


@when("the judge sees the starts {text}")
def _when_starts(context, text):
    written = [] if text == "none" else text.split()
    context.starts = tuple(_start(each) for each in written)


def _start(text):
    place, _, time = text.partition("@")
    key, index = place.split(":")
    return upstream.Started(int(time or 0), key, int(index), 1, "a", "w", "")


@when("the judge hears the answer {text}")
def _when_told(context, text):
    context.answers = tuple(_answer(each.split()) for each in text.split(";"))


def _answer(words):
    state, *tasks = words
    outcomes = tuple(each.partition("=")[0] for each in tasks)
    texts = [each.partition("=")[2] for each in tasks]
    values = tuple(int(each) if each else None for each in texts)
    return judge.Answer("k", state, outcomes, values)


@then("the judge finds {text}")
def _then_findings(context, text):
    evidence = judge.Evidence(
        context.starts,
        (context.job,),
        context.answers,
        context.absences["zone"],
        context.absences["upstream"],
        context.forbid_restarts,
    )
    found = [_shown(each) for each in judge.examine(evidence)]
    assert found == ([] if text == "nothing" else text.split()), found


def _shown(finding):
    return finding.kind if finding.index < 0 else f"{finding.kind}:{finding.index}"
