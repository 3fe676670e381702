"""Entry point of ``python -m cyclamenwell.soak``."""

from cyclamenwell.soak import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
