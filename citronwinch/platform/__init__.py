"""The platform as a peer: configuration service and list of instances, read only."""

from citronwinch.platform._client import (
    MANIFEST_KEY,
    InstanceList,
    KeyValue,
    PlatformError,
    format_instance,
    parse_instance,
    read_instances,
    read_key,
)
from citronwinch.platform._table_keys import (
    SERVICE_KEY_PREFIX,
    Manifest,
    join_table,
    parse_manifest,
    split_table,
)

__all__ = [
    "InstanceList",
    "KeyValue",
    "MANIFEST_KEY",
    "Manifest",
    "PlatformError",
    "SERVICE_KEY_PREFIX",
    "format_instance",
    "join_table",
    "parse_instance",
    "parse_manifest",
    "read_instances",
    "read_key",
    "split_table",
]
