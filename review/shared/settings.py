"""Settings and configuration like those of a small installation."""

from parts import HOST, KEY, MODEL

__all__ = ["MEMORY_BYTES", "SETTINGS", "make_configuration", "make_route"]

# ``memoryMb`` of an edge machine, in the larger of both units.
MEMORY_BYTES = 150 * 1024 * 1024

SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "gt-central"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream",\
"engine","tenants","platform"]
[zones]
gt-zona-1 = "gt-central"
gt-zona-2 = "gt-central"
gt-zona-3 = "gt-central"
[listen]
front = "127.0.0.1:{front}"
readinessAddr = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 12
transitMs = 120
againS = 20
requireFence = true
leaseMs = 3000
thawSlackMs = 300
versionMs = 10000
versionAllMs = 14000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


def make_route(name: str, prefix: str, kind: str, service: str, **changes) -> dict:  # noqa: ANN003
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "noAuth": False,
        "resumable": False,
        **changes,
    }


def make_configuration(version: int = 7, **changes) -> dict:  # noqa: ANN003
    """Return a configuration with the kinds of requests of ad-gt."""
    advice = {"timeoutMs": 3000, "targetLatencyMs": 400, "gapAimMs": 300}
    advice |= {"sticky": True, "resumable": True, "priority": 0}
    draft = {"timeoutMs": 15000, "targetLatencyMs": 1000, "gapAimMs": 300}
    draft |= {"sticky": True, "maxAttempts": 1, "priority": 1}
    engine = {
        "slots": 64,
        "kvTokens": 80011,
        "kvBytes": 18432,
        "linkMbps": 550000.0,
        "managed": True,
        "stride": 6,
        "maxInFlight": 12,
        "models": [{"name": MODEL}],
    }
    return {
        "version": version,
        "routes": [
            make_route("tool-advice", "/advice/", "streaming", "llm", **advice),
            make_route("quote-draft", "/draft/", "streaming", "llm", **draft),
            make_route("reserve", "/reserve/", "non_idempotent", "app"),
            make_route("stock-look", "/stock/", "idempotent", "app"),
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConnections": 370,
                "engine": engine,
            },
            {"name": "app", "healthPath": "/health", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "bozi300", "apiKeys": [KEY]}],
        **changes,
    }
