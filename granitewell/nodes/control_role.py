"""Start of the control role: with replicas where the machine may vote, as a gateway everywhere else."""

from __future__ import annotations

from granitewell.nodes.process import SettingsFile, Signals, run_process


async def _serve(file: SettingsFile, signals: Signals) -> None:
    if file.settings.may_vote:
        from granitewell.nodes import control

        await control.serve(file, signals)
        return
    from granitewell.nodes import control_gateway

    await control_gateway.serve(file, signals)


def main() -> int:
    """Run the process of the control role; return its exit code."""
    return run_process(_serve)
