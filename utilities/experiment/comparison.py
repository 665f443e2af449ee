"""Paired differences, and how far they can be trusted."""

import dataclasses
import math
import statistics

# Student's t for 95 % on both sides, by degrees of freedom; beyond the table
# the normal value. Source: any table of the distribution.
STUDENT = {1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447,
           7: 2.365, 8: 2.306, 9: 2.262, 10: 2.228, 12: 2.179, 14: 2.145,
           16: 2.120, 18: 2.101, 20: 2.086, 25: 2.060, 30: 2.042, 40: 2.021,
           60: 2.000}
NORMAL = 1.960


@dataclasses.dataclass(frozen=True)
class Difference:
    """Variant less base over the plays that both have."""

    pairs: int
    mean: float
    half_width: float  # of the 95 % interval; infinite for a single pair

    def text(self):
        if self.pairs == 0:
            return "no pair"
        if math.isinf(self.half_width):
            return f"{self.mean:+.3f} (one pair)"
        return f"{self.mean:+.3f} ± {self.half_width:.3f}"


def student(freedom):
    """Returns t of the nearest degrees of freedom below, on the safe side."""
    known = [value for value in STUDENT if value <= freedom]
    if freedom > max(STUDENT):
        return NORMAL
    return STUDENT[max(known)]


def compare(base, variant):
    """Compares two mappings from play to figure."""
    differences = [variant[play] - base[play]
                   for play in sorted(base.keys() & variant.keys(), key=str)]
    if not differences:
        return Difference(0, math.nan, math.inf)
    mean = statistics.fmean(differences)
    if len(differences) == 1:
        return Difference(1, mean, math.inf)
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return Difference(len(differences), mean,
                      student(len(differences) - 1) * error)
