"""One HTML page with an experiment's tables and pictures."""

import html
import statistics

from . import tables
from .svg import Chart, colour

DEAREST = 8  # prices that are told apart
BAR_SPACE = 0.8  # of a group's width that its bars fill
TEXT_ROWS = 12  # rows of names of troubles, before they begin again
LABEL_SIGNS = 16  # of a site's name below the plot
LOST = ("refused", "failed", "late")


def all_days(outcomes):
    return sorted({key for results in outcomes.values()
                   for key in tables.by_day(results)})


def draw_worth(outcomes):
    """Worth by day and variant, each seed a dot."""
    days = all_days(outcomes)
    worths = [one.worth for results in outcomes.values()
              for one in results.values()]
    chart = Chart((0, len(days)), (min([0, *worths]), max([0, *worths])))
    width = BAR_SPACE / max(1, len(outcomes))
    for index, (name, results) in enumerate(outcomes.items()):
        chart.legend(name, colour(index))
        groups = tables.by_day(results)
        for at, day in enumerate(days):
            worth = [one.worth for one in groups.get(day, [])]
            if not worth:
                continue
            left = at + index * width
            chart.bar(left, width, 0, statistics.fmean(worth), colour(index))
            for one in worth:
                chart.dot(left + width / 2, one)
    for at, (site, day) in enumerate(days):
        chart.label_x(at, day)
        chart.label_x(at, site[:LABEL_SIGNS], 1 + at % 2)
    return chart.render()


def draw_prices(outcomes):
    """Prices stacked, by variant, means over all plays."""
    means = {name: mean_prices(results) for name, results in outcomes.items()}
    total = {}
    for prices in means.values():
        for what, worth in prices.items():
            total[what] = total.get(what, 0) + worth
    shown = sorted(total, key=lambda what: -total[what])[:DEAREST]
    most = max([sum(prices.values()) for prices in means.values()] or [0])
    chart = Chart((0, max(1, len(means))), (0, most))
    for index, what in enumerate(shown):
        chart.legend(what, colour(index))
    for at, (name, prices) in enumerate(means.items()):
        low = 0.0
        for index, what in enumerate(shown):
            high = low + prices.get(what, 0)
            chart.bar(at, BAR_SPACE, low, high, colour(index))
            low = high
        chart.label_x(at, name)
    return chart.render()


def mean_prices(results):
    prices = {}
    for one in results.values():
        for what, worth in one.prices.items():
            prices[what] = prices.get(what, 0) + worth / len(results)
    return prices


def draw_day(key, outcomes):
    """A day's windows by variant, with its troubles, and what was lost."""
    groups = {name: tables.by_day(results).get(key, [])
              for name, results in outcomes.items()}
    groups = {name: group for name, group in groups.items() if group}
    last = next(reversed(groups.values()))[0]
    seconds = [second for second, _ in last.windows]
    above = Chart((0, max(seconds)), (0, 1), 300)
    for number, (start, end, kind) in enumerate(last.troubles):
        above.span(start, end, kind, number % TEXT_ROWS)
    for index, (name, group) in enumerate(groups.items()):
        above.legend(name, colour(index))
        shares = zip(*[[share for _, share in one.windows] for one in group])
        above.line(list(zip(seconds, map(statistics.fmean, shares))),
                   colour(index))
    below = Chart((0, max(seconds)),
                  (0, max(max(row[1:]) for row in last.refusals)), 200)
    width = BAR_SPACE * (seconds[1] if len(seconds) > 1 else 1) / len(LOST)
    for index, what in enumerate(LOST):
        below.legend(f"{what}, requests of the last variant", colour(index))
        for row in last.refusals:
            below.bar(row[0] + index * width, width, 0, row[index + 1],
                      colour(index))
    ends = ", ".join(f"{count} by {end}"
                     for end, count in last.unserved_by.items())
    return (f"<h3>{html.escape(' '.join(key))}</h3>{above.render()}"
            f"{below.render()}<p>Not served, last variant: "
            f"{html.escape(ends or 'none')}</p>")


def table_element(markdown):
    """Returns a Markdown table, as `tables` writes them, as HTML."""
    rows = [[cell.strip() for cell in line.strip("|").split("|")]
            for line in markdown.splitlines() if not line.startswith("| ---")]
    if len(rows) == 1 and len(rows[0]) == 1:
        return f"<p>{html.escape(rows[0][0])}</p>"
    marks = ["th"] + ["td"] * (len(rows) - 1)
    body = "".join(
        "<tr>" + "".join(f"<{mark}>{html.escape(cell)}</{mark}>"
                         for cell in cells) + "</tr>\n"
        for mark, cells in zip(marks, rows))
    return f"<table>\n{body}</table>"


def write_page(path, title, outcomes, base, problems):
    """Writes the page whole, or not at all."""
    pieces = [
        f"<h1>{html.escape(title)}</h1>",
        table_element(tables.difference_table(outcomes, base)),
        table_element(tables.problem_table(problems)),
        "<h2>Worth by day and variant</h2>", draw_worth(outcomes),
        "<h2>What was paid</h2>", draw_prices(outcomes),
        table_element(tables.day_table(outcomes)),
        "<h2>Over the day</h2>",
        *[draw_day(key, outcomes) for key in all_days(outcomes)],
    ]
    style = ("body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;"
             "text-align:left;border-bottom:1px solid #ddd}svg{display:block}")
    part = path.with_suffix(".part")
    part.write_text(f"<!doctype html><meta charset='utf-8'><title>"
                    f"{html.escape(title)}</title><style>{style}</style>\n" +
                    "\n".join(pieces) + "\n")
    part.rename(path)
