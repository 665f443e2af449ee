"""The tables of an experiment, as Markdown."""

import statistics

from .comparison import compare

DEAREST = 4  # prices that the table names


def row(*cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def by_day(results):
    """Groups results of one variant by site and day."""
    days = {}
    for play, result in results.items():
        days.setdefault((play.site.stem, play.day), []).append(result)
    return days


def day_table(outcomes):
    """Every variant's figures by day: means over seeds."""
    lines = [row("site", "day", "variant", "plays", "worth", "served",
                 "refused", "failed", "worst windows", "prices", "dearest",
                 "rules broken"),
             row(*["---"] * 12)]
    for name, results in outcomes.items():
        for (site, day), group in sorted(by_day(results).items()):
            mean = {figure: statistics.fmean(getattr(one, figure)
                                             for one in group)
                    for figure in ("worth", "served", "refused", "failed",
                                   "price")}
            windows = statistics.fmean(one.parts["worst windows"]
                                       for one in group)
            broken = sorted({rule for one in group for rule in one.breaks})
            lines.append(row(
                site, day, name, len(group), f"{mean['worth']:.3f}",
                f"{mean['served']:.3f}", f"{mean['refused']:.3f}",
                f"{mean['failed']:.3f}", f"{windows:.3f}",
                f"{mean['price']:.3f}", dearest(group),
                ", ".join(broken) or "none"))
    return "\n".join(lines)


def dearest(group):
    sums = {}
    for one in group:
        for name, worth in one.prices.items():
            sums[name] = sums.get(name, 0) + worth / len(group)
    top = sorted(sums.items(), key=lambda item: -item[1])[:DEAREST]
    return ", ".join(f"{name} {worth:.3f}" for name, worth in top)


def difference_table(outcomes, base):
    """Variant less base, site by site, on the same days and seeds."""
    lines = [row("site", "variant", "mean worth", "pairs",
                 f"worth against {base}", "served", "prices"),
             row(*["---"] * 7)]
    sites = sorted({play.site.stem for results in outcomes.values()
                    for play in results})
    for site in sites:
        for name, results in outcomes.items():
            mine = of_site(results, site)
            if not mine:
                lines.append(row(site, name, "no play", 0, "", "", ""))
                continue
            mean = statistics.fmean(one.worth for one in mine.values())
            if name == base:
                lines.append(row(site, name, f"{mean:.3f}", len(mine), "", "",
                                 ""))
                continue
            theirs = of_site(outcomes.get(base, {}), site)
            figures = [compare(values(theirs, figure), values(mine, figure))
                       for figure in ("worth", "served", "price")]
            lines.append(row(site, name, f"{mean:.3f}", figures[0].pairs,
                             *[figure.text() for figure in figures]))
    return "\n".join(lines)


def of_site(results, site):
    return {play: one for play, one in results.items()
            if play.site.stem == site}


def values(results, figure):
    return {play: getattr(one, figure) for play, one in results.items()}


def problem_table(problems):
    """Plays that failed, and pairs that are therefore missing."""
    if not problems:
        return "Every play was made and read."
    lines = [row("variant", "play", "problem"), row("---", "---", "---")]
    lines += [row(*problem) for problem in problems]
    return "\n".join(lines)
