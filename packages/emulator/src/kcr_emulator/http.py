"""Call JSON interfaces over HTTP from blocking code: tests and the demo."""

import http.client
import json
import typing
import urllib.error
import urllib.request

# Default timeout of a call, in seconds.
TIMEOUT_S = 10.0


def call(
    method: str,
    url: str,
    value: typing.Any = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[int, typing.Any]:
    """Return the status and the JSON body.

    The status is 0 if no valid answer arrived; the body then holds the error.
    """
    body = None if value is None else json.dumps(value).encode()
    req = urllib.request.Request(url, data=body, method=method)
    req.add_header('Content-Type', 'application/json')
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as exc:
        return exc.code, _read_body(exc)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return 0, {'error': str(exc)}


def _read_body(exc: urllib.error.HTTPError) -> typing.Any:
    try:
        return json.load(exc)
    except ValueError:
        return {}
