"""Entry point of ``python -m cyclamenwell.load``."""

from cyclamenwell.load import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
