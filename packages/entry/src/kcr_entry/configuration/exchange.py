"""Convert the document that is held to messages and settings, and back."""

from kcr_core import configuration
from kcr_core import document_text
from kcr_core import messages
from kcr_document import document
from kcr_document import problems
from kcr_entry import events


def make_offer(
    held: configuration.FollowedDocument, environment: str, with_text: bool
) -> messages.DocumentOffer:
    """Return the offer of the document that is held."""
    doc = held.doc
    return messages.DocumentOffer(
        held.revision,
        doc.digest if doc else '',
        doc.text if doc and with_text else '',
        environment,
        doc is not None and doc.kind == 'production',
    )


def read_offer(
    msg: messages.DocumentOffer,
) -> configuration.DocumentInForce | None:
    """Return the document of an offer; None if its text is not the one."""
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
    """Return the settings of a document, or why it cannot be read.

    A newer version of the system may have written it; the settings before it
    stay in force then.
    """
    fault = f'revision {doc.revision}: '
    try:
        text = document_text.unpack(doc.text)
        found = document.read_reduced(text, environment)
    except (problems.InvalidDocument, ValueError) as exc:
        return f'{fault}{exc}'[:300]
    if found is None:
        return f'{fault}it holds no document for {environment!r}'
    return events.SettingsInForce(
        doc.revision,
        document.convert_settings(found),
        document.convert_quotas(found),
    )
