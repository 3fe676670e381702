"""Entry point of ``python -m cyclamenwell.node``."""

from cyclamenwell.node import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
