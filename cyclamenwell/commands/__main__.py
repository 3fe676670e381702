"""Entry point of ``python -m cyclamenwell.commands``."""

from cyclamenwell.commands import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
