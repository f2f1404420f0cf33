"""Oversized and malformed requests are refused, and the node continues to serve."""

import pytest

from knapweedhinge.test.fleet import bearer_key

KEY = bearer_key("estanteria-guanacaste")
MEBIBYTE = 1024 * 1024
CHAT = "/v1/chat/completions"


@pytest.mark.parametrize(
    ("headers", "data", "status"),
    [
        pytest.param({}, b"x" * 5 * MEBIBYTE, 413, id="body"),
        pytest.param({"X-Session-Id": "s" * 201}, b"{}", 400, id="session id"),
        pytest.param({"Idempotency-Key": "k" * 201}, b"{}", 400, id="key"),
        pytest.param({"X-Anything": "a" * 9_000}, b"{}", 400, id="header line"),
        pytest.param({"Last-Event-ID": "a" * 8_000}, b"{}", 400, id="event id"),
        pytest.param({"Authorization": "Bearer"}, b"{}", 401, id="no key"),
        pytest.param({"Authorization": "Bearer \xe9"}, b"{}", 401, id="odd key"),
        pytest.param({}, b"[" * 100_000, 400, id="deep JSON"),
        pytest.param({}, b'{"model": "\xff"}', 400, id="no UTF-8"),
    ],
)
async def test_bounds(fleet, http, headers, data, status):
    headers = {"Authorization": f"Bearer {KEY}"} | headers
    async with http.post(f"{fleet.url}{CHAT}", headers=headers, data=data) as resp:
        body = await resp.text()
        assert resp.status == status, body
    async with http.get(f"{fleet.url}/readyz") as resp:
        assert resp.status == 200
    executed = [
        call for endpoint in fleet.endpoints.values() for call in endpoint.standin.calls
    ]
    assert executed == []
