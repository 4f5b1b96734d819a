"""Entry point of the command line."""

import fire

from wasabistream.commands import Commands


def main() -> None:
    """Run the command that the arguments name."""
    # An instance: fire's help leaves out the methods of a class.
    fire.Fire(Commands(), name='wasabistream')


if __name__ == '__main__':
    main()
