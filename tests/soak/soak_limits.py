"""Sizes and time limits of the soak test."""

REGIONS = {"a-1": "a", "b-1": "b"}
SHARDS = 4
QUERY_MS = 800
TOP_K = 5
ATTEMPTS = 2
SETTLE_SECONDS = 6
RECOVERY_SECONDS = 5  # recovery_ms of the settings.
DRAIN_SECONDS = 3  # leaf_drain_ms of the settings.
PROPAGATION_SECONDS = 3  # config_propagation_ms of the settings.
EVACUATION_SECONDS = 3  # evacuate_ms of the settings.
HOME_REGION = "a"  # Residency of the route for the kind "home".
IN_TOUCH_SECONDS = 5  # A host is judged this long after its last disturbance.
LONG_BODY_BYTES = 200_000
PORT_BLOCKS = 90
LARGE_CONFIG_BYTES = 400_000
SERVED_AFTER_FAULTS = 0.95
