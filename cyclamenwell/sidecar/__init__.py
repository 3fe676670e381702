"""The sidecar node: the process that runs next to a target of the platform.

Each connection and each peer is served by one `asyncio` task with sequential
code. Decisions are made in the packages `admission`, `configuration`, `limits`,
`retries` and `routing`.
"""
