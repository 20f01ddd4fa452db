"""Runs the command line: ``python -m wrenloft``."""

from wrenloft._cli import main

if __name__ == "__main__":
    main()
