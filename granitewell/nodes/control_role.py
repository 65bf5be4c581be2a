"""Entry point of the control role: with replicas if the machine may vote, otherwise as a gateway."""

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
