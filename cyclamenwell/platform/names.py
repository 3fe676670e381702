"""Wire names used by the platform, callers and targets."""

from __future__ import annotations

__all__ = [
    "API_KEY",
    "CALLER_SERVICE",
    "COLD_MS",
    "CONFIGURATION_KEY",
    "DEADLINE_MS",
    "EVACUATION_PREFIX",
    "INSTANCE_ID",
    "NOT_EXECUTED",
    "OPERATOR_PREFIX",
    "REQUEST_ID",
    "RESPONSE_SEAL",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SETTINGS_VARIABLE",
    "STORE_ERA",
    "TARGET_INSTANCE",
    "TARGET_PREFIX",
    "TENANT",
]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "CYCLAMENWELL_NODE_FILE"

# HTTP headers, in lower case.
API_KEY = "x-api-key"
CALLER_SERVICE = "caller-service"
COLD_MS = "cold-ms"
DEADLINE_MS = "deadline-ms"
INSTANCE_ID = "instance-id"
NOT_EXECUTED = "not-executed"
REQUEST_ID = "request-id"
RESPONSE_SEAL = "response-seal"
RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
STORE_ERA = "store-era"
TARGET_INSTANCE = "target-instance"
TENANT = "tenant"

# Keys and key prefixes of the store.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
