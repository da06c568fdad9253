"""Figures of demands/lalibela-pod-grown.toml that the cases use."""

ZONES = {"addis-bole": "addis", "mekelle-a": "tigray-north"}

# The stronger of the two kinds of machines.
LIMITS = {"CpuShare": 0.5, "Cores": 1, "MemoryLimitMb": 512, "MaxFds": 8192,
          "LinkMbps": 200.0, "DiskMb": 0}

BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "StableWindowMs": 6000, "AckMs": 10000,
          "CatchupS": 6, "DrainMs": 5000, "GraceS": 6, "LostMs": 200,
          "ConfigPropagationMs": 5000, "DowngradeMs": 250, "StretchMs": 20000,
          "RetryRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 346, "RecoverS": 15,
          "ttl_max_s": 5}

STABLE_S = BOUNDS["StableWindowMs"] / 1000
GRACE_S = BOUNDS["GraceS"]

HOST = "fizi45.example"
SERVICE = "kafi81c"       # press-queue
PREFIX = "/rano592/"      # print-file-pull: aim 1,000 ms, time limit 10,000 ms
TIME_LIMIT_MS = 10000
AIM_MS = 1000
SLOTS, QUEUE, MAX_CONNS = 6, 24, 945

CLIENT_LIMITS = {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
                 "IdleTimeoutMs": 15000}


def config(kind):
    """A configuration with the route print-file-pull."""
    return {
        "Version": 7,
        "Routes": [{"Name": "r-5rjvz48", "Host": HOST, "Prefix": PREFIX, "Type": kind,
                    "TimeoutMs": TIME_LIMIT_MS, "GoalMs": AIM_MS, "Priority": 2,
                    "Service": SERVICE, "Attempts": 2}],
        "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": MAX_CONNS,
                      "Proto": "h1", "Tls": False}],
        "Limits": CLIENT_LIMITS,
    }
