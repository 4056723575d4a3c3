"""Names of topics, keys and headers in the platform's protocols."""

__all__ = [
    "API_KEY_HEADER",
    "COLD_TIME_HEADER",
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "DUTIES_TOPIC",
    "DUTY_HOLDER_HEADER",
    "END_TO_END_HEADERS",
    "EVACUATION_KEY_PREFIX",
    "EXPECTED_TARGET_HEADER",
    "FENCING_TOKEN_HEADER",
    "INSTANCES_TOPIC",
    "LEAVING_HEADER",
    "LOAD_HEADER",
    "MOVE_EVIDENCE_TOPIC",
    "NOT_RUN_HEADER",
    "OPERATOR_TOPIC",
    "PRIORITY_HEADER",
    "PROMPT_PREFIX_HEADER",
    "PROMPT_SOURCE_HEADER",
    "RATE_LIMIT_HEADER",
    "REQUEST_ID_HEADER",
    "RESERVED_HEADERS",
    "RETRY_AFTER_HEADER",
    "ROLLOUT_KEY_PREFIX",
    "SIGNATURE_HEADER",
    "STATUS_TOPIC",
    "TARGETS_TOPIC",
    "TEAM_HEADER",
    "TOKEN_USAGE_HEADER",
]

OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
# Topics that only the fleet uses: the observations of each instance about the versions
# in a move, the address at which its peers reach each instance, and the holder of the
# duties with its records.
MOVE_EVIDENCE_TOPIC = "keyed.evidence"
INSTANCES_TOPIC = "keyed.instances"
DUTIES_TOPIC = "keyed.duties"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"
ROLLOUT_KEY_PREFIX = "rollout/"

API_KEY_HEADER = "x-api-key"
REQUEST_ID_HEADER = "carobladder-request-id"
DEADLINE_HEADER = "carobladder-deadline"
PROMPT_PREFIX_HEADER = "carobladder-prompt-prefix"
TOKEN_USAGE_HEADER = "carobladder-token-usage"
EXPECTED_TARGET_HEADER = "carobladder-expect-instance"
TEAM_HEADER = "carobladder-tenant"
PRIORITY_HEADER = "carobladder-request-priority"
PROMPT_SOURCE_HEADER = "kv-fetch"
SIGNATURE_HEADER = "carobladder-response-signature"
NOT_RUN_HEADER = "carobladder-not-executed"
LOAD_HEADER = "carobladder-server-load"
COLD_TIME_HEADER = "carobladder-cold-ms"
LEAVING_HEADER = "server-leaving"
RATE_LIMIT_HEADER = "server-limit"
RETRY_AFTER_HEADER = "retry-after"
DUTY_HOLDER_HEADER = "carobladder-duty-holder"
FENCING_TOKEN_HEADER = "carobladder-fencing-token"

# Only the fleet sets these headers; they are removed from callers' requests.
RESERVED_HEADERS = frozenset(
    {
        API_KEY_HEADER,
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

# These headers describe the request itself, so they are forwarded to the target even
# if a caller declares them as hop-by-hop in its Connection header.
END_TO_END_HEADERS = frozenset(
    {
        "host",
        "content-type",
        "last-event-id",
        "carobladder-model",
        REQUEST_ID_HEADER,
        TOKEN_USAGE_HEADER,
        PROMPT_PREFIX_HEADER,
    }
)
