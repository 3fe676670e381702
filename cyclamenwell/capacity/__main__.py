"""Entry point of ``python -m cyclamenwell.capacity``."""

from cyclamenwell.capacity import main

__all__: list[str] = []

if __name__ == "__main__":
    main.run()
