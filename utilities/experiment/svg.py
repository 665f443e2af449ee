"""Small charts as SVG.

matplotlib of Debian 12 cannot be installed beside the Boost 1.81 that the
daemon is built with (python3-scipy needs the headers of 1.74).
"""

import html

WIDTH = 900
MARGIN = 46  # pixels round the plot, for labels
COLOURS = ("#4472c4", "#ed7d31", "#70ad47", "#a64ca6", "#c00000", "#00a3a3",
           "#997300", "#636363")
LEGEND_STEP = 14  # pixels between two lines of a legend


def colour(index):
    return COLOURS[index % len(COLOURS)]


class Chart:
    """A chart with a linear scale in each direction."""

    def __init__(self, x_range, y_range, height=260):
        self._x = x_range
        self._y = (y_range[0], max(y_range[1], y_range[0] + 1e-9))
        self._height = height
        self._legend = 0
        self._pieces = []
        for step in range(6):
            value = self._y[0] + (self._y[1] - self._y[0]) * step / 5
            self._pieces.append(
                f'<line x1="{MARGIN}" x2="{WIDTH}" y1="{self.y(value):.1f}" '
                f'y2="{self.y(value):.1f}" stroke="#ddd"/>')
            self.text(4, self.y(value) + 4, f"{value:.2f}")

    def x(self, value):
        low, high = self._x
        share = (value - low) / max(high - low, 1e-9)
        return MARGIN + share * (WIDTH - MARGIN)

    def y(self, value):
        low, high = self._y
        share = (value - low) / (high - low)
        return self._height - MARGIN - share * (self._height - 2 * MARGIN)

    def text(self, x, y, words, size=10):
        self._pieces.append(f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}">'
                            f"{html.escape(str(words))}</text>")

    def label_x(self, value, words, row=0):
        """Writes below the plot; labels that would meet go on other rows."""
        self.text(self.x(value), self._height - MARGIN + 14 + 12 * row, words)

    def legend(self, words, fill):
        at = 10 + self._legend * LEGEND_STEP
        self._legend += 1
        self._pieces.append(f'<rect x="{WIDTH + 10}" y="{at}" width="9" '
                            f'height="9" fill="{fill}"/>')
        self.text(WIDTH + 24, at + 9, words)

    def bar(self, x, width, low, high, fill):
        top, bottom = sorted((self.y(low), self.y(high)))
        self._pieces.append(
            f'<rect x="{self.x(x):.1f}" y="{top:.1f}" fill="{fill}" '
            f'width="{self.x(x + width) - self.x(x):.1f}" '
            f'height="{bottom - top:.1f}"/>')

    def dot(self, x, y):
        self._pieces.append(f'<circle cx="{self.x(x):.1f}" '
                            f'cy="{self.y(y):.1f}" r="2"/>')

    def line(self, points, stroke):
        text = " ".join(f"{self.x(x):.1f},{self.y(y):.1f}" for x, y in points)
        self._pieces.append(f'<polyline points="{text}" fill="none" '
                            f'stroke="{stroke}" stroke-width="1.6"/>')

    def span(self, start, end, words, row):
        """Marks a time in which something went on."""
        self._pieces.append(
            f'<rect x="{self.x(start):.1f}" y="{MARGIN}" fill="red" '
            f'fill-opacity="0.07" height="{self._height - 2 * MARGIN}" '
            f'width="{max(2.0, self.x(end) - self.x(start)):.1f}"/>')
        self.text(self.x(start), MARGIN + 10 + row * 10, words, 8)

    def render(self):
        width = WIDTH + 260
        return (f'<svg width="{width}" height="{self._height}" '
                f'viewBox="0 0 {width} {self._height}" '
                'xmlns="http://www.w3.org/2000/svg" '
                f'font-family="sans-serif">{"".join(self._pieces)}</svg>')
