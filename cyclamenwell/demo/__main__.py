"""Entry point of ``python -m cyclamenwell.demo``."""

from cyclamenwell.demo import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
