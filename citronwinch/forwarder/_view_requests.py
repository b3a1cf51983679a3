"""How processes fetch views from each other over HTTP."""

VIEW_PATH = "/view"
"""The HTTP path at which a process serves its view, or its copy of one."""

COMPRESSED_TYPE = "application/zlib"
"""The media type of a compressed view."""

FETCH_TIMEOUT_MS = 600
"""The timeout for fetching the view of another process, in milliseconds."""
