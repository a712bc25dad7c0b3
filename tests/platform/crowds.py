"""Crowds of misbehaving connections."""

from __future__ import annotations

import contextlib
import selectors
import socket
import struct
import threading
import time

from rattanwing.peer.frames import GREETING

BODY_BYTES = 1024 * 1024
"""Size of the bodies that are legal in size."""

STALL_S = 1.5
"""A crowd stops sending when no connection takes any bytes for this long."""

TRICKLE_INTERVAL_S = 0.05
"""Pause between two bytes of a slow client."""

GIVE_UP_S = 60.0
"""A crowd stops sending after this time, so that a test does not hang."""


class Crowd:
    """Connections to one address that send bytes, read nothing and stay open."""

    def __init__(self, address, payloads):
        host, _, port = address.rpartition(":")
        self.sockets = []
        self.selector = selectors.DefaultSelector()
        for payload in payloads:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(10)
            try:
                sock.connect((host, int(port)))
            except OSError:
                sock.close()
                continue
            sock.setblocking(False)
            self.sockets.append(sock)
            parts = [memoryview(part) for part in payload]
            self.selector.register(sock, selectors.EVENT_WRITE, parts)

    def send(self):
        """Send all payloads, as far as the other end takes them."""
        started_at = moved_at = time.monotonic()
        while self.selector.get_map():
            now = time.monotonic()
            if now - moved_at > STALL_S or now - started_at > GIVE_UP_S:
                return
            for key, _ in self.selector.select(0.1):
                if self.send_part(key.fileobj, key.data):
                    moved_at = now

    def send_part(self, sock, parts):
        """Send one piece; return whether any bytes were taken."""
        try:
            sent = sock.send(parts[0])
        except BlockingIOError:
            return False
        except OSError:
            self.selector.unregister(sock)
            return False
        parts[0] = parts[0][sent:]
        if not parts[0]:
            parts.pop(0)
        if not parts:
            self.selector.unregister(sock)
        return sent > 0

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.selector.close()
        for sock in self.sockets:
            sock.close()


class SlowCrowd(Crowd):
    """Sends one byte at a time, and reads one at a time, until it closes."""

    def __init__(self, address, payloads):
        super().__init__(address, payloads)
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self.trickle)

    def send(self):
        """Send the first half of each payload, and the rest very slowly."""
        self.rests = [
            (key.fileobj, b"".join(key.data))
            for key in self.selector.get_map().values()
        ]
        for sock, data in self.rests:
            self.selector.modify(sock, selectors.EVENT_WRITE, [data[: len(data) // 2]])
        super().send()
        self.thread.start()

    def trickle(self):
        position = 0
        while not self.closing.wait(TRICKLE_INTERVAL_S):
            for sock, data in self.rests:
                start = len(data) // 2 + position
                with contextlib.suppress(OSError):
                    sock.send(data[start : start + 1])
                with contextlib.suppress(OSError):
                    sock.recv(1)
            position += 1

    def __exit__(self, *error):
        self.closing.set()
        self.thread.join()
        super().__exit__(*error)


def make_head(door, *headers, target=None):
    """Return the head of a request at a door, without the empty line."""
    lines = [
        f"{door.method} {target or door.target} HTTP/1.1",
        f"Host: {door.host}",
        "Content-Type: application/json",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def bodies_in_one_piece(door):
    head = make_head(door, f"Content-Length: {BODY_BYTES}")
    return [head + b"\r\n" + b" " * (BODY_BYTES - 1)]


def bodies_in_small_pieces(door):
    head = make_head(door, f"Content-Length: {BODY_BYTES}")
    pieces = [b" " * 1024] * (BODY_BYTES // 1024 - 1)
    return [head + b"\r\n", *pieces, b" " * 1023]


def bodies_in_chunks(door):
    head = make_head(door, "Transfer-Encoding: chunked") + b"\r\n"
    chunk = b"400\r\n" + b" " * 1024 + b"\r\n"
    return [head + chunk * (BODY_BYTES // 1024 - 1)]


def bodies_in_chunks_of_one_byte(door):
    head = make_head(door, "Transfer-Encoding: chunked") + b"\r\n"
    return [head + b"1\r\n \r\n" * 200_000]


def bodies_far_over_the_limit(door):
    head = make_head(door, f"Content-Length: {64 * BODY_BYTES}")
    return [head + b"\r\n", *[b" " * BODY_BYTES] * 16]


def chunks_far_over_the_limit(door):
    head = make_head(door, "Transfer-Encoding: chunked") + b"\r\n"
    chunk = b"10000\r\n" + b" " * 65536 + b"\r\n"
    return [head, *[chunk * 16] * 16]


def bodies_of_many_fields(door):
    steps = b"{}," * 220_000 + b"{}"
    labels = b'"",' * 100_000 + b'""'
    body = b'{"steps":[' + steps + b'],"labels":[' + labels + b"]}"
    return [make_head(door, f"Content-Length: {len(body)}") + b"\r\n" + body]


def complete_bodies(door):
    body = b'{"spec":"' + b"x" * (BODY_BYTES - 100) + b'","steps":[{"count":1}]}'
    return [make_head(door, f"Content-Length: {len(body)}") + b"\r\n" + body]


def many_headers(door):
    headers = [f"a{n}: b" for n in range(1_300)]
    return [make_head(door, "Content-Length: 9", *headers) + b"\r\n{}"]


def many_query_parameters(door):
    query = "&".join(f"{n}=1" for n in range(1_600))
    target = f"{door.target}?{query}"
    head = make_head(door, "Content-Length: 9", target=target)
    return [head + b"\r\n{}"]


def requests_ahead(door):
    request = make_head(door, "Content-Length: 2") + b"\r\n{}"
    return [request * 3_000]


def stops_in_the_head(door):
    return [make_head(door)[:-10]]


def stops_in_the_body(door):
    return [make_head(door, f"Content-Length: {BODY_BYTES}") + b"\r\n" + b" " * 2048]


def sends_the_head_slowly(door):
    return [make_head(door, "X: " + "x" * 8_000) + b"\r\n"]


def sends_the_body_slowly(door):
    return [make_head(door, "Content-Length: 65536") + b"\r\n" + b" " * 65_535]


def reads_slowly(door):
    request = make_head(door, "Content-Length: 2") + b"\r\n{}"
    return [request * 3_000]


def says_nothing(_door):
    return [b""]


def messages_in_one_piece(_door):
    length = 16 * 1024 * 1024
    return [GREETING + struct.pack(">I", length), *[b"\x91" * BODY_BYTES] * 4]


def messages_in_small_pieces(_door):
    return [GREETING + struct.pack(">I", BODY_BYTES), *[b"\x91" * 1024] * 1023]


def messages_far_over_the_limit(_door):
    return [GREETING + b"\xff\xff\xff\xff", *[b"\x91" * BODY_BYTES] * 4]


def messages_of_many_fields(_door):
    items = 300_000
    body = b"\xdd" + struct.pack(">I", items) + b"\x90" * items
    return [GREETING + struct.pack(">I", len(body)) + body]


def stops_in_the_greeting(_door):
    return [GREETING[:-3]]


def stops_after_the_greeting(_door):
    return [GREETING]
