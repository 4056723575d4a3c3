"""Names that the platform uses on the wire."""

__all__ = [
    "COLD_HEADER",
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "END_TO_END_HEADERS",
    "EVACUATION_PREFIX",
    "EXPECTED_TARGET_HEADER",
    "INSTANCES_TOPIC",
    "KEY_HEADER",
    "LEAVING_HEADER",
    "LOAD_HEADER",
    "MOVE_EVIDENCE_TOPIC",
    "NOT_RUN_HEADER",
    "OPERATOR_TOPIC",
    "PREFIX_HEADER",
    "PRIORITY_HEADER",
    "PROMPT_SOURCE_HEADER",
    "REQUEST_ID_HEADER",
    "RETRY_AFTER_HEADER",
    "ROLLOUT_PREFIX",
    "SIGNATURE_HEADER",
    "STATUS_TOPIC",
    "SYSTEM_HEADERS",
    "TARGETS_TOPIC",
    "TEAM_HEADER",
    "TOKENS_HEADER",
]

OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
# The fleet's own topics: what each instance saw of the versions in a move, and the
# address of each instance for the others.
MOVE_EVIDENCE_TOPIC = "keyed.evidence"
INSTANCES_TOPIC = "keyed.instances"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ROLLOUT_PREFIX = "rollout/"

KEY_HEADER = "x-api-key"
REQUEST_ID_HEADER = "carobladder-request-id"
DEADLINE_HEADER = "carobladder-deadline"
PREFIX_HEADER = "carobladder-prompt-prefix"
TOKENS_HEADER = "carobladder-token-usage"
EXPECTED_TARGET_HEADER = "carobladder-expect-instance"
TEAM_HEADER = "carobladder-tenant"
PRIORITY_HEADER = "carobladder-request-priority"
PROMPT_SOURCE_HEADER = "kv-fetch"
SIGNATURE_HEADER = "carobladder-response-signature"
NOT_RUN_HEADER = "carobladder-not-executed"
LOAD_HEADER = "carobladder-server-load"
COLD_HEADER = "carobladder-cold-ms"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"

# Set by the fleet alone; what a caller sends under these names is dropped.
SYSTEM_HEADERS = frozenset(
    {
        KEY_HEADER,
        DEADLINE_HEADER,
        EXPECTED_TARGET_HEADER,
        TEAM_HEADER,
        PRIORITY_HEADER,
        "carobladder-expect-version",
        "carobladder-hold",
        "carobladder-pin-ms",
        "carobladder-kv-backup",
        "kv-from",
        PROMPT_SOURCE_HEADER,
        "wait-ms",
    }
)

# Say what a request is, so they reach the target even if a caller lists them in its
# Connection header.
END_TO_END_HEADERS = frozenset(
    {
        "host",
        "content-type",
        "last-event-id",
        "carobladder-model",
        REQUEST_ID_HEADER,
        TOKENS_HEADER,
        PREFIX_HEADER,
    }
)
