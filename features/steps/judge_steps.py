"""Steps for the judge, with starts and answers written by hand."""

from behave import given, then, when

from jujubeglade.bench import judge
from jujubeglade.fakes import upstream


@given("a judge's job {key} of {kind} tasks with values {values}")
def _given_job(context, key, kind, values):
    numbers = tuple(int(value) for value in values.split())
    context.job = judge.SubmittedJob(key, numbers, kind == "repeatable")
    context.absences = {"zone": (), "upstream": ()}
    context.forbid_restarts = False


@given("the judge's evidence is without faults")
def _given_calm(context):
    context.forbid_restarts = True


@given(
    "in the judge's evidence {what} {name} is out of service from {begin:d} to {end:d}"
)
def _given_absence(context, what, name, begin, end):
    context.absences[what] = (judge.Absence(name, begin, end),)


@when("the judge gets the starts {text}")
def _when_starts(context, text):
    texts = [] if text == "none" else text.split()
    context.starts = tuple(_start(start_text) for start_text in texts)


def _start(text):
    place, _, time = text.partition("@")
    key, index = place.split(":")
    return upstream.Started(int(time or 0), key, int(index), 1, "a", "w", "")


@when("the judge gets the answer {text}")
def _when_answers(context, text):
    context.answers = tuple(_answer(answer.split()) for answer in text.split(";"))


def _answer(words):
    state, *tasks = words
    outcomes = tuple(task.partition("=")[0] for task in tasks)
    texts = [task.partition("=")[2] for task in tasks]
    values = tuple(int(value) if value else None for value in texts)
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
    actual = [_describe(finding) for finding in judge.examine(evidence)]
    assert actual == ([] if text == "nothing" else text.split()), actual


def _describe(finding):
    return finding.kind if finding.index < 0 else f"{finding.kind}:{finding.index}"
