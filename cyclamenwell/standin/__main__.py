"""Entry point of ``python -m cyclamenwell.standin``."""

from cyclamenwell.standin import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
