"""The sidecar node: the process that runs beside a target of the platform.

Each connection and each peer has one `asyncio` task that is written straight
down. Decisions stand in the packages `admission`, `configuration`, `limits`,
`retries` and `routing`.
"""
