"""Immutable snapshots of the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import types

from cyclamenwell.documents import parser
from cyclamenwell.generated import documents

__all__ = [
    "EMPTY",
    "GROUPS",
    "GROUP_DIGEST_BYTES",
    "KeyOwner",
    "Snapshot",
    "build_snapshot",
    "find_group",
]

KEY_IDENTIFIER_BYTES = 8
# With 2,000 documents, a difference in one group leads to a comparison of about
# 30 of them.
GROUPS = 64
GROUP_DIGEST_BYTES = 8
_SERVICE = "service"
_ORGANISATION = "organisation/"
_FLEET = "fleet"


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=GROUP_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def find_group(name: str) -> int:
    """Return the number of the digest group that a document belongs to."""
    return _hash(name) % GROUPS


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOwner:
    """Organisation that a key belongs to.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    identifier : bytes
        First bytes of the key's digest, which identify the key between nodes.
    """

    organisation: str
    identifier: bytes


def _freeze(values: dict) -> Mapping:
    return types.MappingProxyType(values)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Configuration in force at one moment.

    Parameters
    ----------
    parsed : Mapping of str to parser.ParsedDocument
        Documents by name, including removed ones.
    services : Mapping of str to documents.ServiceDocument
        Services by name.
    key_owners : Mapping of bytes to KeyOwner
        Owners by the SHA-256 digest of the key.
    identifiers : Mapping of bytes to str
        Organisations by key identifier.
    fleet : documents.FleetDocument
        Settings of the whole fleet.
    groups : tuple of int
        For each group, the exclusive or of the hashes of names and versions. A
        change updates it without reading the other documents.
    """

    parsed: Mapping[str, parser.ParsedDocument]
    services: Mapping[str, documents.ServiceDocument]
    key_owners: Mapping[bytes, KeyOwner]
    identifiers: Mapping[bytes, str]
    fleet: documents.FleetDocument
    groups: tuple[int, ...]

    @functools.cached_property
    def group_digests(self) -> bytes:
        """Concatenated digests of all groups."""
        return b"".join(
            group.to_bytes(GROUP_DIGEST_BYTES, "big") for group in self.groups
        )

    @functools.cached_property
    def digest(self) -> bytes:
        """SHA-256 over the digests of all groups, 32 bytes."""
        return hashlib.sha256(self.group_digests).digest()

    @functools.cached_property
    def data_centres_out(self) -> frozenset[str]:
        """Data centres that receive no new work."""
        return frozenset(self.fleet.data_centres_out)

    def find_version(self, name: str) -> int:
        """Return the version of a document in force, 0 without one."""
        document = self.parsed.get(name)
        return 0 if document is None else document.version


def build_snapshot(
    parsed: dict[str, parser.ParsedDocument], before: Snapshot | None = None
) -> Snapshot:
    """Build a snapshot with its lookup tables.

    Only tables of the kinds of documents that changed are updated.

    Parameters
    ----------
    parsed : dict of str to parser.ParsedDocument
        Documents in force by name; the snapshot keeps the dictionary.
    before : Snapshot or None
        Snapshot that this one replaces, if any.

    Returns
    -------
    Snapshot
        The snapshot.
    """
    earlier = before or EMPTY
    changed = tuple(
        document
        for name, document in parsed.items()
        if earlier.parsed.get(name) is not document
    )
    return Snapshot(
        parsed=_freeze(parsed),
        services=_freeze(_update_services(earlier, changed)),
        **_update_keys(earlier, changed, parsed),
        fleet=_update_fleet(earlier, changed),
        groups=_update_groups(earlier, changed),
    )


_Documents = tuple[parser.ParsedDocument, ...]


def _update_services(
    earlier: Snapshot, changed: _Documents
) -> dict[str, documents.ServiceDocument]:
    services = dict(earlier.services)
    for document in changed:
        kind, _, service = document.name.partition("/")
        if kind != _SERVICE:
            continue
        if isinstance(document.content, documents.ServiceDocument):
            services[service] = document.content
        else:
            services.pop(service, None)
    return services


def _update_fleet(
    earlier: Snapshot, changed: _Documents
) -> documents.FleetDocument:
    for document in changed:
        if isinstance(document.content, documents.FleetDocument):
            return document.content
        if document.name == _FLEET:
            return documents.FleetDocument()
    return earlier.fleet


def _update_keys(
    earlier: Snapshot,
    changed: _Documents,
    parsed: dict[str, parser.ParsedDocument],
) -> dict[str, Mapping]:
    """Rebuild the key tables if an organisation changed.

    Notes
    -----
    Two organisations may list the same key. All documents are therefore read,
    so that the owner does not depend on the order in which they arrived.
    """
    if not any(d.name.startswith(_ORGANISATION) for d in changed):
        return {
            "key_owners": earlier.key_owners,
            "identifiers": earlier.identifiers,
        }
    owners: dict[bytes, KeyOwner] = {}
    for document in parsed.values():
        if isinstance(document.content, documents.OrganisationDocument):
            _add_keys(owners, document.content)
    identifiers = {o.identifier: o.organisation for o in owners.values()}
    return {
        "key_owners": _freeze(owners),
        "identifiers": _freeze(identifiers),
    }


def _update_groups(earlier: Snapshot, changed: _Documents) -> tuple[int, ...]:
    groups = list(earlier.groups)
    for document in changed:
        group = find_group(document.name)
        old = earlier.parsed.get(document.name)
        if old is not None:
            groups[group] ^= _hash(f"{old.name} {old.version}")
        groups[group] ^= _hash(f"{document.name} {document.version}")
    return tuple(groups)


def _add_keys(
    owners: dict[bytes, KeyOwner], content: documents.OrganisationDocument
) -> None:
    for key in content.keys:
        digest = bytes.fromhex(key.digest)
        known = owners.get(digest)
        if known is None or content.organisation < known.organisation:
            owners[digest] = KeyOwner(
                content.organisation, digest[:KEY_IDENTIFIER_BYTES]
            )


EMPTY = Snapshot(
    parsed=_freeze({}),
    services=_freeze({}),
    key_owners=_freeze({}),
    identifiers=_freeze({}),
    fleet=documents.FleetDocument(),
    groups=(0,) * GROUPS,
)
