"""Convert the document in force to messages and settings, and back.

The owner of the document in force uses these functions to exchange documents
with other entries and to get the settings that the entry's tasks follow.
"""

from kcr_core import configuration
from kcr_core import document_text
from kcr_core import messages
from kcr_document import document
from kcr_document import problems
from kcr_entry import events


def make_document_offer(
    followed: configuration.FollowedDocument, environment: str, with_text: bool
) -> messages.DocumentOffer:
    """Return the offer of the document that this process follows."""
    doc = followed.doc
    return messages.DocumentOffer(
        followed.revision,
        doc.digest if doc else '',
        doc.text if doc and with_text else '',
        environment,
        doc is not None and doc.kind == 'production',
    )


def read_document_offer(
    msg: messages.DocumentOffer,
) -> configuration.DocumentInForce | None:
    """Return the document of an offer; None if its digest does not match."""
    if not document_text.has_digest(msg.text, msg.digest):
        return None
    return configuration.DocumentInForce(
        msg.environment,
        msg.revision,
        msg.digest,
        msg.text,
        'production' if msg.production else 'trial',
    )


def read_settings(
    doc: configuration.DocumentInForce, environment: str
) -> events.SettingsInForce | str:
    """Return the settings of a document, or the reason if it is unreadable.

    A newer version of the system may have written it; the previous settings
    then stay in use.
    """
    prefix = f'revision {doc.revision}: '
    try:
        text = document_text.unpack(doc.text)
        found = document.read_reduced(text, environment)
    except (problems.InvalidDocument, ValueError) as exc:
        return f'{prefix}{exc}'[:300]
    if found is None:
        return f'{prefix}it holds no document for {environment!r}'
    return events.SettingsInForce(
        doc.revision,
        document.convert_settings(found),
        document.convert_quotas(found),
    )
