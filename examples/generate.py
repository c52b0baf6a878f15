"""Write the settings files of the two example deployments.

    python examples/generate.py

Each deployment has three entries and eleven workers on loopback ports. The files
are committed; run this again after a change of the tables below.
"""

import dataclasses
import pathlib

_ROOT = pathlib.Path(__file__).resolve().parent
_WORKERS = 11
_ENTRIES = 3
_WORKERS_PER_RACK = 3
#: The `inbound` settings of a role.
_MACHINES = {
    "entry": "{memory_mb: 300, max_descriptors: 4100}",
    "agent": "{memory_mb: 168, max_descriptors: 4096}",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One example deployment.

    Attributes:
      folder: A string, the folder of its files.
      title: A string, shown in the comment of each file.
      zones: A tuple of strings.
      base_port: An integer, the first of its block of ports.
      tenants: A tuple of strings.
      operators: A tuple of strings.
      limits: A tuple of (name, value) pairs other than the defaults.
    """

    folder: str
    title: str
    zones: tuple
    base_port: int
    tenants: tuple
    operators: tuple
    limits: tuple


DEPLOYMENTS = (
    Deployment(
        folder="association",
        title="Mascarene Revolving Door Parts Association",
        zones=("port-louis", "curepipe", "mahebourg"),
        base_port=21000,
        tenants=("stock-check", "door-match", "price-hold"),
        operators=("duty",),
        limits=(),
    ),
    Deployment(
        folder="armor-neige",
        title="Forfaits Armor Neige",
        zones=("rennes", "brest", "lorient", "vannes"),
        base_port=22000,
        tenants=("agencies", "online-shop"),
        operators=("duty", "finance"),
        limits=(("heartbeat_ms", 600), ("permit_ms", 2000)),
    ),
)


def entry_file(deployment, number):
    """Render the settings of an entry.

    Args:
      deployment: A Deployment.
      number: An integer from 1.

    Returns:
      A string of JSON with comments.
    """
    zone = deployment.zones[(number - 1) % len(deployment.zones)]
    port = deployment.base_port + number
    lines = [
        *_common(deployment, "entry", f"entry-{number}", zone, f"{zone}-entries"),
        f'  stream: "127.0.0.1:{port}",',
        f'  http: "127.0.0.1:{port + 100}",',
        f'  metrics: "127.0.0.1:{port + 200}",',
        *_entries(deployment),
        f'  store: {{address: "http://127.0.0.1:{deployment.base_port}"}},',
        *_tokens("caller_tokens", deployment.tenants),
        *_tokens("operator_tokens", deployment.operators),
        *_limits(deployment),
        "}",
    ]
    return "\n".join(lines) + "\n"


def agent_file(deployment, number):
    """Render the settings of the agent of a worker.

    Args:
      deployment: A Deployment.
      number: An integer from 1.

    Returns:
      A string of JSON with comments.
    """
    rack = (number - 1) // _WORKERS_PER_RACK
    zone = deployment.zones[rack % len(deployment.zones)]
    port = deployment.base_port + 500 + number
    lines = [
        *_common(
            deployment, "agent", f"worker-{number:02}", zone, f"{zone}-rack-{rack + 1}"
        ),
        f'  stream: "127.0.0.1:{port}",',
        f'  http: "127.0.0.1:{port + 100}",',
        "  // The upstream of this machine announces itself here.",
        f'  announce: "127.0.0.1:{port + 200}",',
        *_entries(deployment),
        *_limits(deployment),
        "}",
    ]
    return "\n".join(lines) + "\n"


def _common(deployment, role, name, zone, rack):
    return [
        f"// {deployment.title}: {name}",
        "{",
        f'  role: "{role}",',
        f'  name: "{name}",',
        f'  zone: "{zone}",',
        f'  rack: "{rack}",',
        "  // The same in every file of the deployment; replace it.",
        f'  cluster_key: "example-key-of-{deployment.folder}",',
        "  // What the machine has for this process.",
        f"  inbound: {_MACHINES[role]},",
    ]


def _entries(deployment):
    names = range(1, _ENTRIES + 1)
    items = [
        f'    "entry-{number}": "127.0.0.1:{deployment.base_port + number}",'
        for number in names
    ]
    return ["  entries: {", *items, "  },"]


def _tokens(group, names):
    kind = group.removesuffix("_tokens")
    items = [f'    "{name}": "example-{kind}-token-{name}",' for name in names]
    return [f"  {group}: {{", *items, "  },"]


def _limits(deployment):
    if not deployment.limits:
        return []
    items = [f"    {name}: {value}," for name, value in deployment.limits]
    return ["  limits: {", *items, "  },"]


def files():
    """Yield the folder, the name and the text of every file."""
    for deployment in DEPLOYMENTS:
        for number in range(1, _ENTRIES + 1):
            text = entry_file(deployment, number)
            yield deployment.folder, f"entry-{number}.json5", text
        for number in range(1, _WORKERS + 1):
            text = agent_file(deployment, number)
            yield deployment.folder, f"worker-{number:02}.json5", text


def main():
    """Write every file."""
    for folder, name, text in files():
        (_ROOT / folder).mkdir(exist_ok=True)
        (_ROOT / folder / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
