"""Read-only access to the configuration service and the list of instances."""

from citronwinch.configuration_service._client import (
    MANIFEST_KEY,
    InstanceList,
    KeyValue,
    PlatformError,
    format_instance,
    parse_instance,
    read_instances,
    read_key,
)
from citronwinch.configuration_service._follower import (
    KeyRequest,
    ListRequest,
    PlatformFollower,
    PlatformRequest,
)
from citronwinch.configuration_service._table_keys import (
    INDEX_KEY_PREFIX,
    SERVICE_KEY_PREFIX,
    Manifest,
    index_key,
    join_table,
    parse_manifest,
    split_table,
)
from citronwinch.configuration_service._table_reader import TableRead, TableReader

__all__ = [
    "INDEX_KEY_PREFIX",
    "InstanceList",
    "KeyRequest",
    "KeyValue",
    "ListRequest",
    "MANIFEST_KEY",
    "Manifest",
    "PlatformError",
    "PlatformFollower",
    "PlatformRequest",
    "SERVICE_KEY_PREFIX",
    "TableRead",
    "TableReader",
    "format_instance",
    "index_key",
    "join_table",
    "parse_instance",
    "parse_manifest",
    "read_instances",
    "read_key",
    "split_table",
]
