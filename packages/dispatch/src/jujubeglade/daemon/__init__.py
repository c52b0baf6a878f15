"""The jujubegladed program."""
