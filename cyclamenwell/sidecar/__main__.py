"""Run a sidecar node."""

from __future__ import annotations

from cyclamenwell.sidecar import main

if __name__ == "__main__":
    main.run()
