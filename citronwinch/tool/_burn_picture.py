"""The burn report as an image, drawn with the optional dependency matplotlib."""

from collections.abc import Sequence
from pathlib import Path

from citronwinch.tool._burn_report import ALERTS, ObjectiveBurn
from citronwinch.tool._daemons import ToolError

SUFFIXES = (".svg", ".png")
"""The suffixes of supported image files."""

_ROW_INCHES = 1.6
_WIDTH_INCHES = 8.0


def draw_picture(report: Sequence[ObjectiveBurn], file: Path) -> None:
    """Write an image with a bar chart of burn rates for each objective.

    A window without data is labelled `no data`.
    """
    if file.suffix not in SUFFIXES:
        raise ToolError(f"{file}: expected a name that ends in .svg or .png")
    try:
        import matplotlib
    except ImportError:
        raise ToolError(
            "pictures need matplotlib: pip install 'citronwinch[plots]'"
        ) from None
    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "citronwinch"
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(
        len(report),
        1,
        figsize=(_WIDTH_INCHES, _ROW_INCHES * len(report) + 0.8),
        squeeze=False,
        layout="constrained",
    )
    for axes, burn in zip(rows[:, 0], report, strict=True):
        names = [window.name for window in burn.windows]
        values = [window.burn or 0.0 for window in burn.windows]
        colors = ["tab:red" if value >= 1 else "tab:blue" for value in values]
        axes.barh(names, values, color=colors)
        for i, window in enumerate(burn.windows):
            text = "no data" if window.burn is None else f"{window.burn:.2f}"
            if window.burn is not None and window.coverage < 1:
                text += f" (covers {window.coverage:.0%})"
            axes.text(values[i], i, f" {text}", va="center", fontsize=8)
        for alert in ALERTS:
            axes.axvline(alert.burn, color="grey", linestyle=":", linewidth=1)
        axes.axvline(1.0, color="black", linewidth=1)
        axes.set_xlim(0, max(16.0, *values) * 1.2)
        axes.invert_yaxis()
        title = f"{burn.service}: {burn.objective_percent:g} % {burn.kind}"
        axes.set_title(title, loc="left", fontsize=9)
    rows[-1, 0].set_xlabel("burn rate (1 uses up the budget; dotted: alerts)")
    metadata = {"Date": None} if file.suffix == ".svg" else {"Software": None}
    figure.savefig(file, metadata=metadata)
    pyplot.close(figure)
