"""Runs the command line: ``python -m wrenloft_agent``."""

from wrenloft_agent._cli import main

if __name__ == "__main__":
    main()
