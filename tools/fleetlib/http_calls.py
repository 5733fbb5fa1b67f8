"""Short HTTP calls to the fleet's own endpoints."""

import http.client
import json

CALL_SECONDS = 1.0


def call(endpoint, method, target, body=None, seconds=CALL_SECONDS):
    """(status, decoded JSON or text); None when there was no answer in time."""
    host, _, port = endpoint.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, target, payload, {"content-type": "application/json"})
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, decode(text)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def decode(text):
    try:
        return json.loads(text)
    except ValueError:
        return text
